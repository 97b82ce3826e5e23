"""The entry's side of the connections between nodes.

One connection to each owner carries all calls to it. It is opened before it
is needed and asked whether it is alive while calls wait on it. When nothing
comes back it is set aside: further calls take a new connection, and those
under way on it wait on, since an owner that is silent may still answer. They
are given up when their owner is known to be gone.
"""

from __future__ import annotations

import errno
from typing import TYPE_CHECKING, Final, Protocol

from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.frames import (
    COMPRESSED,
    PLAIN,
    Cancel,
    FrameReader,
    FrameWriter,
    DrainNotice,
    LoadReport,
    Ping,
    Pong,
)
from wagtaildale.calls.sessions import CallTable
from wagtaildale.calls.transit import add_send_time
from wagtaildale.errors.codes import Code
from wagtaildale.reactor.stream import open_stream
from wagtaildale.timers.service import read_clock
from wagtaildale.types import CallNumber, Outcome

if TYPE_CHECKING:
    from wagtaildale.calls.addresses import Address
    from wagtaildale.calls.frames import Frame, ToEntry, ToOwner
    from wagtaildale.calls.owner import Owner
    from wagtaildale.reactor.loop import Loop

# A round trip within a region takes a few milliseconds, and a lost packet is
# sent again after 200 ms at the least; twice that leaves room for one loss.
CONNECT_SECONDS: Final = 0.5
# While calls wait and nothing comes, the other side is asked this often,
PING_SECONDS: Final = 0.25
# and the connection is set aside once a ping was unanswered for as long.
RETIRE_SECONDS: Final = 0.75
# Calls under way on it go elsewhere after this time: two losses in a row, and
# still short of what most requests are worth waiting for. By then a newer
# connection has had the time to show that the owner is there.
FAILOVER_SECONDS: Final = 1.0
SILENT_REASON: Final = 'silent'
REPLACED_REASON: Final = 'silent while a newer connection works'
REFUSED_REASON: Final = 'silent, and a newer connection is refused'
OWNER_LEAVES_REASON: Final = 'the owner leaves'

# What an owner says of itself, and of no call.
OwnerNotice = LoadReport | DrainNotice


class PeerReceiver(Protocol):
    """Whoever made a call."""

    def on_frame(self, frame: ToEntry) -> None:
        """Take a message of the owner.

        Args:
            frame: the message.
        """

    def on_peer_silent(self, failure: CallFailed) -> None:
        """Learn that nothing was heard for a while; an answer may yet come.

        Told again, as long as it lasts, with each ping.

        Args:
            failure: that the call has if it is given up now.
        """

    def on_peer_lost(self, failure: CallFailed) -> None:
        """Learn that no further message comes.

        Args:
            failure: with outcome ``not_run`` if nothing was ever sent.
        """


class Peer(Protocol):
    """An owner as an entry speaks to it."""

    def open_call(self, receiver: PeerReceiver) -> CallNumber:
        """Begin a call.

        Args:
            receiver: gets the owner's messages.

        Returns:
            The number by which messages name the call.
        """

    def send(self, frame: ToOwner) -> None:
        """Send a message.

        Args:
            frame: the message.
        """

    def close_call(self, number: CallNumber, *, cancelled: bool) -> None:
        """End a call.

        Args:
            number: the call.
            cancelled: whether the owner is to stop what it does for it.
        """


class LocalPeer:
    """The owner in this process: no socket between."""

    def __init__(self, owner: Owner) -> None:
        """Speak to the node's own owner.

        Args:
            owner: of the backend server beside this node.
        """
        self._loop = owner.loop
        self._calls = CallTable(owner, reply=self._deliver)
        self._receivers: dict[CallNumber, PeerReceiver] = {}
        self._last_number = 0

    @property
    def active_calls(self) -> int:
        """How many calls are under way."""
        return self._calls.active_calls

    def open_call(self, receiver: PeerReceiver) -> CallNumber:
        """Begin a call; see ``Peer``.

        Args:
            receiver: gets the owner's messages.

        Returns:
            The call's number.
        """
        self._last_number += 1
        number = CallNumber(self._last_number)
        self._receivers[number] = receiver
        return number

    def send(self, frame: ToOwner) -> None:
        """Hand a message over; see ``Peer``.

        Args:
            frame: the message.
        """
        self._calls.handle_frame(frame)

    def close_call(self, number: CallNumber, *, cancelled: bool) -> None:
        """End a call; see ``Peer``.

        Args:
            number: the call.
            cancelled: whether the owner is to stop what it does for it.
        """
        self._receivers.pop(number, None)
        if cancelled:
            self._calls.handle_frame(Cancel(number))

    def _deliver(self, frame: ToEntry) -> None:
        # Not from within the entry's own call of ``send``.
        self._loop.call_soon(lambda: self._dispatch(frame))

    def _dispatch(self, frame: ToEntry) -> None:
        number = getattr(frame, 'call', None)
        receiver = self._receivers.get(number) if number else None
        if receiver is not None:
            receiver.on_frame(frame)


