"""One request on a caller's connection, and the response to it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from wagtaildale.calls.heads import CONTINUE_RESPONSE
from wagtaildale.calls.responses import ResponseHead, ResponseWriter

if TYPE_CHECKING:
    from wagtaildale.calls.callers import CallerConnection
    from wagtaildale.calls.parsing import Message


class ExchangeReceiver(Protocol):
    """Whoever answers a request."""

    def on_body(self) -> None:
        """Learn that more of the request's body is here, or its end."""

    def on_caller_gone(self) -> None:
        """Learn that the caller waits no longer."""

    def on_writable(self) -> None:
        """Learn that the caller has taken what was written so far."""


class RequestHandler(Protocol):
    """What answers the requests on a port."""

    def handle_request(self, exchange: Exchange) -> None:
        """Begin to answer a request.

        Args:
            exchange: its head is here; it gets a receiver.
        """


class Exchange:
    """A request and the place of its response.

    Several may be under way on one connection; what is written for one that
    is not the first is kept until those before it are done, so that
    responses go out in the order of the requests.

    Attributes:
        message: the request, its body perhaps still coming.
        receiver: answers it.
        is_begun: whether any of the response was written.
        is_done: whether all of it was.
        is_aborted: whether the connection must close after what was written.
        announces_close: whether the caller was told that the connection ends here.
    """

    def __init__(
        self,
        message: Message,
        *,
        connection: CallerConnection,
    ) -> None:
        """Begin.

        Args:
            message: the request.
            connection: on which it came.
        """
        self.message = message
        self.receiver: ExchangeReceiver | None = None
        self.is_begun = False
        self.is_done = False
        self.is_aborted = False
        self.announces_close = False
        self._connection = connection
        self._writer: ResponseWriter | None = None
        self._deferred = bytearray()

    @property
    def is_full(self) -> bool:
        """Whether more is to be written only after ``on_writable``."""
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
            head: of the response.
            body: all of it, or its beginning.
            more: whether pieces follow.
        """
        self.is_begun = True
        self.is_done = not more
        self.announces_close = self._connection.closes_after(self)
        self._writer = ResponseWriter(
            self.message.method,
            closing=self.announces_close,
        )
        self._send(self._writer.begin(head, body=body, more=more))

    def write_body(self, piece: bytes, *, more: bool) -> None:
        """Write a piece of the body.

        Args:
            piece: may be empty where only the end is told.
            more: whether pieces follow.
        """
        self.is_done = not more
        if self._writer is not None:
            self._send(self._writer.add(piece, more=more))

    def abort(self) -> None:
        """Break the response off so that it cannot pass for a whole one."""
        self.is_done = True
        self.is_aborted = True
        self._connection.advance()

    def send_continue(self) -> None:
        """Tell a caller that waits for it to send the body."""
        self._connection.send_in_turn(self, CONTINUE_RESPONSE)

    def set_reading(self, *, enabled: bool) -> None:
        """Read more of the request's body, or leave it with the caller.

        Args:
            enabled: whether to read on.
        """
        self._connection.set_reading(enabled=enabled)

    def take_deferred(self) -> bytes:
        """Take what was written while others were before this one.

        Returns:
            The bytes to send.
        """
        deferred = bytes(self._deferred)
        self._deferred.clear()
        return deferred

    def defer(self, written: bytes) -> None:
        """Keep what was written until it is this one's turn.

        Args:
            written: bytes of the response.
        """
        self._deferred += written

    def _send(self, written: bytes) -> None:
        self._connection.send_in_turn(self, written)
        if self.is_done:
            self._connection.advance()
