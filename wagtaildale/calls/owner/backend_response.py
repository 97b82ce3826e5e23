"""A backend server's response on its way to the entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtaildale.admission.replay_cache import StoredAnswer
from wagtaildale.calls.http.heads import select_forwarded_headers
from wagtaildale.calls.owner.body_collector import REQUEST_BYTES
from wagtaildale.calls.wire.windows import SendWindow
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from wagtaildale.admission.memory import Holding
    from wagtaildale.calls.http.parsing import Message


class BackendResponse:
    """A response that is being received and forwarded to the entry.

    What the entry has no room for is read ahead, so that a caller that reads
    slowly keeps no slot of the backend server.

    Attributes:
        message: the response as parsed so far.
        buffer: bytes of the body that are received but not forwarded yet.
        is_started: whether the head was forwarded.
        window: flow-control window granted by the entry.
        progress_at: time at which the entry last took a piece or had room for
            one, seconds.
    """

    def __init__(self, message: Message, *, holding: Holding) -> None:
        """Create the response once its head is received.

        Args:
            message: the response; its body is read from it as it arrives.
            holding: what the call is charged for.
        """
        self.message = message
        self.buffer = bytearray()
        self.is_started = False
        self.window = SendWindow()
        self._holding = holding
        self.progress_at = read_clock()
        self._sent_pieces = 0
        self._checked_pieces = 0

    @property
    def is_exhausted(self) -> bool:
        """Whether all of the response has arrived and was taken."""
        return self.message.is_complete and not self.buffer

    @property
    def is_sendable(self) -> bool:
        """Whether there is a piece to send that the window allows."""
        if self.buffer:
            return self.window.is_open
        return self.message.is_complete

    def receive(self) -> None:
        """Take what has arrived of the body."""
        self.buffer += self.message.take_body()

    def take_piece(self) -> bytes:
        """Remove the next piece and count its bytes against the window.

        Returns:
            Bytes of the body; may be empty.
        """
        size = self.window.remaining_bytes
        piece = bytes(self.buffer[:size])
        self.buffer = self.buffer[size:]
        self.window.note_sent(len(piece))
        self._sent_pieces += 1
        self.progress_at = read_clock()
        return piece

    def add_credit(self, count: int) -> None:
        """Count bytes that the entry has forwarded.

        Args:
            count: number of bytes.
        """
        self.window.add_credit(count)
        self.progress_at = read_clock()

    @property
    def is_stopped(self) -> bool:
        """Whether the entry has no room for more of it."""
        return self.is_started and not self.window.is_open

    def build_answer(self, body: bytes) -> StoredAnswer:
        """Build the answer that is forwarded.

        Args:
            body: its body, or the beginning of it.

        Returns:
            The answer.
        """
        return StoredAnswer(
            status=self.message.status,
            headers=tuple(select_forwarded_headers(self.message)),
            body=body,
        )

    def check_progress(self) -> bool:
        """Tell whether a piece was sent since the last check.

        Returns:
            Whether one was; since the beginning, at the first check.
        """
        has_progress = self._sent_pieces > self._checked_pieces
        self._checked_pieces = self._sent_pieces
        return has_progress

    def charge(self) -> None:
        """Charge the call for what is held of the response."""
        self._holding.progress_at = self.progress_at
        self._holding.resize(REQUEST_BYTES + len(self.buffer))
