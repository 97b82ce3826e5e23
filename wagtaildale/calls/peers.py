"""The entry's side of the connections between nodes.

One connection to each owner carries all calls to it. It is opened before it
is needed, asked whether it is alive while calls wait on it, and given up
when nothing comes back: a line that went silent is then noticed once, and
not by each call for itself.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol

from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.frames import (
    COMPRESSED,
    PLAIN,
    Cancel,
    FrameReader,
    FrameWriter,
    Load,
    Ping,
    Pong,
)
from wagtaildale.calls.sessions import CallTable
from wagtaildale.calls.transit import stamp
from wagtaildale.errors.codes import Code
from wagtaildale.reactor.stream import open_stream
from wagtaildale.timers.service import read_clock
from wagtaildale.types import CallNumber, Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.calls.addresses import Address
    from wagtaildale.calls.frames import Frame, ToEntry, ToOwner
    from wagtaildale.calls.owner import Owner
    from wagtaildale.reactor.loop import Loop

# A round trip within a region takes a few milliseconds, and a lost packet is
# sent again after 200 ms at the least; twice that leaves room for one loss.
CONNECT_SECONDS: Final = 0.5
# While calls wait and nothing comes, the other side is asked this often,
PING_SECONDS: Final = 0.25
# and given up after this time: two losses in a row, and still short of what
# most requests are worth waiting for.
SILENT_SECONDS: Final = 1.0


class PeerReceiver(Protocol):
    """Whoever made a call."""

    def on_frame(self, frame: ToEntry) -> None:
        """Take a message of the owner.

        Args:
            frame: the message.
        """

    def on_peer_lost(self, failure: CallFailed) -> None:
        """Learn that no further message comes.

        Args:
            failure: with outcome ``not_run`` if nothing was ever sent.
        """


class Peer(Protocol):
    """An owner as an entry speaks to it."""

    def open(self, receiver: PeerReceiver) -> CallNumber:
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
        self._last = 0

    @property
    def busy(self) -> int:
        """How many calls are under way."""
        return self._calls.busy

    def open(self, receiver: PeerReceiver) -> CallNumber:
        """Begin a call; see ``Peer``.

        Args:
            receiver: gets the owner's messages.

        Returns:
            The call's number.
        """
        self._last += 1
        number = CallNumber(self._last)
        self._receivers[number] = receiver
        return number

    def send(self, frame: ToOwner) -> None:
        """Hand a message over; see ``Peer``.

        Args:
            frame: the message.
        """
        self._calls.take(frame)

    def close_call(self, number: CallNumber, *, cancelled: bool) -> None:
        """End a call; see ``Peer``.

        Args:
            number: the call.
            cancelled: whether the owner is to stop what it does for it.
        """
        self._receivers.pop(number, None)
        if cancelled:
            self._calls.take(Cancel(number))

    def _deliver(self, frame: ToEntry) -> None:
        # Not from within the entry's own call of ``send``.
        self._loop.call_soon(lambda: self._hand_over(frame))

    def _hand_over(self, frame: ToEntry) -> None:
        number = getattr(frame, 'call', None)
        receiver = self._receivers.get(number) if number else None
        if receiver is not None:
            receiver.on_frame(frame)


class RemotePeer:
    """An owner in another process; a ``StreamReceiver``."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        *,
        compressed: bool,
        on_load: Callable[[Load], None],
        on_closed: Callable[[RemotePeer], None],
    ) -> None:
        """Begin to connect.

        Args:
            loop: carries the connection.
            address: of the owner.
            compressed: whether to compress what goes both ways.
            on_load: is told how full the owner is.
            on_closed: is told when the connection is gone.
        """
        self.address = address
        self.is_open = False
        self.is_closed = False
        self._loop = loop
        self._on_load = on_load
        self._on_closed = on_closed
        self._reader = FrameReader(compressed=compressed)
        self._writer = FrameWriter(compressed=compressed)
        self._receivers: dict[CallNumber, PeerReceiver] = {}
        self._last = 0
        self._begun_at = read_clock()
        self._heard_at = self._begun_at
        self._stream = open_stream(loop, (address.host, address.port), self)
        self._stream.send(COMPRESSED if compressed else PLAIN)
        self._alarm = loop.alarms.set(CONNECT_SECONDS, self._watch)

    @property
    def busy(self) -> int:
        """How many calls are under way."""
        return len(self._receivers)

    def open(self, receiver: PeerReceiver) -> CallNumber:
        """Begin a call; see ``Peer``.

        Args:
            receiver: gets the owner's messages.

        Returns:
            The call's number.
        """
        if not self._receivers:
            # Silence counts from when somebody began to wait.
            self._heard_at = read_clock()
        self._last += 1
        number = CallNumber(self._last)
        self._receivers[number] = receiver
        if self.is_open and not self._alarm.is_set:
            self._alarm = self._loop.alarms.set(PING_SECONDS, self._watch)
        return number

    def send(self, frame: ToOwner) -> None:
        """Send a message; see ``Peer``.

        Args:
            frame: the message.
        """
        stamped = stamp(frame, passed=read_clock() - self._begun_at)
        self._stream.send(self._writer.write(stamped))

    def close_call(self, number: CallNumber, *, cancelled: bool) -> None:
        """End a call; see ``Peer``.

        Args:
            number: the call.
            cancelled: whether the owner is to stop what it does for it.
        """
        known = self._receivers.pop(number, None)
        if known is not None and cancelled and not self.is_closed:
            self.send(Cancel(number))

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
        self._on_closed(self)
        receivers = tuple(self._receivers.values())
        self._receivers.clear()
        for receiver in receivers:
            # What was handed to a connection that never opened has not left
            # this process.
            outcome = Outcome.unknown if self.is_open else Outcome.not_run
            failure = CallFailed(
                Code.peer_lost if self.is_open else Code.backend_unreachable,
                outcome=outcome,
                detail=detail,
            )
            receiver.on_peer_lost(failure)

    def on_open(self) -> None:
        """Learn that the connection stands."""
        self.is_open = True
        self._heard_at = read_clock()

    def on_bytes(self, chunk: bytes) -> None:
        """Take frames.

        Args:
            chunk: as read.
        """
        self._heard_at = read_clock()
        try:
            frames = self._reader.feed(chunk)
        except CallFailed as failure:
            self.close(failure.detail)
            return
        for frame in frames:
            self._take(frame)

    def on_end(self) -> None:
        """Learn that the owner has closed."""
        self.close('closed by the other side')

    def on_lost(self, error: OSError) -> None:
        """Learn that the connection is gone.

        Args:
            error: why.
        """
        self.close(str(error))

    def on_drained(self) -> None:
        """Do nothing: windows bound what is sent."""

    def _take(self, frame: Frame) -> None:
        if isinstance(frame, Ping):
            self.send(Pong())
        elif isinstance(frame, Load):
            self._on_load(frame)
        elif not isinstance(frame, Pong):
            receiver = self._receivers.get(frame.call)
            if receiver is not None:
                receiver.on_frame(frame)  # type: ignore[arg-type]

    def _watch(self) -> None:
        if not self.is_open:
            self.close('connecting took too long')
            return
        if not self._receivers:
            return
        silent = read_clock() - self._heard_at
        if silent > SILENT_SECONDS:
            self.close('silent')
            return
        if silent > PING_SECONDS:
            self.send(Ping())
        self._alarm = self._loop.alarms.set(PING_SECONDS, self._watch)


