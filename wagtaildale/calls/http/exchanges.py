"""One request on a caller's connection, and the response to it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol

from wagtaildale.calls.http.heads import CONTINUE_RESPONSE
from wagtaildale.calls.http.responses import ResponseHead, ResponseWriter

if TYPE_CHECKING:
    from wagtaildale.calls.failures import CallFailed
    from wagtaildale.calls.http.caller_connection import CallerConnection
    from wagtaildale.calls.http.parsing import Message

# Memory of a request in progress beside its bytes.
EXCHANGE_BYTES: Final = 4096


class ExchangeReceiver(Protocol):
    """Receives the events of a request that is being answered."""

    def on_body(self) -> None:
        """Handle more of the request's body, or its end."""

    def on_body_failed(self, failure: CallFailed) -> None:
        """Handle a body whose rest cannot be read.

        Args:
            failure: what is wrong with it.
        """

    def on_caller_gone(self) -> None:
        """Handle a caller that has disconnected."""

    def on_writable(self) -> None:
        """Handle that all output has been sent to the caller."""

    def give_up(self) -> None:
        """Refuse the request if it has not run; the memory is full."""


class RequestHandler(Protocol):
    """Answers the requests of a port."""

    def handle_request(self, exchange: Exchange) -> None:
        """Start to answer a request.

        Args:
            exchange: exchange with the head of the request; the handler sets
                its receiver.
        """


class Exchange:
    """A request and its response.

    Several may be in progress on one connection. Output of an exchange that is
    not the first is deferred until those before it are finished, so that
    responses are sent in the order of the requests.

    Attributes:
        message: the request; its body may be incomplete.
        receiver: receives further events of the request.
        has_response_begun: whether a part of the response was written.
        is_done: whether all of the response was written.
        is_aborted: whether the connection must close after what was written.
        kept_bytes: bytes of the request's body that the receiver keeps.
        announces_close: whether the response tells the caller that the
            connection closes.
    """

    def __init__(
        self,
        message: Message,
        *,
        connection: CallerConnection,
    ) -> None:
        """Create an exchange without a response.

        Args:
            message: the request.
            connection: connection that the request arrived on.
        """
        self.message = message
        self.receiver: ExchangeReceiver | None = None
        self.has_response_begun = False
        self.is_done = False
        self.is_aborted = False
        self.announces_close = False
        self.kept_bytes = 0
        self._connection = connection
        self._writer: ResponseWriter | None = None
        self._deferred = bytearray()

    @property
    def held_bytes(self) -> int:
        """Memory that the request and its response take, bytes."""
        # The connection's parser holds an incomplete message.
        message = self.message
        of_message = message.held_bytes if message.is_complete else 0
        held = EXCHANGE_BYTES + of_message + self.kept_bytes
        return held + len(self._deferred)

    @property
    def is_full(self) -> bool:
        """Whether the writer must wait for ``on_writable``."""
        return bool(self._deferred) or self._connection.is_full

    def begin_response(
        self,
        head: ResponseHead,
        *,
        body: bytes = b'',
        more: bool = False,
    ) -> None:
        """Write the head of the response and the beginning of its body.

        Args:
            head: head of the response.
            body: the whole body, or its beginning.
            more: whether more of the body follows.
        """
        self.has_response_begun = True
        self.is_done = not more
        self.announces_close = self._connection.closes_after(self)
        self._writer = ResponseWriter(
            self.message.method,
            closes_connection=self.announces_close,
        )
        self._send(self._writer.begin(head, body=body, more=more))

    def write_body(self, piece: bytes, *, more: bool) -> None:
        """Write a piece of the response's body.

        Args:
            piece: bytes of the body; may be empty if they only mark the end.
            more: whether more of the body follows.
        """
        self.is_done = not more
        if self._writer is not None:
            self._send(self._writer.add(piece, more=more))

    def abort(self) -> None:
        """End the response before it is complete.

        The connection closes, so that the caller never takes a truncated
        response for a complete one.
        """
        self.is_done = True
        self.is_aborted = True
        self._connection.advance()

    def send_continue(self) -> None:
        """Send 100 Continue to a caller that waits for it."""
        self._connection.send_in_turn(self, CONTINUE_RESPONSE)

    def set_reading(self, *, enabled: bool) -> None:
        """Start or stop to read the request's body.

        Args:
            enabled: whether to read.
        """
        self._connection.set_reading(enabled=enabled)

    def take_deferred(self) -> bytes:
        """Remove and return the deferred output.

        Returns:
            Bytes to send.
        """
        deferred = bytes(self._deferred)
        self._deferred.clear()
        return deferred

    def defer(self, output: bytes) -> None:
        """Keep output until it is this exchange's turn.

        Args:
            output: bytes of the response.
        """
        self._deferred += output

    def _send(self, output: bytes) -> None:
        self._connection.send_in_turn(self, output)
        if self.is_done:
            self._connection.advance()
