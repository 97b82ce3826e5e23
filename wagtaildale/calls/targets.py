"""Chooses the target of an attempt and describes the call to it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.calls.addresses import Address
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.fields import ANY_INCARNATION, CallFields
from wagtaildale.errors.codes import Code
from wagtaildale.membership.topology import rank_instances
from wagtaildale.routing.book import UPSTREAM_FAULTS, UpstreamNotes
from wagtaildale.routing.candidates import (
    leave_out_ejected,
    list_candidates,
    take_subset,
)
from wagtaildale.telemetry.events import EventKind
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wagtaildale.calls.attempts import Attempts
    from wagtaildale.calls.fields import AnswerFields
    from wagtaildale.calls.routed import EntryParts, Routed
    from wagtaildale.membership.records import InstanceRecord

MILLISECONDS: Final = 1000
GRACE_SECONDS: Final = 0.02
GRACE_SHARE: Final = 4


class Target(Struct, frozen=True, kw_only=True):
    """Where one attempt goes.

    Attributes:
        address: of the owner.
        fields: what the owner is told.
        notes: what is known of the upstream.
    """

    address: Address
    fields: CallFields
    notes: UpstreamNotes


class Targets:
    """Chooses targets and keeps the book on them."""

    def __init__(self, parts: EntryParts) -> None:
        """Prepare.

        Args:
            parts: of the node.
        """
        self._parts = parts

    def pick(self, routed: Routed, attempts: Attempts) -> Target:
        """Pick the target of the next attempt and note it as tried.

        Args:
            routed: the call.
            attempts: those before; this one is added.

        Returns:
            The target.

        Raises:
            CallFailed: when no instance takes work.
        """
        candidates = list_candidates(
            routed.view,
            service=routed.match.service,
            tried=attempts.tried,
        )
        if not candidates:
            detail = f'service {routed.match.service}'
            raise CallFailed(Code.no_upstream, detail=detail)
        record = self._choose(routed, candidates)
        attempts.tried.append(record.instance)
        notes = self._parts.book.find(record.instance)
        return Target(
            address=Address(record.host, record.owner_port),
            fields=_describe(routed, notes, attempts),
            notes=notes,
        )

    def note_answer(self, target: Target, answer: AnswerFields) -> None:
        """Note an answer of a target's owner.

        Args:
            target: where the attempt went.
            answer: its fields.
        """
        if target.notes.note_answer(answer):
            self._parts.recorder.record(
                EventKind.upstream_restored,
                subject=target.fields.instance,
            )

    def note_failure(self, target: Target, failure: CallFailed) -> None:
        """Note a failed attempt, if it speaks against the upstream.

        Args:
            target: where the attempt went.
            failure: how it ended.
        """
        if failure.code not in UPSTREAM_FAULTS:
            return
        if target.notes.ejection.note_failure(read_clock()):
            self._parts.recorder.record(
                EventKind.upstream_ejected,
                code=failure.code,
                subject=target.fields.instance,
            )

    def _choose(
        self,
        routed: Routed,
        candidates: Sequence[InstanceRecord],
    ) -> InstanceRecord:
        if routed.idempotency_key:
            return _choose_by_key(routed.idempotency_key, candidates)
        parts = self._parts
        good = leave_out_ejected(
            candidates,
            book=parts.book,
            now=read_clock(),
        )
        return parts.chooser.choose(
            take_subset(good, entry=parts.owner.identity.instance),
            book=parts.book,
            data_centre=parts.data_centre,
        )


def _choose_by_key(
    key: str,
    candidates: Sequence[InstanceRecord],
) -> InstanceRecord:
    # A repeat of the same key goes to the owner that saw it first, as long
    # as the list of those present has not changed in its favour.
    by_instance = {record.instance: record for record in candidates}
    return by_instance[rank_instances(key, instances=by_instance)[0]]


def _describe(
    routed: Routed,
    notes: UpstreamNotes,
    attempts: Attempts,
) -> CallFields:
    work_class = routed.match.work_class
    rest = routed.call.deadline - read_clock()
    if rest > GRACE_SECONDS * GRACE_SHARE:
        # Failure: at the deadline the entry gives up a moment before the
        # owner's word comes that nothing has run, and the caller hears
        # "unknown". The owner's deadline is a little earlier.
        rest -= GRACE_SECONDS
    return CallFields(
        request_id=routed.request_id,
        attempt=len(attempts.tried),
        work_class=f'{routed.match.service}/{work_class.name}',
        idempotent=work_class.idempotent,
        within_ms=work_class.within_ms,
        remaining_ms=max(0, int(rest * MILLISECONDS)),
        instance=notes.instance,
        incarnation=ANY_INCARNATION,
        depth=routed.depth,
        retries=attempts.retries_left,
    )
