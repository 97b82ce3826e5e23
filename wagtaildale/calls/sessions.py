"""The owner's side of the connections between nodes."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING, Final

from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.frames import (
    COMPRESSED,
    PLAIN,
    Cancel,
    FrameReader,
    FrameWriter,
    Leaving,
    Piece,
    Ping,
    Pong,
    Reserve,
    Run,
    Taken,
)
from wagtaildale.calls.owner_call import OwnerCall
from wagtaildale.calls.transit import Transit
from wagtaildale.errors.codes import Code
from wagtaildale.reactor.acceptor import Acceptor
from wagtaildale.reactor.stream import Stream
from wagtaildale.telemetry.events import EventKind
from wagtaildale.timers.service import read_clock
from wagtaildale.types import CallNumber

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from result import Result

    from wagtaildale.calls.addresses import Address
    from wagtaildale.calls.fields import CallFields
    from wagtaildale.calls.frames import Load, ToEntry
    from wagtaildale.calls.owner import Owner
    from wagtaildale.errors.faults import Fault
    from wagtaildale.telemetry.events import EventRecorder

# Calls of one entry that an owner holds at once; the queue in front of its
# backend server is far shorter.
CALLS_MOST: Final = 4096


class PeerPort:
    """The port on which other nodes' calls come to this node's owner.

    Attributes:
        owner: of the backend server.
        recorder: gets an event for bytes that are no frames.
        acceptor: listens on the port.
    """

    def __init__(self, owner: Owner, *, recorder: EventRecorder) -> None:
        """Prepare; ``bind`` opens the port.

        Args:
            owner: of the backend server.
            recorder: gets an event for bytes that are no frames.
        """
        self.owner = owner
        self.recorder = recorder
        self._sessions: set[PeerSession] = set()
        self.acceptor = Acceptor(owner.loop, on_accept=self._accept)
        owner.load_notifier.listeners.append(self._tell_load)

    @property
    def open(self) -> int:
        """How many connections are open."""
        return len(self._sessions)

    @property
    def is_closed(self) -> bool:
        """Whether no connection is open and none can come."""
        return self.acceptor.is_closed and not self._sessions

    @property
    def busy(self) -> int:
        """How many calls are under way."""
        return sum(session.busy for session in tuple(self._sessions))

    def bind(self, address: Address) -> Result[None, Fault]:
        """Open the port.

        Args:
            address: to listen on.

        Returns:
            Nothing, or the fault.
        """
        return self.acceptor.bind(address.host, address.port)

    def start(self) -> None:
        """Accept connections; in the loop's thread."""
        self.acceptor.start()

    def announce_leaving(self) -> None:
        """Tell every entry that this owner takes no new calls."""
        for session in tuple(self._sessions):
            session.calls.announce_leaving()

    def finish(self) -> None:
        """Close what entries have left open, without a reset."""
        for session in tuple(self._sessions):
            session.finish()

    def stop(self) -> None:
        """Close the port and everything on it."""
        self.acceptor.close_now()
        for session in tuple(self._sessions):
            session.close()

    def forget(self, session: PeerSession) -> None:
        """Forget a connection that is closed.

        Args:
            session: of this port.
        """
        self._sessions.discard(session)

    def _tell_load(self, load: Load) -> None:
        for session in tuple(self._sessions):
            session.tell_load(load)

    def _accept(self, sock: socket.socket) -> None:
        self._sessions.add(PeerSession(self, sock))


class CallTable:
    """The calls of one entry at this owner, by their numbers.

    Attributes:
        owner: of the backend server.
    """

    def __init__(
        self,
        owner: Owner,
        *,
        reply: Callable[[ToEntry], None],
    ) -> None:
        """Begin with none.

        Args:
            owner: of the backend server.
            reply: sends a message to the entry.
        """
        self.owner = owner
        self.reply = reply
        self._hears_leaving = False
        self._calls: dict[CallNumber, OwnerCall] = {}
        self._transit = Transit(opened_at=read_clock())

    @property
    def busy(self) -> int:
        """How many calls are under way."""
        return len(self._calls)

    def forget(self, number: CallNumber) -> None:
        """Forget a call that is over.

        Args:
            number: the call.
        """
        self._calls.pop(number, None)

    def cancel_all(self) -> None:
        """Stop every call: the entry is gone."""
        for call in tuple(self._calls.values()):
            call.cancel()

    def note_hears_leaving(self) -> None:
        """Learn that the entry knows ``Leaving``; it may be due already.

        So may be what other entries were told unasked before this one came.
        """
        self._hears_leaving = True
        self.announce_leaving()
        load = self.owner.load_notifier.describe_initial_load()
        if load is not None:
            self.reply(load)

    def announce_leaving(self) -> None:
        """Tell the entry that the owner takes no new calls, if it does not.

        Failure guarded here: a run message is on the wire when the owner of
        a planned stop closes the connection. It is lost unread, and its
        entry cannot know that nothing ran. Told of the stop the entry sends
        nothing more, and closes from its side when its calls are over.
        """
        if self._hears_leaving and self.owner.gate.state.draining:
            self.reply(Leaving())

    def take(self, frame: object) -> None:
        """Take a message of the entry.

        Args:
            frame: the message.

        Raises:
            TypeError: for a message that no owner takes.
        """
        take_frame(frame, self)

    def measure_delay(self, fields: CallFields) -> float:
        """Measure how long the message that has just come was held up.

        Args:
            fields: of the message.

        Returns:
            Seconds; 0 if the entry does not tell when it was sent.
        """
        return self._transit.measure_delay(fields.sent_ms, now=read_clock())

    def find(self, number: CallNumber) -> OwnerCall | None:
        """Find a call.

        Args:
            number: the call.

        Returns:
            The call, or nothing if it is over.
        """
        return self._calls.get(number)

    def find_or_begin(self, number: CallNumber) -> OwnerCall | None:
        """Find a call, a new one if there is none with the number.

        Args:
            number: the call.

        Returns:
            The call, or nothing if the entry has too many.
        """
        call = self._calls.get(number)
        if call is None and len(self._calls) < CALLS_MOST:
            call = OwnerCall(self.owner, number, entrance=self)
            self._calls[number] = call
        return call


