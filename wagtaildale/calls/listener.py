"""Listens on a port and gives each connection a worker of its own."""

from __future__ import annotations

import os
import select
import socket
from typing import TYPE_CHECKING, Final, Protocol

from result import Err, Ok, Result

from wagtaildale.calls.answers import send_problem
from wagtaildale.calls.connections import Connection
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.responses import StreamCut
from wagtaildale.errors.codes import Code
from wagtaildale.errors.faults import Fault
from wagtaildale.telemetry.events import EventKind
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from concurrent.futures import Executor, Future

    from wagtaildale.calls.addresses import Address
    from wagtaildale.calls.parsing import Message
    from wagtaildale.telemetry.events import EventRecorder

BACKLOG: Final = 512
IDLE_SECONDS: Final = 60.0


class Answerer(Protocol):
    """What answers the requests on a port."""

    def answer(self, caller: Connection, message: Message) -> None:
        """Answer one request.

        Args:
            caller: on which it came.
            message: the request.
        """


class Listener:
    """One listening port; accepting runs as a task.

    Attributes:
        draining: whether connections are to be closed after their answer.
    """

    def __init__(
        self,
        answerer: Answerer,
        *,
        executor: Executor,
        connections: int,
        head_bytes: int,
        recorder: EventRecorder,
    ) -> None:
        """Prepare; ``bind`` opens the port.

        Args:
            answerer: answers requests.
            executor: runs a worker for each connection.
            connections: open at once at most.
            head_bytes: largest request head.
            recorder: gets an event if a worker fails in a way that no
                caller or server can cause.
        """
        self._answerer = answerer
        self._recorder = recorder
        self._executor = executor
        self._connections = connections
        self._head_bytes = head_bytes
        self._open: set[Worker] = set()
        self._accepting = True
        self._wake = os.eventfd(0, os.EFD_NONBLOCK)
        self.draining = False
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)

    def bind(self, address: Address) -> Result[None, Fault]:
        """Open the port.

        Args:
            address: to listen on.

        Returns:
            Nothing, or the fault.
        """
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self._sock.bind((address.host, address.port))
        except OSError as error:
            fault = Fault(
                code=Code.address_in_use,
                where=f'{address.host}:{address.port}',
                got=str(error),
                expected='an address that is free',
            )
            return Err(fault)
        self._sock.listen(BACKLOG)
        self._sock.setblocking(False)
        return Ok(None)

    def run(self) -> None:
        """Accept connections until the port is closed."""
        poller = select.poll()
        poller.register(self._sock, select.POLLIN)
        poller.register(self._wake, select.POLLIN)
        while self._accepting:
            poller.poll()
            # Whoever has connected before the port closes is answered.
            accepted = True
            while accepted:
                accepted = self._accept()
        self._sock.close()

    def drain(self) -> None:
        """Close each connection after the answer under way on it.

        Connections are still accepted: whoever has not heard yet that this
        node leaves gets an answer, and is told to close.
        """
        self.draining = True

    def close_port(self) -> None:
        """Accept nothing more; what is open stays open."""
        self._accepting = False
        os.eventfd_write(self._wake, 1)

    def stop(self, *, ways: int = socket.SHUT_RD) -> None:
        """Close the port and what is still open.

        Args:
            ways: in which connections are shut; both cuts answers under
                way, as the end of the process would.
        """
        self.close_port()
        for worker in tuple(self._open):
            worker.shut(ways)

    @property
    def open(self) -> int:
        """How many connections are open."""
        return len(self._open)

    @property
    def busy(self) -> int:
        """How many connections have a request under way."""
        return sum(worker.is_busy for worker in tuple(self._open))

    def release(self, worker: Worker) -> None:
        """Forget a worker whose connection is closed.

        Args:
            worker: of this listener.
        """
        self._open.discard(worker)

    def _note_defect(self, future: Future[None]) -> None:
        # Failure: a defect ends a worker; its caller sees a closed
        # connection and nobody else anything.
        error = None if future.cancelled() else future.exception()
        if error is not None:
            self._recorder.record(
                EventKind.invariant_broken,
                code=Code.invariant_broken,
                detail=repr(error),
            )

    def _accept(self) -> bool:
        try:
            sock, _peer = self._sock.accept()
        except OSError:
            return False
        connection = Connection(
            sock,
            of_requests=True,
            head_bytes=self._head_bytes,
        )
        if len(self._open) >= self._connections:
            _refuse(connection)
            return True
        worker = Worker(connection, listener=self, answerer=self._answerer)
        self._open.add(worker)
        future = self._executor.submit(worker.run)
        future.add_done_callback(self._note_defect)
        return True


class Worker:
    """Answers the requests of one connection, one after the other.

    Pipelined requests wait in the parser until their turn.
    """

    def __init__(
        self,
        connection: Connection,
        *,
        listener: Listener,
        answerer: Answerer,
    ) -> None:
        """Take a connection.

        Args:
            connection: just accepted.
            listener: that accepted it.
            answerer: answers requests.
        """
        self.is_busy = False
        self._connection = connection
        self._listener = listener
        self._answerer = answerer

    def run(self) -> None:
        """Answer requests until the connection closes."""
        try:
            self._serve()
        except (OSError, CallFailed, StreamCut):
            # The other side is gone, or must see a cut answer as cut.
            self.is_busy = False
        finally:
            self._connection.close()
            self._listener.release(self)

    def shut(self, ways: int) -> None:
        """End the wait for another request, or the connection itself.

        Args:
            ways: in which the connection is shut.
        """
        _shut(self._connection.sock, ways)

    def _serve(self) -> None:
        while True:
            message = self._read()
            if message is None:
                return
            self.is_busy = True
            draining = self._listener.draining
            self._connection.closing = draining or not message.keep_alive
            self._answerer.answer(self._connection, message)
            self.is_busy = False
            if not message.is_complete:
                self._connection.linger()
                return
            if self._connection.closing:
                return
            self._connection.parser.drop()

    def _read(self) -> Message | None:
        deadline = read_clock() + IDLE_SECONDS
        try:
            return self._connection.read_head(deadline=deadline)
        except CallFailed as failure:
            self._connection.closing = True
            send_problem(self._connection, failure=failure)
            self._connection.linger()
            return None


def _shut(sock: socket.socket, ways: int) -> None:
    try:
        sock.shutdown(ways)
    except OSError:
        return


def _refuse(connection: Connection) -> None:
    failure = CallFailed(Code.overloaded, detail='too many connections')
    connection.closing = True
    try:
        send_problem(connection, failure=failure)
    except OSError:
        return
    finally:
        connection.close()
