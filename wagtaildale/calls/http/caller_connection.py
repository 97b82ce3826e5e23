"""One connection of a caller: its requests and the order of their responses."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

from wagtaildale.admission.memory import (
    UNREAD_SECONDS,
    URGENT_UNREAD_SECONDS,
)
from wagtaildale.calls.failures import CallFailed, make_memory_failure
from wagtaildale.calls.http.error_responses import build_error_response
from wagtaildale.calls.http.exchanges import Exchange
from wagtaildale.calls.http.parsing import MessageParser
from wagtaildale.calls.http.pending_input import PendingInput, peek_input
from wagtaildale.calls.http.request_checks import check_request
from wagtaildale.calls.http.responses import ResponseWriter
from wagtaildale.errors.codes import Code
from wagtaildale.reactor.stream import READ_BYTES, Stream
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    import socket

    from wagtaildale.calls.http.callers import CallerPort
    from wagtaildale.calls.http.parsing import Message

# Requests of one connection in progress at once; further ones stay unread.
MAX_PIPELINED_REQUESTS: Final = 16
# Memory of a connection beside its requests.
CONNECTION_BYTES: Final = 8192


class CallerConnection:
    """One connection of a caller.

    Pipelined requests are answered in parallel; their responses are sent in the
    order of the requests. A ``Holder`` of memory.
    """

    def __init__(self, port: CallerPort, sock: socket.socket) -> None:
        """Create the connection for an accepted socket.

        Args:
            port: port that accepted it.
            sock: socket of the connection.
        """
        self._port = port
        self._stream = Stream(port.loop, sock, self)
        self._parser = MessageParser(
            parses_requests=True,
            max_head_bytes=port.read_limits().max_head_bytes,
        )
        self._exchanges: deque[Exchange] = deque()
        self._incoming: Exchange | None = None
        self._failure: CallFailed | None = None
        self._is_parsing_paused = False
        self._waits_for_turn = False
        # Requests that may begin although others are in progress.
        self._turn_requests = 0
        self._has_answered = False
        self._is_finishing = False
        self._last_activity_at = read_clock()
        self._holding = port.memory.open(self, now=self._last_activity_at)
        self._holding.resize(CONNECTION_BYTES)

    @property
    def active_calls(self) -> int:
        """Number of requests in progress.

        Unsent output counts as one request: otherwise the node would consider a
        long response to a slow reader done, and end before it is sent.
        """
        return len(self._exchanges) or int(self._stream.unsent_bytes > 0)

    @property
    def is_full(self) -> bool:
        """Whether output waits for the caller to read.

        Where memory is short, nothing more comes in until all is sent.
        """
        unsent = self._stream.unsent_bytes
        if unsent and not self._port.memory.admits(unsent):
            return True
        return self._stream.is_full

    @property
    def is_replaceable(self) -> bool:
        """Whether another connection may take its place: nothing runs."""
        if self._is_refused or self._is_finishing:
            return False
        return not self.active_calls or self._incoming is not None

    @property
    def replacement_order(self) -> tuple[bool, bool, float]:
        """Order in which others take its place, the first one first.

        Connections on which nothing has arrived go first, then idle ones,
        then those whose request has not progressed for longest.
        """
        has_input = self._parser.has_more()
        return has_input, self._has_answered, self._holding.progress_at

    def closes_after(self, exchange: Exchange) -> bool:
        """Check whether a response is the last one of the connection.

        It is not if later requests are already in progress: closing would lose
        their responses.

        Args:
            exchange: exchange whose response is written.

        Returns:
            Whether the response tells the caller that the connection closes.
        """
        message = exchange.message
        is_closing = self._port.is_draining or not message.keep_alive
        return self._exchanges[-1] is exchange and (
            is_closing or not message.is_complete or self._is_refused
        )

    def set_reading(self, *, enabled: bool) -> None:
        """Start or stop to read from the socket.

        Args:
            enabled: whether to read.
        """
        if enabled:
            self._stream.resume()
        else:
            self._stream.pause()

    def send_in_turn(self, exchange: Exchange, output: bytes) -> None:
        """Send a part of a response, or defer it until its turn.

        Args:
            exchange: exchange that the response belongs to.
            output: bytes to send.
        """
        if self._exchanges and self._exchanges[0] is exchange:
            self._stream.send(output)
        else:
            exchange.defer(output)
        if not exchange.is_done:
            self._update_holding()

    def advance(self) -> None:
        """Remove finished exchanges and send output of the next one."""
        while self._exchanges and self._exchanges[0].is_done:
            done = self._exchanges.popleft()
            done.receiver = None
            self._has_answered = True
            self._last_activity_at = read_clock()
            if done.announces_close or done.is_aborted:
                self._finish(aborted=done.is_aborted)
                return
            if self._exchanges:
                self._send_deferred(self._exchanges[0])
        self._continue()
        self._update_holding()

    def refuse(self, failure: CallFailed) -> None:
        """Send an error once earlier requests are answered, then close.

        Args:
            failure: reason for the refusal.
        """
        if self._is_refused:
            return
        # Its traceback refers to the connection.
        self._failure = failure.with_traceback(None)
        if self._incoming is None:
            self._parser.clear()
        if not self._exchanges:
            self._send_failure(failure)

    def make_room(self) -> None:
        """Close, for another connection, if nothing has run."""
        if self._parser.has_more():
            self.give_up()
        else:
            self._finish_unless_input_pending()

    def give_up(self) -> None:
        """Refuse what has not run, close if unread; see ``Holder``."""
        if self._measure_unread(read_clock()) >= URGENT_UNREAD_SECONDS:
            self._finish(aborted=True)
            return
        for exchange in reversed(tuple(self._exchanges)):
            if exchange.receiver is not None:
                exchange.receiver.give_up()
        if self._incoming is None and self._parser.has_more():
            self.refuse(make_memory_failure())
        self._update_holding()

    def check_timeouts(self, now: float) -> None:
        """Refuse a head that takes too long; close an idle connection.

        One that does not read gives way where memory is short.

        Args:
            now: current time, seconds on the monotonic clock.
        """
        if self._is_in_the_way(now):
            self._finish(aborted=True)
            return
        if self.active_calls or self._is_refused:
            return
        limits = self._port.read_limits()
        if self._parser.has_more():
            if now - self._last_activity_at > limits.head_timeout_seconds:
                self.refuse(CallFailed(Code.head_timed_out))
        elif now - self._last_activity_at > limits.idle_timeout_seconds:
            self._finish_unless_input_pending()

    def close_idle(self) -> None:
        """Close if no request is in progress.

        A connection without any response so far is kept: the caller has just
        connected and is about to send its request.
        """
        is_active = self.active_calls or self._is_refused
        if self._has_answered and not is_active:
            self._finish_unless_input_pending()

    def close_now(self) -> None:
        """Close at once."""
        self._stream.close()
        self._detach()

    def on_open(self) -> None:
        """Do nothing: accepted connections are open from the start."""

    def on_bytes(self, chunk: bytes) -> None:
        """Parse bytes of requests.

        Args:
            chunk: bytes that were read.
        """
        if self._is_refused or self._is_finishing:
            return
        now = read_clock()
        self._holding.progress_at = now
        if not self._parser.has_more():
            self._last_activity_at = now
        failure = self._parse(chunk)
        self._update_holding()
        self._port.memory.relieve(now=now)
        if failure is None:
            self._process_input()
        else:
            self._process_messages(turn_requests=MAX_PIPELINED_REQUESTS)
            self._refuse_rest(failure)
        self._update_holding()

    def on_end(self) -> None:
        """Treat a caller that sends no more as disconnected."""
        if self._is_finishing:
            # The caller may still read; if it does not, sending fails.
            return
        if not self._exchanges and self._failure is None:
            self._finish()
            return
        self.on_lost(OSError('the caller disconnected'))

    def on_lost(self, error: OSError) -> None:
        """Release a lost connection.

        Args:
            error: error of the socket.
        """
        self._stream.close()
        self._detach()

    def on_drained(self) -> None:
        """Continue to write, or finish, once all output is sent."""
        self._last_activity_at = read_clock()
        self._update_holding()
        if self._is_finishing:
            self._finish()
        elif self._exchanges and self._exchanges[0].receiver is not None:
            self._exchanges[0].receiver.on_writable()

    @property
    def _is_refused(self) -> bool:
        return self._failure is not None

    def _is_in_the_way(self, now: float) -> bool:
        if self._port.memory.admits(self._stream.unsent_bytes):
            return False
        return self._measure_unread(now) >= UNREAD_SECONDS

    def _measure_unread(self, now: float) -> float:
        if not self._stream.unsent_bytes:
            return 0
        return now - self._stream.sent_at

    def _parse(self, chunk: bytes) -> CallFailed | None:
        try:
            self._parser.feed(chunk)
        except CallFailed as failure:
            return failure
        return None

    def _process_input(self) -> None:
        if self._parser.is_dense:
            self._stream.pause()
            self._wait_for_turn()
        elif not self._waits_for_turn:
            self._process_messages()

    def _refuse_rest(self, failure: CallFailed) -> None:
        self.refuse(failure)
        incoming = self._incoming
        if incoming is not None and incoming.receiver is not None:
            incoming.receiver.on_body_failed(failure)

    def _update_holding(self) -> None:
        of_exchanges = sum(each.held_bytes for each in self._exchanges)
        of_output = self._stream.unsent_bytes
        self._holding.resize(
            CONNECTION_BYTES
            + self._parser.held_bytes
            + of_exchanges
            + of_output
        )

    def _process_messages(self, *, turn_requests: int = 0) -> None:
        self._turn_requests = turn_requests
        while self._may_process():
            message = self._parser.peek()
            if message is None or self._pause_if_full():
                return
            if self._is_behind_others():
                self._wait_for_turn()
                return
            self._process_message(message)
            has_ended = self._is_finishing or self._is_refused
            if has_ended or not message.is_complete:
                return
            self._parser.drop()
            self._incoming = None

    def _may_process(self) -> bool:
        begins_request = self._incoming is None
        if begins_request and self._is_refused:
            return False
        return not self._is_ending()

    def _is_behind_others(self) -> bool:
        # Otherwise a connection with many requests delays those of others.
        if self._incoming is not None or not self._exchanges:
            return False
        self._turn_requests -= 1
        return self._turn_requests < 0

    def _wait_for_turn(self) -> None:
        if self._parser.held_bytes > READ_BYTES:
            self._stream.pause()
        if not self._waits_for_turn:
            self._waits_for_turn = True
            self._port.loop.call_in_turn(self._take_turn)

    def _take_turn(self) -> None:
        self._waits_for_turn = False
        if self._is_finishing or self._stream.is_closed:
            return
        self._stream.resume()
        self._process_messages(turn_requests=1)
        self._update_holding()

    def _pause_if_full(self) -> bool:
        if self._incoming is not None:
            return False
        if self.active_calls < MAX_PIPELINED_REQUESTS:
            return False
        self._is_parsing_paused = True
        self._stream.pause()
        return True

    def _send_deferred(self, exchange: Exchange) -> None:
        self._stream.send(exchange.take_deferred())
        if exchange.receiver is not None and not self._stream.unsent_bytes:
            # Without bytes that wait, no ``on_drained`` follows.
            exchange.receiver.on_writable()

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
        # Pipelined requests are not started while the node stops.
        if self._port.is_draining and self._parser.has_more():
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
            try:
                self._check_message(message)
            except CallFailed as failure:
                self.refuse(failure)
            if self._is_refused:
                return
            exchange = Exchange(message, connection=self)
            self._exchanges.append(exchange)
            self._incoming = exchange
            self._port.request_handler.handle_request(exchange)
        elif self._incoming.receiver is None:
            # It was answered before its body had arrived.
            message.take_body()
        else:
            self._incoming.receiver.on_body()

    def _check_message(self, message: Message) -> None:
        holding = self._holding
        memory = self._port.memory
        if not memory.make_room(holding.size, now=holding.progress_at):
            raise make_memory_failure()
        check_request(message)

    def _is_ending(self) -> bool:
        # Requests that follow one that asks to close, or one whose response has
        # announced the close, are ignored. While the node drains, no further
        # pipelined requests are started: a caller that always has another one
        # in progress would never let the node stop.
        if self._stream.is_closed or self._is_finishing:
            return True
        if self._incoming is not None or not self._exchanges:
            return False
        last = self._exchanges[-1]
        return (
            self._port.is_draining
            or last.announces_close
            or not last.message.keep_alive
        )

    def _send_failure(self, failure: CallFailed) -> None:
        head, body = build_error_response(failure)
        writer = ResponseWriter(b'GET', closes_connection=True)
        self._stream.send(writer.begin(head, body=body, more=False))
        self._finish()

    def _finish_unless_input_pending(self) -> None:
        # Closing now would lose a request that has arrived on the idle
        # connection but is not read yet. It is read and answered first.
        if peek_input(self._stream) is not PendingInput.bytes_came:
            self._finish()

    def _finish(self, *, aborted: bool = False) -> None:
        self._is_finishing = True
        if aborted:
            self._stream.close()
        elif self._stream.unsent_bytes:
            # Closing now would cut off the response to a slow reader. The
            # connection closes once all of it is sent.
            self._drop_exchanges()
            return
        else:
            self._stream.finish()
        self._detach()

    def _detach(self) -> None:
        self._port.forget(self, self._stream)
        self._drop_exchanges()
        self._incoming = None
        self._parser.clear()
        self._holding.close()

    def _drop_exchanges(self) -> None:
        pending = tuple(self._exchanges)
        self._exchanges.clear()
        for exchange in pending:
            receiver = exchange.receiver
            exchange.receiver = None
            if receiver is not None:
                receiver.on_caller_gone()
