"""The entry's side of the connections between nodes.

One connection to each owner carries all calls to it. It is opened before it is
needed, and pinged while calls wait on it. If the owner does not answer, the
connection is retired: new calls use a new connection, while calls in progress
keep waiting, since a silent owner may still answer. They fail once the owner is
known to be gone.
"""

from __future__ import annotations

import errno
from typing import TYPE_CHECKING, Final, Protocol

from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.wire.frames import (
    COMPRESSED,
    PLAIN,
    Cancel,
    DrainNotice,
    FrameReader,
    FrameWriter,
    LoadReport,
    Ping,
    Pong,
)
from wagtaildale.calls.wire.transit import add_send_time
from wagtaildale.errors.codes import Code
from wagtaildale.reactor.stream import open_stream
from wagtaildale.timers.service import read_clock
from wagtaildale.types import CallNumber, Outcome

if TYPE_CHECKING:
    from wagtaildale.calls.addresses import Address
    from wagtaildale.calls.entry.peers import PeerReceiver
    from wagtaildale.calls.wire.frames import Frame, ToOwner
    from wagtaildale.reactor.loop import Loop

# A round trip within a region takes a few milliseconds, and a lost packet is
# resent after 200 ms at the earliest. The timeout is more than twice that, to
# leave room for one lost packet.
CONNECT_TIMEOUT_SECONDS: Final = 0.5
# Interval of pings while calls wait and nothing is received.
PING_INTERVAL_SECONDS: Final = 0.25
# A connection is retired after this time without input: a ping has then been
# unanswered for a whole interval.
RETIRE_SECONDS: Final = 0.75
# Calls move to another upstream after this time without input. Long enough for
# two lost packets in a row, and shorter than most requests are worth waiting
# for. By then a newer connection has had time to show that the owner is alive.
FAILOVER_SECONDS: Final = 1.0
SILENT_REASON: Final = 'silent'
REPLACED_REASON: Final = 'silent while a newer connection works'
REFUSED_REASON: Final = 'silent, and a newer connection is refused'
OWNER_DRAINS_REASON: Final = 'the owner accepts no new calls'

# Messages that concern the owner and no single call.
OwnerNotice = LoadReport | DrainNotice


class PeerObserver(Protocol):
    """Receives the events of connections to owners.

    Attributes:
        sent_bytes: bytes that all connections have sent.
    """

    sent_bytes: int

    def note_load(self, peer: RemotePeer, load: LoadReport) -> None:
        """Handle a load report of an owner.

        Args:
            peer: connection to the owner.
            load: load report.
        """

    def note_draining(self, peer: RemotePeer) -> None:
        """Handle an owner that accepts no new calls.

        Args:
            peer: connection to the owner; it closes after the calls in
                progress.
        """

    def note_silent(self, peer: RemotePeer) -> None:
        """Handle a connection that must not be used for new calls.

        Called again with each ping while the connection stays silent.

        Args:
            peer: connection on which nothing is received.
        """

    def note_refused(self, peer: RemotePeer) -> None:
        """Handle an address of an owner where nothing listens any more.

        Args:
            peer: connection that was refused.
        """

    def note_closed(self, peer: RemotePeer, detail: str) -> None:
        """Handle a closed connection.

        Args:
            peer: closed connection.
            detail: reason for closing.
        """