@singledispatch
def take_frame(frame: object, calls: CallTable) -> None:
    """Give an owner a message of an entry.

    Args:
        frame: the message.
        calls: of the entry.

    Raises:
        TypeError: for a message that no owner takes.
    """
    raise TypeError(f'got {frame!r}, expected a message to an owner')


@take_frame.register
def _take_reserve(frame: Reserve, calls: CallTable) -> None:
    delay = calls.measure_delay(frame.fields)
    call = calls.find_or_begin(frame.call)
    if call is not None:
        call.handle_reserve(frame, delay=delay)


@take_frame.register
def _take_run(frame: Run, calls: CallTable) -> None:
    delay = calls.measure_delay(frame.fields)
    call = calls.find_or_begin(frame.call)
    if call is not None:
        call.handle_run(frame, delay=delay)


@take_frame.register
def _take_piece(frame: Piece, calls: CallTable) -> None:
    call = calls.find(frame.call)
    if call is not None:
        call.handle_piece(frame)


@take_frame.register
def _take_taken(frame: Taken, calls: CallTable) -> None:
    call = calls.find(frame.call)
    if call is not None:
        call.handle_taken(frame)


@take_frame.register
def _take_cancel(frame: Cancel, calls: CallTable) -> None:
    call = calls.find(frame.call)
    if call is not None:
        call.cancel()


@take_frame.register
def _take_ping(frame: Ping, calls: CallTable) -> None:
    calls.reply(Pong())
    if frame.hears_leaving:
        calls.note_hears_leaving()


@take_frame.register
def _take_pong(frame: Pong, calls: CallTable) -> None:
    """Do nothing: that it came is all it says."""


class PeerSession:
    """One connection of another node; a ``StreamReceiver``.

    Attributes:
        calls: of the entry there.
    """

    def __init__(self, port: PeerPort, sock: socket.socket) -> None:
        """Take a connection.

        Args:
            port: that accepted it.
            sock: the socket.
        """
        self._port = port
        self._stream = Stream(port.owner.loop, sock, self)
        self._reader: FrameReader | None = None
        self._writer = FrameWriter(compressed=False)
        self.calls = CallTable(port.owner, reply=self._send)

    @property
    def busy(self) -> int:
        """How many calls are under way.

        Failure guarded here: a slow line has answers yet to take, their
        calls are over, and a stop ends the process with them unsent.
        """
        return self.calls.busy or int(self._stream.unsent > 0)

    def tell_load(self, load: Load) -> None:
        """Tell the entry how full and how fast the owner is.

        Failure guarded here: until the entry's first byte has come nobody
        knows whether it reads compressed frames.

        Args:
            load: the owner's word.
        """
        if self._reader is not None:
            self._send(load)

    def finish(self) -> None:
        """Close quietly; every call of the entry is cancelled."""
        self.calls.cancel_all()
        self._stream.finish()
        self._port.forget(self)

    def close(self) -> None:
        """Close at once; every call of the entry is cancelled."""
        self._stream.close()
        self._port.forget(self)
        self.calls.cancel_all()

    def on_open(self) -> None:
        """Do nothing: it was open from the start."""

    def on_bytes(self, chunk: bytes) -> None:
        """Take frames.

        Args:
            chunk: as read.
        """
        try:
            self._take(chunk)
        except (CallFailed, TypeError) as error:
            # Failure: something that is no node of ours connects, or one of
            # another build; nothing it sends is guessed at.
            self._port.recorder.record(
                EventKind.message_refused,
                detail=str(error),
            )
            self.close()

    def on_end(self) -> None:
        """Learn that the entry has closed."""
        self.close()

    def on_lost(self, error: OSError) -> None:
        """Learn that the entry is gone.

        Args:
            error: why.
        """
        self.close()

    def on_drained(self) -> None:
        """Do nothing: windows bound what is sent."""

    def _take(self, chunk: bytes) -> None:
        if self._reader is None:
            compressed = _read_mark(chunk[:1])
            self._reader = FrameReader(compressed=compressed)
            self._writer = FrameWriter(compressed=compressed)
            chunk = chunk[1:]
        for frame in self._reader.feed(chunk):
            self.calls.take(frame)

    def _send(self, frame: ToEntry) -> None:
        self._stream.send(self._writer.write(frame))


def _read_mark(mark: bytes) -> bool:
    if mark not in {PLAIN, COMPRESSED}:
        raise CallFailed(Code.message_malformed, detail='first byte')
    return mark == COMPRESSED
