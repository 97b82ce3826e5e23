"""Chooses the target of an attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.calls.addresses import Address
from wagtaildale.calls.descriptions import (
    Sending,
    describe_call,
    name_class,
    read_report,
)
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.fields import CallFields
from wagtaildale.calls.suspected_call import place_suspect
from wagtaildale.errors.codes import Code
from wagtaildale.routing.candidates import list_candidates
from wagtaildale.routing.choice import RequestContext
from wagtaildale.routing.throttling import Throttled, find_request_rank
from wagtaildale.routing.upstream import UPSTREAM_FAULTS, UpstreamStatistics
from wagtaildale.telemetry.events import EventKind
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wagtaildale.calls.attempts import Attempts
    from wagtaildale.calls.fields import AnswerFields
    from wagtaildale.calls.peers import Peer
    from wagtaildale.calls.routed import EntryParts, Routed
    from wagtaildale.calls.suspected_call import Suspect
    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.routing.placement import ChosenUpstream
    from wagtaildale.routing.statistics import FleetStatistics

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
        suspect: Suspect | None = None,
    ) -> Target:
        """Pick the target of the next attempt and note it as tried.

        Args:
            routed: the call.
            attempts: those before; this one is added.
            spare: whether it is to run only where a slot is free, beside an
                attempt that goes on.
            suspect: the request, if it may not run at any server.

        Returns:
            The target.

        Raises:
            CallFailed: when no instance takes work.
        """
        placed = self._place(routed, attempts, suspect, spare=spare)
        if placed is None:
            # Failure: a service is overloaded everywhere, and each request
            # is sent round all data centres to be refused in each.
            attempts.refusals_left = 0
            placed = self._place(routed, attempts, suspect, spare=spare)
        if isinstance(placed, Throttled):
            raise CallFailed(
                Code.rate_limited,
                detail=f'service {routed.service} takes {placed.share:.0%}',
                retry_after=placed.retry_after,
            )
        if placed is None:
            detail = f'service {routed.service}'
            raise CallFailed(
                Code.no_upstream,
                detail=detail,
                retry_after=NO_UPSTREAM_SECONDS,
            )
        record = placed.record
        patient = (
            not attempts.refusals_left
            or record.instance in attempts.tried
            or placed.is_only_candidate
        )
        attempts.tried.append(record.instance)
        upstream = self._statistics.find(
            record.instance,
            now=read_clock(),
        )
        return Target(
            address=Address(record.host, record.owner_port),
            is_local=record.host == self._parts.own_host,
            is_far=self.is_far(record),
            fields=describe_call(
                routed,
                upstream,
                attempts,
                Sending(
                    rate=self._statistics.limits.find_rate(record.instance),
                    patient=patient and not spare,
                    spare=spare,
                    pass_rank=_find_need_rank(routed, self._statistics),
                    share=placed.share,
                ),
            ),
            upstream=upstream,
        )

    def list_subset(self) -> Iterator[InstanceRecord]:
        """List the upstreams of all services that this entry calls.

        Yields:
            Those to keep connections to.
        """
        view = self._parts.view.current
        for service in view.upstreams:
            yield from self._parts.placement.list_subset(
                view,
                service,
                now=read_clock(),
            )

    def has_another(self, routed: Routed, attempts: Attempts) -> bool:
        """Tell whether an upstream with room to spare was not tried yet.

        Args:
            routed: the call.
            attempts: those before.

        Returns:
            Whether a second attempt would go to another one.
        """
        tried = attempts.tried
        statistics = self._statistics
        now = read_clock()
        candidates = list_candidates(
            self._parts.view.current,
            service=routed.service,
            tried=tried,
            leaving_servers=statistics.leaving_servers,
        )
        return any(
            record.instance not in tried
            and not statistics.is_ejected(record.instance, now=now)
            and not statistics.limits.has(record.instance)
            for record in candidates
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
        report = read_report(answer)
        self._statistics.note_speed(
            target.upstream,
            report,
            work_class=target.fields.work_class,
            now=now,
        )
        self._statistics.limits.note(
            target.fields.instance,
            report.server_limit,
            now=now,
        )
        if target.upstream.note_answer(report, now=now):
            self._parts.recorder.record(
                EventKind.upstream_restored,
                subject=target.fields.instance,
            )

    def note_overtaken(self, target: Target, *, since: float) -> None:
        """Note a target that had not answered when another one did.

        Args:
            target: where the attempt went.
            since: when it was begun, seconds.
        """
        now = read_clock()
        self._statistics.note_overtaken(
            target.upstream,
            work_class=target.fields.work_class,
            seconds=now - since,
            now=now,
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

    @property
    def _statistics(self) -> FleetStatistics:
        return self._parts.placement.statistics

    def _place(
        self,
        routed: Routed,
        attempts: Attempts,
        suspect: Suspect | None,
        *,
        spare: bool,
    ) -> ChosenUpstream | Throttled | None:
        parts = self._parts
        view = parts.view.current
        if suspect is not None:
            placed = place_suspect(
                view,
                routed,
                attempts,
                suspect=suspect,
                statistics=self._statistics,
            )
            if placed is not None:
                return placed
        excluded = attempts.list_useless()
        if routed.idempotency_key:
            return parts.placement.choose_by_key(
                view,
                routed.service,
                key=routed.idempotency_key,
                excluded=excluded,
            )
        now = read_clock()
        return parts.placement.choose(
            view,
            routed.service,
            excluded=excluded,
            request=RequestContext(
                data_centre=parts.data_centre,
                work_class=name_class(routed),
                slack_seconds=routed.due - now,
                may_wait=bool(attempts.busy and attempts.refusals_left),
                pass_rank=_find_need_rank(routed, self._statistics),
                is_hedge=spare,
                was_limited=attempts.was_limited,
            ),
            now=now,
        )


def _find_need_rank(routed: Routed, statistics: FleetStatistics) -> int:
    return find_request_rank(
        routed.match.work_class.rank,
        work_class=name_class(routed),
        slack_seconds=routed.due - read_clock(),
        statistics=statistics,
    )