class PeerObserver(Protocol):
    """Whoever keeps the connections to owners."""

    def note_load(self, peer: RemotePeer, load: LoadReport) -> None:
        """Learn how full an owner is, and how fast.

        Args:
            peer: to that owner.
            load: its word.
        """

    def note_leaving(self, peer: RemotePeer) -> None:
        """Learn that an owner takes no new calls.

        Args:
            peer: the connection to it; it ends with the calls under way.
        """

    def note_silent(self, peer: RemotePeer) -> None:
        """Learn that a connection is not to be used for further calls.

        Args:
            peer: on which nothing comes; told with each ping.
        """

    def note_refused(self, peer: RemotePeer) -> None:
        """Learn that nothing listens at an owner's address any more.

        Args:
            peer: the connection that was refused.
        """

    def note_closed(self, peer: RemotePeer, detail: str) -> None:
        """Learn that a connection is gone.

        Args:
            peer: that is closed.
            detail: why.
        """


class RemotePeer:
    """An owner in another process; a ``StreamReceiver``.

    A connection is set aside when its owner leaves, or when nothing comes
    for a while: it begins no new call and closes after its last one. A
    silent one is closed sooner when its owner is known to be gone.

    Attributes:
        address: of the owner.
        is_compressed: whether what goes both ways is.
        is_open: whether the connection stands.
        is_silent: whether nothing came for so long that it was set aside.
        is_leaving: whether its owner takes no new calls.
        is_closed: whether it is of no more use.
        silent_since: since when silence counts, seconds on the clock.
        last_received_at: when something last came; 0 before the first.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        *,
        compressed: bool,
        observer: PeerObserver,
    ) -> None:
        """Begin to connect.

        Args:
            loop: carries the connection.
            address: of the owner.
            compressed: whether to compress what goes both ways.
            observer: is told what becomes of it.
        """
        self.address = address
        self.is_compressed = compressed
        self.is_open = False
        self.is_silent = False
        self.is_leaving = False
        self.is_closed = False
        self._loop = loop
        self._observer = observer
        self._abandon_at: float | None = None
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
        self._alarm = loop.alarms.set(CONNECT_SECONDS, self._check_liveness)

    @property
    def active_calls(self) -> int:
        """How many calls are under way."""
        return len(self._receivers)

    @property
    def silent_seconds(self) -> float:
        """Time since anything was heard of the owner, or it was asked."""
        return read_clock() - self.silent_since

    @property
    def unsent(self) -> int:
        """Bytes that the connection has yet to take."""
        return self._stream.unsent

    def open_call(self, receiver: PeerReceiver) -> CallNumber:
        """Begin a call; see ``Peer``.

        Args:
            receiver: gets the owner's messages.

        Returns:
            The call's number.
        """
        if not self._receivers:
            # Silence counts from when somebody began to wait.
            self.silent_since = read_clock()
        self._last_number += 1
        number = CallNumber(self._last_number)
        self._receivers[number] = receiver
        if self.is_open and not self._alarm.is_set:
            self._alarm = self._loop.alarms.set(
                PING_SECONDS, self._check_liveness
            )
        return number

    def send(self, frame: ToOwner) -> None:
        """Send a message; see ``Peer``.

        Args:
            frame: the message.
        """
        timed_frame = add_send_time(
            frame, elapsed_seconds=read_clock() - self._connecting_since
        )
        self._stream.send(self._writer.write(timed_frame))

    def close_call(self, number: CallNumber, *, cancelled: bool) -> None:
        """End a call; see ``Peer``.

        Args:
            number: the call.
            cancelled: whether the owner is to stop what it does for it.
        """
        receiver = self._receivers.pop(number, None)
        if receiver is not None and cancelled and not self.is_closed:
            self.send(Cancel(number))
        self._close_if_unused()

    def ping(self) -> None:
        """Ask whether the owner is there."""
        if self.is_open:
            self.send(Ping())

    def note_newer_connection_works(self) -> None:
        """Learn that the owner answers on a newer connection; told again.

        Failure guarded here: a connection goes silent for good while new
        ones work, and the calls on it wait until their deadline for nothing.
        After an outage TCP sends again after up to as long as it lasted, so
        that much is given to a line that was only held up.
        """
        now = read_clock()
        if self._abandon_at is None:
            self._abandon_at = now + self.silent_seconds
        elif now >= self._abandon_at:
            self.close(REPLACED_REASON)

    def close(self, detail: str) -> None:
        """Give the connection up; every call on it hears so.

        Args:
            detail: why.
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
        """Learn that the connection stands."""
        self.is_open = True
        self.silent_since = read_clock()

    def on_bytes(self, chunk: bytes) -> None:
        """Take frames.

        Args:
            chunk: as read.
        """
        self.silent_since = read_clock()
        self.last_received_at = self.silent_since
        self._abandon_at = None
        try:
            frames = self._reader.feed(chunk)
        except CallFailed as failure:
            self.close(failure.detail)
            return
        for frame in frames:
            self._handle_frame(frame)

    def on_end(self) -> None:
        """Learn that the owner has closed."""
        self.close('closed by the other side')

    def on_lost(self, error: OSError) -> None:
        """Learn that the connection is gone.

        Args:
            error: why.
        """
        if error.errno == errno.ECONNREFUSED:
            self._observer.note_refused(self)
        self.close(str(error))

    def on_drained(self) -> None:
        """Do nothing: windows bound what is sent."""

    def _handle_frame(self, frame: Frame) -> None:
        if isinstance(frame, Ping):
            self.send(Pong())
        elif isinstance(frame, OwnerNotice):
            self._handle_notice(frame)
        elif not isinstance(frame, Pong):
            receiver = self._receivers.get(frame.call)
            if receiver is not None:
                receiver.on_frame(frame)  # type: ignore[arg-type]

    def _handle_notice(self, notice: OwnerNotice) -> None:
        if isinstance(notice, LoadReport):
            self._observer.note_load(self, notice)
        else:
            self._note_drain()

    def _note_drain(self) -> None:
        if self.is_leaving:
            return
        self.is_leaving = True
        self._observer.note_leaving(self)
        self._close_if_unused()

    def _close_if_unused(self) -> None:
        # Failure: a leaving owner closes while a run message is on the wire.
        # With no call under way nothing is, and this side closes first.
        if self._receivers:
            return
        if self.is_leaving:
            self.close(OWNER_LEAVES_REASON)
        elif self.is_silent:
            self.close(SILENT_REASON)

    def _check_liveness(self) -> None:
        if not self.is_open:
            self.close('connecting took too long')
            return
        if not self._receivers:
            return
        self._exclude_own_pause()
        silent = self.silent_seconds
        if silent > RETIRE_SECONDS:
            self._handle_silence(silent)
        if self.is_closed:
            return
        if silent > PING_SECONDS:
            self.send(Ping())
        self._alarm = self._loop.alarms.set(PING_SECONDS, self._check_liveness)

    def _exclude_own_pause(self) -> None:
        # Failure: this process itself stood still, and takes every owner for
        # silent before it has read what they sent meanwhile.
        now = read_clock()
        late = now - self._alarm.at
        if late > PING_SECONDS:
            self.silent_since = min(now, self.silent_since + late)

    def _handle_silence(self, seconds: float) -> None:
        # Failure: a line stands still for some seconds, and every call on it
        # is told 502 while its server works on it. Silence is no word of the
        # owner; a call leaves it for another or waits, as the call decides.
        self.is_silent = True
        self._observer.note_silent(self)
        if seconds > FAILOVER_SECONDS:
            for receiver in tuple(self._receivers.values()):
                receiver.on_peer_silent(self._make_failure(SILENT_REASON))
        self._close_if_unused()

    def _make_failure(self, detail: str) -> CallFailed:
        # What was handed to a connection that never opened has not left
        # this process.
        return CallFailed(
            Code.peer_lost if self.is_open else Code.backend_unreachable,
            outcome=Outcome.unknown if self.is_open else Outcome.not_run,
            detail=detail,
        )
