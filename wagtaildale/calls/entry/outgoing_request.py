"""The request that the attempts of a call send, and its body in one attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.admission.incoming_line import UNSOLICITED_BYTES
from wagtaildale.calls.owner.body_collector import MAX_COLLECTED_BYTES
from wagtaildale.calls.wire.windows import SendWindow

if TYPE_CHECKING:
    from wagtaildale.calls.entry.bodies import RequestBody
    from wagtaildale.calls.wire.frames import HeaderPairs

# Bytes of a body in the first message, to an owner that collects bodies: it
# grants credits for the rest.
FIRST_PIECE_BYTES: Final = UNSOLICITED_BYTES


class OutgoingRequest:
    """The request that every attempt of a call sends."""

    def __init__(
        self,
        *,
        method: bytes,
        target: bytes,
        headers: HeaderPairs,
        body: RequestBody,
        needs_reservation: bool,
    ) -> None:
        """Create the request.

        Args:
            method: HTTP method.
            target: path and query as received.
            headers: headers that are forwarded.
            body: request body.
            needs_reservation: whether a slot is reserved before the request
                runs.
        """
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.needs_reservation = needs_reservation

    @property
    def has_small_body(self) -> bool:
        """Whether the body has arrived, can be sent again and needs no credits.

        Only such a request asks for a free slot: a refusal of any other would
        end the call, or cost the transfer of its body.
        """
        body = self.body
        return (
            body.is_complete
            and body.is_replayable
            and body.size <= UNSOLICITED_BYTES
        )


class OutgoingBody:
    """The body of a request as one attempt sends it.

    Attributes:
        is_collected: whether the owner receives the whole body on credits
            before the request asks for a slot.
        is_sent: whether all of the body was sent.
    """

    def __init__(self, body: RequestBody, *, is_collected: bool) -> None:
        """Start with nothing sent.

        Args:
            body: body of the request.
            is_collected: whether the owner collects bodies.
        """
        self.is_collected = (
            is_collected
            and body.is_replayable
            and FIRST_PIECE_BYTES < body.length <= MAX_COLLECTED_BYTES
        )
        self.is_sent = False
        self._body = body
        self._sent_bytes = 0
        self._window = (
            SendWindow(FIRST_PIECE_BYTES) if self.is_collected else SendWindow()
        )

    @property
    def may_send(self) -> bool:
        """Whether the owner accepts more, and not all was sent."""
        return self._window.is_open and not self.is_sent

    def add_credit(self, size: int) -> None:
        """Note a credit of the owner.

        Args:
            size: number of bytes that may be sent.
        """
        self._window.add_credit(size)

    def take_piece(self) -> bytes:
        """Take the next piece that the owner accepts.

        Returns:
            The piece; empty if no more of the body has arrived yet.
        """
        piece = self._body.take(
            self._sent_bytes, limit=self._window.remaining_bytes
        )
        self._window.note_sent(len(piece))
        self._sent_bytes += len(piece)
        self.is_sent = (
            self._body.is_complete and self._sent_bytes >= self._body.size
        )
        return piece
