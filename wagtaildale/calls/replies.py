"""What an owner answers on one call, as messages to its entry."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol

from msgspec import structs

from wagtaildale.calls.frames import (
    Answered,
    Cut,
    Failed,
    Granted,
    Piece,
    Taken,
)
from wagtaildale.calls.keyed import REPLAYED

if TYPE_CHECKING:
    from wagtaildale.admission.messages import TicketId
    from wagtaildale.admission.replay_cache import StoredAnswer
    from wagtaildale.calls.call_times import CallTimes
    from wagtaildale.calls.failures import CallFailed
    from wagtaildale.calls.fields import CallFields
    from wagtaildale.calls.frames import ToEntry
    from wagtaildale.calls.owner import Owner
    from wagtaildale.types import CallNumber

MILLISECONDS: Final = 1000


class Entrance(Protocol):
    """The way back to the entry that a call came from."""

    def reply(self, frame: ToEntry) -> None:
        """Send a message to the entry.

        Args:
            frame: the message.
        """

    def forget(self, number: CallNumber) -> None:
        """Learn that a call is over.

        Args:
            number: the call.
        """


class Replies:
    """Writes the answers on one call."""

    def __init__(
        self,
        owner: Owner,
        number: CallNumber,
        *,
        entrance: Entrance,
        times: CallTimes,
    ) -> None:
        """Prepare.

        Args:
            owner: describes itself in each answer.
            number: of the call, on the entry's connection.
            entrance: the way back.
            times: of the call.
        """
        self._owner = owner
        self._number = number
        self._entrance = entrance
        self._times = times

    def grant(self, fields: CallFields, *, lease: TicketId) -> None:
        """Tell that a slot is held.

        Args:
            fields: of the call.
            lease: names the slot in the run message.
        """
        answer = structs.replace(self._owner.describe(fields), lease=lease)
        self._entrance.reply(Granted(self._number, answer))

    def answer(
        self,
        fields: CallFields,
        answer: StoredAnswer,
        *,
        more: bool,
        length: int,
    ) -> None:
        """Pass the backend server's answer on, or its beginning.

        Args:
            fields: of the call.
            answer: what has come of it.
            more: whether pieces follow.
            length: of the body where the response announces it, else -1.
        """
        self._entrance.reply(
            Answered(
                self._number,
                self._owner.describe(
                    fields,
                    owner_seconds=self._times.measure(),
                    backend_seconds=self._times.measure_run(),
                ),
                answer.status,
                answer.headers,
                answer.body,
                more=more,
                length=length,
            ),
        )

    def repeat(self, fields: CallFields, kept: StoredAnswer) -> None:
        """Give the answer that a repeated idempotency key had before.

        Args:
            fields: of the call.
            kept: the answer.
        """
        self._entrance.reply(
            Answered(
                self._number,
                self._owner.describe(fields),
                kept.status,
                (*kept.headers, REPLAYED),
                kept.body,
                more=False,
                length=len(kept.body),
            ),
        )

    def add(self, piece: bytes, *, more: bool) -> None:
        """Pass more of the answer on.

        Args:
            piece: of its body.
            more: whether pieces follow.
        """
        self._entrance.reply(Piece(self._number, piece, more=more))

    def acknowledge(self, size: int) -> None:
        """Tell that the backend server has taken a part of the request.

        Args:
            size: of it, bytes.
        """
        self._entrance.reply(Taken(self._number, size))

    def cut(self) -> None:
        """Tell that an answer that was begun breaks off."""
        self._entrance.reply(Cut(self._number))

    def fail(self, fields: CallFields, failure: CallFailed) -> None:
        """Tell that there is no answer.

        Args:
            fields: of the call.
            failure: why, and whether the request has run.
        """
        answer = self._owner.describe(
            fields,
            code=failure.code,
            outcome=failure.outcome,
            owner_seconds=self._times.measure(),
            retry_ms=round(failure.retry_after * MILLISECONDS),
            has_arrived=failure.has_arrived,
        )
        if failure.ends:
            answer = structs.replace(answer, ends=failure.ends)
        self._entrance.reply(Failed(self._number, answer, failure.detail))
