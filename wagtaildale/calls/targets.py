"""Chooses the target of an attempt and describes the call to it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.calls.addresses import Address
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.fields import CallFields
from wagtaildale.errors.codes import Code
from wagtaildale.membership.topology import rank_instances
from wagtaildale.routing.candidates import (
    leave_out_ejected,
    list_candidates,
    take_subset,
)
from wagtaildale.routing.choice import Need
from wagtaildale.routing.statistics import (
    UPSTREAM_FAULTS,
    OwnerReport,
    UpstreamStatistics,
)
from wagtaildale.telemetry.events import EventKind
from wagtaildale.timers.service import read_clock
from wagtaildale.types import ANY_INCARNATION

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from wagtaildale.calls.attempts import Attempts
    from wagtaildale.calls.fields import AnswerFields
    from wagtaildale.calls.peers import Peer
    from wagtaildale.calls.routed import EntryParts, Routed
    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.types import InstanceId

MILLISECONDS: Final = 1000
MICROSECONDS: Final = 1_000_000
GRACE_SECONDS: Final = 0.02
GRACE_SHARE: Final = 4
# A service without a server gets one when the list changes; asking again in
# some milliseconds only uses up the caller's tries.
NO_UPSTREAM_SECONDS: Final = 0.25


class Target(Struct, frozen=True, kw_only=True):
    """Where one attempt goes.

    Attributes:
        address: of the owner.
        is_local: whether the owner is in this process.
        is_far: whether it is in another data centre.
        fields: what the owner is told.
        upstream: what is known of it.
    """

    address: Address
    is_local: bool
    is_far: bool
    fields: CallFields
    upstream: UpstreamStatistics


class Targets:
    """Chooses targets and keeps their statistics."""

    def __init__(self, parts: EntryParts) -> None:
        """Prepare.

        Args:
            parts: of the node.
        """
        self._parts = parts

    def pick(
        self,
        routed: Routed,
        attempts: Attempts,
        *,
        spare: bool = False,
    ) -> Target:
        """Pick the target of the next attempt and note it as tried.

        Args:
            routed: the call.
            attempts: those before; this one is added.
            spare: whether it is to run only where a slot is free, beside an
                attempt that goes on.

        Returns:
            The target.

        Raises:
            CallFailed: when no instance takes work.
        """
        candidates = self._list(routed, attempts.list_useless())
        record = self._choose(routed, candidates, attempts)
        if record is None:
            # Failure: a service is overloaded everywhere, and each request
            # is sent round all data centres to be refused in each.
            attempts.refusals_left = 0
            candidates = self._list(routed, attempts.list_useless())
            record = self._choose(routed, candidates, attempts)
        if record is None:
            detail = f'service {routed.service}'
            raise CallFailed(
                Code.no_upstream,
                detail=detail,
                retry_after=NO_UPSTREAM_SECONDS,
            )
        patient = (
            not attempts.refusals_left
            or record.instance in attempts.tried
            or len(candidates) == 1
        )
        attempts.tried.append(record.instance)
        upstream = self._parts.statistics.find(
            record.instance,
            now=read_clock(),
        )
        return Target(
            address=Address(record.host, record.owner_port),
            is_local=record.host == self._parts.own_host,
            is_far=self.is_far(record),
            fields=_describe(
                routed,
                upstream,
                attempts,
                patient=patient and not spare,
                spare=spare,
            ),
            upstream=upstream,
        )

    def narrow(
        self,
        records: Sequence[InstanceRecord],
    ) -> Sequence[InstanceRecord]:
        """Narrow the upstreams of a large service to this entry's subset.

        Args:
            records: of one service.

        Returns:
            Those that this entry calls.
        """
        return take_subset(records, entry=self._parts.owner.identity.instance)

    def has_another(self, routed: Routed, attempts: Attempts) -> bool:
        """Tell whether an upstream in good standing was not tried yet.

        Args:
            routed: the call.
            attempts: those before.

        Returns:
            Whether a second attempt would go to another one.
        """
        tried = attempts.tried
        fresh = (
            record.instance
            for record in self._list(routed, tried)
            if record.instance not in tried
        )
        now = read_clock()
        statistics = self._parts.statistics
        return any(
            not statistics.find(instance, now=now).ejection.is_out(now)
            for instance in fresh
        )

    def find_peer(self, target: Target) -> Peer:
        """Find the owner at a target.

        Args:
            target: of an attempt.

        Returns:
            By whom the attempt speaks to it.
        """
        if target.is_local:
            return self._parts.local
        return self._parts.peers.find(
            target.address,
            compressed=target.is_far,
        )

    def is_far(self, record: InstanceRecord) -> bool:
        """Tell whether an upstream is in another data centre.

        Args:
            record: of the upstream.

        Returns:
            Whether bytes to it are worth compressing.
        """
        return record.data_centre != self._parts.data_centre

    def note_answer(self, target: Target, answer: AnswerFields) -> None:
        """Note an answer of a target's owner.

        Args:
            target: where the attempt went.
            answer: its fields.
        """
        now = read_clock()
        if answer.backend_us:
            self._parts.statistics.note_time(
                target.fields.instance,
                work_class=target.fields.work_class,
                seconds=answer.backend_us / MICROSECONDS,
                now=now,
            )
        if target.upstream.note_answer(_read_report(answer), now=now):
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
        if target.upstream.ejection.note_failure(read_clock()):
            self._parts.recorder.record(
                EventKind.upstream_ejected,
                code=failure.code,
                subject=target.fields.instance,
            )

    def _list(
        self,
        routed: Routed,
        tried: Collection[InstanceId],
    ) -> list[InstanceRecord]:
        return list_candidates(
            self._parts.view.current,
            service=routed.service,
            tried=tried,
        )

    def _choose(
        self,
        routed: Routed,
        candidates: Sequence[InstanceRecord],
        attempts: Attempts,
    ) -> InstanceRecord | None:
        if not candidates:
            return None
        if routed.idempotency_key:
            return _choose_by_key(routed.idempotency_key, candidates)
        parts = self._parts
        now = read_clock()
        good = leave_out_ejected(
            candidates, statistics=parts.statistics, now=now
        )
        return parts.chooser.choose(
            self.narrow(good),
            statistics=parts.statistics,
            need=Need(
                data_centre=parts.data_centre,
                work_class=_name_class(routed),
                slack_seconds=routed.due - now,
                may_wait=bool(attempts.busy and attempts.refusals_left),
            ),
            now=now,
        )


def _choose_by_key(
    key: str,
    candidates: Sequence[InstanceRecord],
) -> InstanceRecord:
    # A repeat of the same key goes to the owner that saw it first, as long
    # as the list of those present has not changed in its favour.
    by_instance = {record.instance: record for record in candidates}
    return by_instance[rank_instances(key, instances=by_instance)[0]]


def _read_report(answer: AnswerFields) -> OwnerReport:
    return OwnerReport(
        incarnation=answer.incarnation,
        in_flight=answer.in_flight,
        limit=answer.limit,
        queued=answer.queued,
        slot_seconds=answer.slot_us / MICROSECONDS,
        code=answer.code,
    )


def _name_class(routed: Routed) -> str:
    return f'{routed.service}/{routed.match.work_class.name}'


def _describe(
    routed: Routed,
    upstream: UpstreamStatistics,
    attempts: Attempts,
    *,
    patient: bool,
    spare: bool,
) -> CallFields:
    work_class = routed.match.work_class
    now = read_clock()
    # Failure: under overload every slow answer gets a second attempt, which
    # waits for a slot that a first one needs. One whose target is over runs
    # only where a slot is free at once.
    within = 0 if spare else max(0, routed.due - now)
    rest = routed.deadline - now
    if rest > GRACE_SECONDS * GRACE_SHARE:
        # Failure: at the deadline the entry gives up a moment before the
        # owner's word comes that nothing has run, and the caller hears
        # "unknown". The owner's deadline is a little earlier.
        rest -= GRACE_SECONDS
    return CallFields(
        request_id=routed.request_id,
        attempt=len(attempts.tried),
        work_class=_name_class(routed),
        idempotent=work_class.idempotent,
        within_ms=int(within * MILLISECONDS),
        remaining_ms=max(0, int(rest * MILLISECONDS)),
        instance=upstream.instance,
        incarnation=ANY_INCARNATION,
        depth=routed.depth,
        retries=attempts.retries_left,
        rank=work_class.rank,
        patient=patient,
    )