class PeerPool:
    """The connections of an entry to the owners it calls."""

    def __init__(
        self,
        loop: Loop,
        *,
        on_load: Callable[[Load], None],
    ) -> None:
        """Begin with none.

        Args:
            loop: carries the connections.
            on_load: is told how full owners are.
        """
        self._loop = loop
        self._on_load = on_load
        self._peers: dict[Address, RemotePeer] = {}

    def find(self, address: Address, *, compressed: bool) -> RemotePeer:
        """Find the connection to an owner, a new one if there is none.

        Args:
            address: of the owner.
            compressed: whether a new one is compressed.

        Returns:
            The connection, perhaps not open yet.
        """
        peer = self._peers.get(address)
        if peer is None:
            peer = RemotePeer(
                self._loop,
                address,
                compressed=compressed,
                on_load=self._on_load,
                on_closed=self._forget,
            )
            self._peers[address] = peer
        return peer

    def keep_only(self, wanted: dict[Address, bool]) -> None:
        """Open what will be needed and close what is idle and is not.

        Args:
            wanted: addresses of the owners that calls may go to, and
                whether connections to them are compressed.
        """
        for address, compressed in wanted.items():
            self.find(address, compressed=compressed)
        for address in self._peers.keys() - wanted.keys():
            if not self._peers[address].busy:
                self._peers[address].close('no longer needed')

    def close(self) -> None:
        """Close every connection."""
        for peer in tuple(self._peers.values()):
            peer.close('this node stops')

    def _forget(self, peer: RemotePeer) -> None:
        if self._peers.get(peer.address) is peer:
            self._peers.pop(peer.address)
