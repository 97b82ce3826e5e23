"""Callers' connections, and the port on which they come."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.calls.error_responses import build_error_response
from wagtaildale.calls.exchanges import Exchange
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.pending_input import PendingInput, peek_input
from wagtaildale.calls.parsing import MessageParser
from wagtaildale.calls.responses import ResponseWriter
from wagtaildale.errors.codes import Code
from wagtaildale.reactor.acceptor import Acceptor
from wagtaildale.reactor.stream import Stream
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from result import Result

    from wagtaildale.calls.addresses import Address
    from wagtaildale.calls.exchanges import RequestHandler
    from wagtaildale.calls.parsing import Message
    from wagtaildale.errors.faults import Fault
    from wagtaildale.reactor.loop import Loop

# Requests of one connection that are under way at once; more wait unread.
MAX_PIPELINED_REQUESTS: Final = 16
# Between two looks at what has been idle or half a head for too long.
TIMEOUT_CHECK_SECONDS: Final = 1.0


class CallerLimits(Struct, frozen=True, kw_only=True):
    """What callers may send, and how long they may take.

    Attributes:
        head_bytes: largest request head.
        body_bytes: largest request body.
        head_seconds: from the first byte of a head to its last.
        idle_seconds: that a connection may stay open without a request.
        connections: open at once at most.
    """

    head_bytes: int
    body_bytes: int
    head_seconds: float = 10.0
    idle_seconds: float = 60.0
    connections: int = 512


class CallerPort:
    """The port on which callers' requests come.

    Attributes:
        draining: whether connections close after what is under way on them.
    """

    def __init__(
        self,
        loop: Loop,
        *,
        request_handler: RequestHandler,
        read_limits: Callable[[], CallerLimits],
    ) -> None:
        """Prepare; ``bind`` opens the port.

        Args:
            loop: carries the connections.
            request_handler: answers requests.
            read_limits: gives what is in force for callers now.
        """
        self.loop = loop
        self.request_handler = request_handler
        self.read_limits = read_limits
        self.draining = False
        self._connections: set[CallerConnection] = set()
        self._acceptor = Acceptor(loop, on_accept=self._accept)

    @property
    def open_connections(self) -> int:
        """How many connections are open."""
        return len(self._connections)

    @property
    def active_calls(self) -> int:
        """How many requests are under way, answers not yet sent included."""
        return sum(each.active_calls for each in tuple(self._connections))

    @property
    def is_closed(self) -> bool:
        """Whether no new connection can come."""
        return self._acceptor.is_closed

    def bind(self, address: Address) -> Result[None, Fault]:
        """Open the port.

        Args:
            address: to listen on.

        Returns:
            Nothing, or the fault.
        """
        return self._acceptor.bind(address.host, address.port)

    def start(self) -> None:
        """Accept connections; in the loop's thread."""
        self._acceptor.start()
        self._check_timeouts()

    def drain(self) -> None:
        """Close each connection after what is under way on it.

        Connections are still accepted: whoever has not heard yet that this
        node leaves gets an answer, and is told to close.
        """
        self.draining = True

    def close_port(self) -> None:
        """Accept nothing more; what is open stays open."""
        self._acceptor.close()

    def close_idle(self) -> None:
        """Close whoever has had an answer and has nothing under way.

        Failure guarded here: the node waits for a long answer to one caller,
        and meanwhile another one sends on its open connection, and is cut
        at the end of the stop.
        """
        for connection in tuple(self._connections):
            connection.close_idle()

    def stop(self) -> None:
        """Close the port and everything on it, as a process that ends."""
        self._acceptor.close_now()
        for connection in tuple(self._connections):
            connection.close_now()

    def forget(self, connection: CallerConnection) -> None:
        """Forget a connection that is closed.

        Args:
            connection: of this port.
        """
        self._connections.discard(connection)

    def _accept(self, sock: socket.socket) -> None:
        connection = CallerConnection(self, sock)
        self._connections.add(connection)
        if len(self._connections) > self.read_limits().connections:
            connection.refuse(
                CallFailed(Code.overloaded, detail='too many connections'),
            )

    def _check_timeouts(self) -> None:
        now = read_clock()
        for connection in tuple(self._connections):
            connection.check_timeouts(now)
        self.loop.alarms.set(TIMEOUT_CHECK_SECONDS, self._check_timeouts)