class RemotePeer:
    """Connection to an owner in another process; a ``StreamReceiver``.

    The connection is retired when its owner drains, or when nothing is received
    for a while: it opens no new call and closes after its last one. A silent
    one closes earlier if its owner is known to be gone.

    Attributes:
        address: address of the owner.
        is_compressed: whether both directions are compressed.
        is_open: whether the connection is established.
        is_silent: whether it was retired because nothing was received.
        is_draining: whether its owner accepts no new calls.
        is_closed: whether it is closed.
        collects_bodies: whether the owner has stated that it collects bodies;
            see ``Pong``.
        accepts_start_limits: whether the owner has stated that it understands
            ``StartLimit``.
        silent_since: start of the current silence, in seconds on the clock.
        last_received_at: time of the last input; 0 before the first.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        *,
        compressed: bool,
        observer: PeerObserver,
    ) -> None:
        """Start to connect.

        Args:
            loop: event loop of the connection.
            address: address of the owner.
            compressed: whether to compress both directions.
            observer: receives the events of the connection.
        """
        self.address = address
        self.is_compressed = compressed
        self.is_open = False
        self.is_silent = False
        self.is_draining = False
        self.is_closed = False
        self.collects_bodies = False
        self.accepts_start_limits = False
        self._loop = loop
        self._observer = observer
        self._close_at: float | None = None
        self._reader = FrameReader(compressed=compressed)
        self._writer = FrameWriter(compressed=compressed)
        self._receivers: dict[CallNumber, PeerReceiver] = {}
        self._last_number = 0
        self._connecting_since = read_clock()
        self.silent_since = self._connecting_since
        self.last_received_at = float(0)
        self._stream = open_stream(loop, (address.host, address.port), self)
        self._stream.send(COMPRESSED if compressed else PLAIN)
        self.send(Ping(accepts_drain_notice=True))
        self._alarm = loop.alarms.set(
            CONNECT_TIMEOUT_SECONDS, self._check_liveness
        )

    @property
    def active_calls(self) -> int:
        """Number of calls in progress."""
        return len(self._receivers)

    @property
    def silent_seconds(self) -> float:
        """Seconds since the last input, or since calls began to wait."""
        return read_clock() - self.silent_since

    @property
    def unsent(self) -> int:
        """Number of bytes not yet sent."""
        return self._stream.unsent_bytes

    def open_call(self, receiver: PeerReceiver) -> CallNumber:
        """Open a call; see ``Peer``.

        Args:
            receiver: receives the owner's messages.

        Returns:
            Number of the call.
        """
        if not self._receivers:
            # An idle connection is not silent: count from the first waiting
            # call.
            self.silent_since = read_clock()
        self._last_number += 1
        number = CallNumber(self._last_number)
        self._receivers[number] = receiver
        if self.is_open and not self._alarm.is_set:
            self._alarm = self._loop.alarms.set(
                PING_INTERVAL_SECONDS, self._check_liveness
            )
        return number

    def send(self, frame: ToOwner) -> None:
        """Send a message; see ``Peer``.

        Args:
            frame: message to the owner.
        """
        timed_frame = add_send_time(
            frame, elapsed_seconds=read_clock() - self._connecting_since
        )
        encoded = self._writer.write(timed_frame)
        self._observer.sent_bytes += len(encoded)
        self._stream.send(encoded)

    def close_call(self, number: CallNumber, *, cancelled: bool) -> None:
        """Close a call; see ``Peer``.

        Args:
            number: number of the call.
            cancelled: whether the owner is to stop its work for the call.
        """
        receiver = self._receivers.pop(number, None)
        if receiver is not None and cancelled and not self.is_closed:
            self.send(Cancel(number))
        self._close_if_unused()

    def ping(self) -> None:
        """Ping the owner if the connection is open."""
        if self.is_open:
            self.send(Ping())

    def note_newer_connection_works(self) -> None:
        """Close once a newer connection has worked as long as this was silent.

        After an outage, TCP may delay a resend by up to the length of the
        outage, so a connection that was only interrupted gets that much time.
        A connection may also stay silent for good while newer ones work; its
        calls would then wait in vain until their deadline. Called repeatedly
        while a newer connection to the owner gets answers.
        """
        now = read_clock()
        if self._close_at is None:
            self._close_at = now + self.silent_seconds
        elif now >= self._close_at:
            self.close(REPLACED_REASON)

    def close(self, detail: str) -> None:
        """Close the connection and fail all its calls.

        Args:
            detail: reason for closing.
        """
        if self.is_closed:
            return
        self.is_closed = True
        self._alarm.cancel()
        self._stream.close()
        self._observer.note_closed(self, detail)
        receivers = tuple(self._receivers.values())
        self._receivers.clear()
        for receiver in receivers:
            receiver.on_peer_lost(self._make_failure(detail))

    def on_open(self) -> None:
        """Note that the connection is established."""
        self.is_open = True
        self.silent_since = read_clock()

    def on_bytes(self, chunk: bytes) -> None:
        """Handle received frames.

        Args:
            chunk: bytes that were read.
        """
        self.silent_since = read_clock()
        self.last_received_at = self.silent_since
        self._close_at = None
        try:
            frames = self._reader.feed(chunk)
        except CallFailed as failure:
            self.close(failure.detail)
            return
        for frame in frames:
            self._handle_frame(frame)

    def on_end(self) -> None:
        """Close because the owner has closed."""
        self.close('closed by the owner')

    def on_lost(self, error: OSError) -> None:
        """Close because the connection is lost.

        Args:
            error: error of the socket.
        """
        if error.errno == errno.ECONNREFUSED:
            self._observer.note_refused(self)
        self.close(str(error))

    def on_drained(self) -> None:
        """Do nothing: flow control windows limit the output."""

    def _handle_frame(self, frame: Frame) -> None:
        if isinstance(frame, Ping):
            self.send(Pong())
        elif isinstance(frame, Pong):
            self.collects_bodies = frame.collects_bodies
            self.accepts_start_limits = frame.accepts_start_limits
        elif isinstance(frame, OwnerNotice):
            self._handle_notice(frame)
        else:
            receiver = self._receivers.get(frame.call)
            if receiver is not None:
                receiver.on_frame(frame)  # type: ignore[arg-type]

    def _handle_notice(self, notice: OwnerNotice) -> None:
        if isinstance(notice, LoadReport):
            self._observer.note_load(self, notice)
        else:
            self._note_drain()

    def _note_drain(self) -> None:
        if self.is_draining:
            return
        self.is_draining = True
        self._observer.note_draining(self)
        self._close_if_unused()

    def _close_if_unused(self) -> None:
        # If the owner closed first, a run message could be on the wire and be
        # lost. Without calls in progress there is none, so this side closes
        # first.
        if self._receivers:
            return
        if self.is_draining:
            self.close(OWNER_DRAINS_REASON)
        elif self.is_silent:
            self.close(SILENT_REASON)

    def _check_liveness(self) -> None:
        if not self.is_open:
            self.close('connecting timed out')
            return
        if not self._receivers:
            return
        self._exclude_own_pause()
        silent = self.silent_seconds
        if silent > RETIRE_SECONDS:
            self._handle_silence(silent)
        if self.is_closed:
            return
        if silent > PING_INTERVAL_SECONDS:
            self.send(Ping())
        self._alarm = self._loop.alarms.set(
            PING_INTERVAL_SECONDS, self._check_liveness
        )

    def _exclude_own_pause(self) -> None:
        # If this process was paused, input of that time is not read yet.
        # Without this, every owner would count as silent after the pause.
        now = read_clock()
        late = now - self._alarm.at
        if late > PING_INTERVAL_SECONDS:
            self.silent_since = min(now, self.silent_since + late)

    def _handle_silence(self, seconds: float) -> None:
        # A connection that stalls for some seconds must not fail its calls with
        # 502 while the backend server works on them. Silence does not prove
        # that the owner is gone: each call decides whether it waits or moves to
        # another upstream.
        self.is_silent = True
        self._observer.note_silent(self)
        if seconds > FAILOVER_SECONDS:
            for receiver in tuple(self._receivers.values()):
                receiver.on_peer_silent(self._make_failure(SILENT_REASON))
        self._close_if_unused()

    def _make_failure(self, detail: str) -> CallFailed:
        # Messages for a connection that was never established have not left
        # this process.
        return CallFailed(
            Code.peer_lost if self.is_open else Code.backend_unreachable,
            outcome=Outcome.unknown if self.is_open else Outcome.not_run,
            detail=detail,
        )
