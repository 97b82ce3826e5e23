"""Messages that an owner sends to an entry for one call."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol

from msgspec import structs

from wagtaildale.calls.owner.idempotency_guard import REPLAYED_HEADER
from wagtaildale.calls.wire.frames import (
    Answered,
    BodyPiece,
    Failed,
    Granted,
    ResponseAborted,
    WindowUpdate,
)

if TYPE_CHECKING:
    from wagtaildale.admission.messages import TicketId
    from wagtaildale.admission.replay_cache import StoredAnswer
    from wagtaildale.calls.failures import CallFailed
    from wagtaildale.calls.owner.call_times import CallTimes
    from wagtaildale.calls.owner.owner import Owner
    from wagtaildale.calls.owner.response_sender import PacedResponse
    from wagtaildale.calls.wire.fields import CallFields
    from wagtaildale.calls.wire.frames import ToEntry
    from wagtaildale.types import CallNumber

MILLISECONDS: Final = 1000


class EntryChannel(Protocol):
    """Connection back to the entry that a call came from."""

    @property
    def uses_line(self) -> bool:
        """Whether messages to the entry leave this node."""

    def reply(self, frame: ToEntry) -> None:
        """Send a message to the entry.

        Args:
            frame: message to the entry.
        """

    def forget(self, number: CallNumber) -> None:
        """Remove a finished call.

        Args:
            number: number of the call.
        """


class ReplyWriter:
    """Writes the messages to the entry for one call.

    Attributes:
        paced: the response, if it is sent in pieces at the rate of the line.
    """

    def __init__(
        self,
        owner: Owner,
        number: CallNumber,
        *,
        channel: EntryChannel,
        times: CallTimes,
    ) -> None:
        """Prepare the writer.

        Args:
            owner: owner whose state is sent with each answer.
            number: number of the call on the entry's connection.
            channel: connection to the entry.
            times: times of the call.
        """
        self.paced: PacedResponse | None = None
        self._owner = owner
        self._number = number
        self._channel = channel
        self._times = times

    def stop_pacing(self) -> None:
        """Drop what waits for the line; a further response is not paced."""
        if self.paced is not None:
            self.paced.close()
            self.paced = None

    def send_grant(self, fields: CallFields, *, lease: TicketId) -> None:
        """Send the lease of the slot that is held for the call.

        Args:
            fields: fields of the call.
            lease: identifies the slot in the run message.
        """
        answer = structs.replace(
            self._owner.build_answer_fields(fields), lease=lease
        )
        self._channel.reply(Granted(self._number, answer))

    def send_response(
        self,
        fields: CallFields,
        answer: StoredAnswer,
        *,
        more: bool,
        length: int,
    ) -> None:
        """Send the backend server's response, or its beginning.

        Args:
            fields: fields of the call.
            answer: response as far as it has arrived.
            more: whether more of the body follows.
            length: announced length of the body, bytes, or
                ``UNKNOWN_LENGTH``.
        """
        self._channel.reply(
            Answered(
                self._number,
                self._owner.build_answer_fields(
                    fields,
                    owner_seconds=self._times.measure_elapsed(),
                    backend_seconds=self._times.measure_run(),
                ),
                answer.status,
                answer.headers,
                answer.body,
                more=more,
                length=length,
            ),
        )

    def replay(self, fields: CallFields, kept: StoredAnswer) -> None:
        """Send the answer that was kept for a repeated idempotency key.

        Args:
            fields: fields of the call.
            kept: the kept answer.
        """
        self._channel.reply(
            Answered(
                self._number,
                self._owner.build_answer_fields(fields),
                kept.status,
                (*kept.headers, REPLAYED_HEADER),
                kept.body,
                more=False,
                length=len(kept.body),
            ),
        )

    def send_body(self, piece: bytes, *, more: bool) -> None:
        """Send more of the response's body.

        Args:
            piece: bytes of the body.
            more: whether more of the body follows.
        """
        self._channel.reply(BodyPiece(self._number, piece, more=more))

    def send_window_update(self, size: int) -> None:
        """Send credit for a part of the body that the backend server read.

        Args:
            size: size of the part in bytes.
        """
        self._channel.reply(WindowUpdate(self._number, size))

    def abort(self) -> None:
        """Report that the response ended before it was complete."""
        self._channel.reply(ResponseAborted(self._number))

    def send_failure(self, fields: CallFields, failure: CallFailed) -> None:
        """Send the failure of a call that gets no response.

        Args:
            fields: fields of the call.
            failure: reason, and whether the request ran.
        """
        answer = self._owner.build_answer_fields(
            fields,
            code=failure.code,
            outcome=failure.outcome,
            owner_seconds=self._times.measure_elapsed(),
            retry_ms=round(failure.retry_after * MILLISECONDS),
            was_rejected_by_server=failure.was_rejected_by_server,
        )
        if failure.crash_count:
            answer = structs.replace(answer, ends=failure.crash_count)
        self._channel.reply(Failed(self._number, answer, failure.detail))