class CallerConnection:
    """One connection of a caller.

    Requests that come behind one another are answered side by side, and
    their responses go out in order.
    """

    def __init__(self, port: CallerPort, sock: socket.socket) -> None:
        """Take a connection.

        Args:
            port: that accepted it.
            sock: the socket.
        """
        self._port = port
        self._stream = Stream(port.loop, sock, self)
        self._parser = MessageParser(
            of_requests=True,
            head_bytes=port.read_limits().head_bytes,
        )
        self._exchanges: deque[Exchange] = deque()
        self._incoming: Exchange | None = None
        self._failure: CallFailed | None = None
        self._is_parsing_paused = False
        self._has_answered = False
        self._is_finishing = False
        self._last_activity_at = read_clock()

    @property
    def active_calls(self) -> int:
        """How many requests are under way.

        Failure guarded here: a long answer is written but not sent, since
        its caller reads slowly, and the node takes the call for done and
        ends. What is not sent is under way.
        """
        return len(self._exchanges) or int(self._stream.unsent > 0)

    @property
    def is_full(self) -> bool:
        """Whether the caller has yet to take what was written."""
        return self._stream.is_full

    def closes_after(self, exchange: Exchange) -> bool:
        """Tell whether a response is the connection's last one.

        With others behind it the connection stays: they are under way, and
        closing would lose their answers.

        Args:
            exchange: whose response is written.

        Returns:
            Whether to tell the caller so.
        """
        message = exchange.message
        closing = self._port.draining or not message.keep_alive
        return self._exchanges[-1] is exchange and (
            closing or not message.is_complete or self._failure is not None
        )

    def set_reading(self, *, enabled: bool) -> None:
        """Read on, or leave what comes with the caller for now.

        Args:
            enabled: whether to read.
        """
        if enabled:
            self._stream.resume()
        else:
            self._stream.pause()

    def send_in_turn(self, exchange: Exchange, written: bytes) -> None:
        """Send a part of a response, or keep it until its turn.

        Args:
            exchange: whose response it is.
            written: the bytes.
        """
        if self._exchanges and self._exchanges[0] is exchange:
            self._stream.send(written)
        else:
            exchange.defer(written)

    def advance(self) -> None:
        """Go on to the next response once the first is done."""
        while self._exchanges and self._exchanges[0].is_done:
            done = self._exchanges.popleft()
            self._has_answered = True
            self._last_activity_at = read_clock()
            if done.announces_close or done.is_aborted:
                self._finish(aborted=done.is_aborted)
                return
            if self._exchanges:
                self._stream.send(self._exchanges[0].take_deferred())
        self._continue()

    def refuse(self, failure: CallFailed) -> None:
        """Answer with a failure after what is under way, and close.

        Args:
            failure: what is wrong.
        """
        if self._failure is not None:
            return
        self._failure = failure
        if not self._exchanges:
            self._send_failure(failure)

    def check_timeouts(self, now: float) -> None:
        """Look whether the connection has been idle for too long.

        Args:
            now: seconds on the clock.
        """
        if self.active_calls or self._failure is not None:
            return
        limits = self._port.read_limits()
        if self._parser.has_more():
            if now - self._last_activity_at > limits.head_seconds:
                self.refuse(CallFailed(Code.head_timed_out))
        elif now - self._last_activity_at > limits.idle_seconds:
            self._finish_unless_input_pending()

    def close_idle(self) -> None:
        """Close if nothing is under way.

        One that has just connected is about to send its request.
        """
        is_active = self.active_calls or self._failure is not None
        if self._has_answered and not is_active:
            self._finish_unless_input_pending()

    def close_now(self) -> None:
        """Close at once."""
        self._stream.close()
        self._detach()

    def on_open(self) -> None:
        """Do nothing: it was open from the start."""

    def on_bytes(self, chunk: bytes) -> None:
        """Take bytes of requests.

        Args:
            chunk: as read.
        """
        if self._failure is not None or self._is_finishing:
            return
        if not self._parser.has_more():
            self._last_activity_at = read_clock()
        try:
            self._parser.feed(chunk)
        except CallFailed as failure:
            self._process_messages()
            self.refuse(failure)
            return
        self._process_messages()

    def on_end(self) -> None:
        """Learn that the caller sends no more: it counts as gone."""
        if self._is_finishing:
            # It may read on; if it does not, sending will tell.
            return
        if not self._exchanges and self._failure is None:
            self._finish()
            return
        self.on_lost(OSError('the caller hung up'))

    def on_lost(self, error: OSError) -> None:
        """Learn that the caller is gone.

        Args:
            error: why.
        """
        self._stream.close()
        self._detach()

    def on_drained(self) -> None:
        """Learn that the caller has taken what was written."""
        self._last_activity_at = read_clock()
        if self._is_finishing:
            self._finish()
        elif self._exchanges and self._exchanges[0].receiver is not None:
            self._exchanges[0].receiver.on_writable()

    def _process_messages(self) -> None:
        while not self._is_ending():
            message = self._parser.peek()
            if message is None:
                return
            if (
                self._incoming is None
                and self.active_calls >= MAX_PIPELINED_REQUESTS
            ):
                self._is_parsing_paused = True
                self._stream.pause()
                return
            self._process_message(message)
            if not message.is_complete:
                return
            self._parser.drop()
            self._incoming = None

    def _continue(self) -> None:
        if self._exchanges:
            self._resume_parsing()
            return
        failure = self._failure
        if failure is None:
            self._continue_idle()
        else:
            self._send_failure(failure)

    def _continue_idle(self) -> None:
        # While the node stops, requests behind others are not begun.
        if self._port.draining and self._parser.has_more():
            self._finish()
        else:
            self._resume_parsing()

    def _resume_parsing(self) -> None:
        if self._is_parsing_paused:
            self._is_parsing_paused = False
            self._stream.resume()
            self._process_messages()

    def _process_message(self, message: Message) -> None:
        if self._incoming is None:
            exchange = Exchange(message, connection=self)
            self._exchanges.append(exchange)
            self._incoming = exchange
            self._port.request_handler.handle_request(exchange)
        elif self._incoming.receiver is not None:
            self._incoming.receiver.on_body()

    def _is_ending(self) -> bool:
        # Whatever comes behind a request that asks to close, or behind one
        # whose answer has announced the end, belongs to nobody. And a caller
        # that always has a further request under way would never let a node
        # stop: what comes behind others is not begun any more.
        if self._stream.is_closed or self._is_finishing:
            return True
        if self._incoming is not None or not self._exchanges:
            return False
        last = self._exchanges[-1]
        return (
            self._port.draining
            or last.announces_close
            or not last.message.keep_alive
        )

    def _send_failure(self, failure: CallFailed) -> None:
        head, body = build_error_response(failure)
        writer = ResponseWriter(b'GET', closing=True)
        self._stream.send(writer.begin(head, body=body, more=False))
        self._finish()

    def _finish_unless_input_pending(self) -> None:
        # Failure: a request has come and is not read yet when its idle
        # connection is closed, and is lost. It is read and answered first.
        if peek_input(self._stream) is not PendingInput.bytes_came:
            self._finish()

    def _finish(self, *, aborted: bool = False) -> None:
        self._is_finishing = True
        if aborted:
            self._stream.close()
        elif self._stream.unsent:
            # Failure: a slow reader's answer is cut a moment after the last
            # of it was written. The connection ends once all of it is sent.
            self._drop_exchanges()
            return
        else:
            self._stream.finish()
        self._detach()

    def _detach(self) -> None:
        self._port.forget(self)
        self._drop_exchanges()

    def _drop_exchanges(self) -> None:
        pending = tuple(self._exchanges)
        self._exchanges.clear()
        for exchange in pending:
            if exchange.receiver is not None:
                exchange.receiver.on_caller_gone()
