"""The owner's side of the connections between nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.owner.call_table import CallTable
from wagtaildale.calls.wire.frames import (
    COMPRESSED,
    PLAIN,
    FrameReader,
    FrameWriter,
)
from wagtaildale.errors.codes import Code
from wagtaildale.reactor.acceptor import Acceptor
from wagtaildale.reactor.stream import Stream
from wagtaildale.telemetry.events import EventKind

if TYPE_CHECKING:
    import socket

    from result import Result

    from wagtaildale.calls.addresses import Address
    from wagtaildale.calls.owner.owner import Owner
    from wagtaildale.calls.wire.frames import LoadReport, ToEntry
    from wagtaildale.errors.faults import Fault
    from wagtaildale.telemetry.events import EventRecorder

MAX_UNKNOWN_SESSIONS: Final = 128


class PeerPort:
    """The port where the owner accepts connections of other nodes.

    Attributes:
        owner: owner of the backend server.
        recorder: records an event for invalid frames.
        acceptor: listens on the port.
    """

    def __init__(
        self,
        owner: Owner,
        *,
        recorder: EventRecorder,
        max_unknown: int = MAX_UNKNOWN_SESSIONS,
    ) -> None:
        """Prepare the port; ``bind`` opens it.

        Args:
            owner: owner of the backend server.
            recorder: records an event for invalid frames.
            max_unknown: most connections on which no frame has arrived. Nodes
                send one as soon as they connect; what sends none takes no
                descriptors from them.
        """
        self.owner = owner
        self.recorder = recorder
        self._max_unknown = max_unknown
        self._sessions: set[PeerSession] = set()
        self._unknown: dict[PeerSession, None] = {}
        self.acceptor = Acceptor(owner.loop, on_accept=self._accept)
        owner.load_notifier.listeners.append(self._send_load)

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._sessions)

    @property
    def is_closed(self) -> bool:
        """Whether no connection is open and none is accepted."""
        return self.acceptor.is_closed and not self._sessions

    @property
    def active_calls(self) -> int:
        """Number of calls in progress."""
        return sum(session.active_calls for session in tuple(self._sessions))

    def bind(self, address: Address) -> Result[None, Fault]:
        """Open the port.

        Args:
            address: address to listen on.

        Returns:
            None, or the fault that prevented it.
        """
        return self.acceptor.bind(address.host, address.port)

    def start(self) -> None:
        """Start to accept connections; call it in the loop's thread."""
        self.acceptor.start()

    def announce_drain(self) -> None:
        """Notify every entry that this owner accepts no new calls."""
        for session in tuple(self._sessions):
            session.calls.announce_drain()

    def finish(self) -> None:
        """Close connections that entries have left open, without a reset."""
        for session in tuple(self._sessions):
            session.finish()

    def stop(self) -> None:
        """Close the port and all its connections."""
        self.acceptor.close_now()
        for session in tuple(self._sessions):
            session.close()

    def forget(self, session: PeerSession) -> None:
        """Remove a closed connection.

        Args:
            session: session of this port.
        """
        self._sessions.discard(session)
        self.note_known(session)

    def note_known(self, session: PeerSession) -> None:
        """Note that a node is at the other end of a connection.

        Args:
            session: session of this port.
        """
        self._unknown.pop(session, None)

    def _send_load(self, load: LoadReport) -> None:
        for session in tuple(self._sessions):
            session.send_load(load)

    def _accept(self, sock: socket.socket) -> None:
        session = PeerSession(self, sock)
        self._sessions.add(session)
        self._unknown[session] = None
        if len(self._unknown) > self._max_unknown:
            next(iter(self._unknown)).close()


class PeerSession:
    """One connection of another node; a ``StreamReceiver``.

    Attributes:
        calls: calls of that node's entry.
    """

    def __init__(self, port: PeerPort, sock: socket.socket) -> None:
        """Create the session for an accepted socket.

        Args:
            port: port that accepted it.
            sock: socket of the connection.
        """
        self._port = port
        self._stream = Stream(port.owner.loop, sock, self)
        self._reader: FrameReader | None = None
        self._writer = FrameWriter(compressed=False)
        self.calls = CallTable(port.owner, reply=self._send, uses_line=True)

    @property
    def active_calls(self) -> int:
        """Number of calls in progress.

        Unsent output counts as one call: otherwise a stop would end the process
        with answers unsent that a slow connection has yet to take.
        """
        return self.calls.active_calls or int(self._stream.unsent_bytes > 0)

    def send_load(self, load: LoadReport) -> None:
        """Send a load report to the entry.

        Nothing is sent before the entry's first byte has arrived, since only
        that tells whether the entry reads compressed frames.

        Args:
            load: load report of the owner.
        """
        if self._reader is not None:
            self._send(load)

    def finish(self) -> None:
        """Cancel all calls and close without a reset."""
        self.calls.cancel_all()
        self._stream.finish()
        self._port.forget(self)

    def close(self) -> None:
        """Close at once and cancel all calls."""
        self._stream.close()
        self._port.forget(self)
        self.calls.cancel_all()

    def on_open(self) -> None:
        """Do nothing: accepted connections are open from the start."""

    def on_bytes(self, chunk: bytes) -> None:
        """Handle received frames.

        Args:
            chunk: bytes that were read.
        """
        try:
            self._handle_bytes(chunk)
        except (CallFailed, TypeError) as error:
            # The other side is not a node, or an incompatible build. The
            # connection is closed; nothing it sends is interpreted.
            self._port.recorder.record(
                EventKind.message_refused,
                detail=str(error),
            )
            self.close()

    def on_end(self) -> None:
        """Close because the entry has closed."""
        self.close()

    def on_lost(self, error: OSError) -> None:
        """Close because the connection to the entry is lost.

        Args:
            error: error of the socket.
        """
        self.close()

    def on_drained(self) -> None:
        """Do nothing: flow control windows limit the output."""

    def _handle_bytes(self, chunk: bytes) -> None:
        if self._reader is None:
            compressed = _read_compression_mark(chunk[:1])
            self._reader = FrameReader(compressed=compressed)
            self._writer = FrameWriter(compressed=compressed)
            chunk = chunk[1:]
        for frame in self._reader.feed(chunk):
            self._port.note_known(self)
            self.calls.handle_frame(frame)

    def _send(self, frame: ToEntry) -> None:
        encoded = self._writer.write(frame)
        self._port.owner.response_sender.sent_bytes += len(encoded)
        self._stream.send(encoded)


def _read_compression_mark(mark: bytes) -> bool:
    if mark not in {PLAIN, COMPRESSED}:
        raise CallFailed(
            Code.message_malformed,
            detail=(
                'first byte is no known compression mark; '
                'the sender is no node or has an incompatible version'
            ),
        )
    return mark == COMPRESSED
