"""Chooses the upstream of an attempt and records how it answers."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Final

from msgspec import Struct, structs

from wagtaildale.calls.addresses import Address
from wagtaildale.calls.entry.call_descriptions import (
    MICROSECONDS,
    MILLISECONDS,
    SendOptions,
    build_owner_report,
    describe_call,
    format_class_name,
)
from wagtaildale.calls.entry.suspected_call import place_suspect
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.wire.fields import CallFields
from wagtaildale.errors.codes import Code
from wagtaildale.routing.binding import (
    DEFAULT_POLICY,
    BindingRequest,
    LateBinding,
)
from wagtaildale.routing.candidates import list_service_candidates
from wagtaildale.routing.choice import RequestContext
from wagtaildale.routing.line_check import LinesOverdue
from wagtaildale.routing.throttling import Throttled, find_request_pass_rank
from wagtaildale.routing.upstream import (
    UPSTREAM_FAULT_CODES,
    UpstreamStatistics,
)
from wagtaildale.telemetry.events import EventKind
from wagtaildale.timers.service import read_clock
from wagtaildale.types import DataCentre

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from wagtaildale.calls.entry.attempts import Attempts
    from wagtaildale.calls.entry.peers import Peer
    from wagtaildale.calls.entry.routed_call import EntryParts, RoutedCall
    from wagtaildale.calls.entry.suspected_call import Suspect
    from wagtaildale.calls.wire.fields import AnswerFields
    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.routing.placement import ChosenUpstream
    from wagtaildale.routing.statistics import FleetStatistics

# Retry delay for callers of a service without an upstream. It gets one only
# when the instance list changes; retrying within a few milliseconds would use
# up the caller's retries.
NO_UPSTREAM_RETRY_SECONDS: Final = 0.25


class AttemptTarget(Struct, frozen=True, kw_only=True):
    """Upstream of one attempt.

    Attributes:
        address: address of the owner.
        is_local: whether the owner is in this process.
        is_in_other_data_centre: whether the owner is in another data centre
            than the entry.
        data_centre: data centre of the owner.
        fields: description of the call for the owner.
        upstream: statistics of the upstream.
    """

    address: Address
    is_local: bool
    is_in_other_data_centre: bool
    data_centre: DataCentre
    fields: CallFields
    upstream: UpstreamStatistics


class Targets:
    """Chooses targets and updates the statistics of their upstreams."""

    def __init__(self, parts: EntryParts) -> None:
        """Create a selector of targets.

        Args:
            parts: components of the node that the entry uses.
        """
        self._parts = parts
        self._binding = LateBinding(
            DEFAULT_POLICY, statistics=parts.placement.statistics
        )

    def choose(
        self,
        routed: RoutedCall,
        attempts: Attempts,
        *,
        is_hedge: bool = False,
        may_ask_free_slot: bool = False,
        suspect: Suspect | None = None,
    ) -> AttemptTarget:
        """Choose the target of the next attempt and mark it as tried.

        Args:
            routed: the call with its route and class.
            attempts: previous attempts; the new one is added.
            is_hedge: whether the attempt is a hedge, which runs only if a slot
                is free at once.
            may_ask_free_slot: whether the request can be sent again if an
                upstream that is asked for a free slot has none.
            suspect: suspected request, if it may run only at certain
                servers.

        Returns:
            The target.

        Raises:
            CallFailed: if no upstream accepts the request.
        """
        placed: ChosenUpstream | Throttled | LinesOverdue | None = None
        place = partial(
            self._place, routed, attempts, suspect, is_hedge=is_hedge
        )
        if may_ask_free_slot and suspect is None and not is_hedge:
            placed = self._binding.place(
                _describe_binding(routed, attempts),
                partial(place, asks_free_slot=True),
                now=read_clock(),
            )
        asks_free_slot = placed is not None
        if placed is None:
            placed = _place_or_queue(attempts, place)
        if isinstance(placed, LinesOverdue):
            raise CallFailed(
                Code.overloaded,
                detail=(
                    f'no outgoing line of service {routed.service} can carry '
                    f'the response in time: {placed.seconds:.2f} s late at '
                    f'the best of {placed.upstreams} upstreams'
                ),
                retry_after=placed.retry_after,
            )
        if isinstance(placed, Throttled):
            raise CallFailed(
                Code.rate_limited,
                detail=(
                    f'service {routed.service} is rate limited and admits '
                    f'{placed.share:.0%} of requests'
                ),
                retry_after=placed.retry_after,
            )
        if placed is None:
            detail = f'service {routed.service}'
            raise CallFailed(
                Code.no_upstream,
                detail=detail,
                retry_after=NO_UPSTREAM_RETRY_SECONDS,
            )
        record = placed.record
        patient = (
            not attempts.rejections_left
            or record.instance in attempts.tried
            or placed.is_only_candidate
        )
        attempts.tried.append(record.instance)
        upstream = self._statistics.find(
            record.instance,
            now=read_clock(),
        )
        return AttemptTarget(
            address=Address(record.host, record.owner_port),
            is_local=record.host == self._parts.own_host,
            is_in_other_data_centre=self.is_in_other_data_centre(record),
            data_centre=record.data_centre,
            fields=describe_call(
                routed,
                upstream,
                attempts,
                SendOptions(
                    rate=self._statistics.server_limits.find_rate(
                        record.instance
                    ),
                    patient=patient and not is_hedge and not asks_free_slot,
                    needs_free_slot=is_hedge,
                    asks_free_slot=asks_free_slot,
                    pass_rank=_find_request_pass_rank(routed, self._statistics),
                    share=placed.pass_share,
                    list_version=self._parts.view.current.instances_version,
                ),
            ),
            upstream=upstream,
        )

    def list_connected_upstreams(self) -> Iterator[InstanceRecord]:
        """List the upstreams that the entry keeps connections to.

        Yields:
            Upstreams of all services.
        """
        view = self._parts.view.current
        for service in view.upstreams:
            yield from self._parts.placement.list_subset(
                view,
                service,
                now=read_clock(),
            )

    def has_untried_upstream(
        self, routed: RoutedCall, attempts: Attempts
    ) -> bool:
        """Check whether there is an upstream that was not tried yet.

        Upstreams that are ejected or have a rate limit do not count.

        Args:
            routed: the call with its route and class.
            attempts: previous attempts.

        Returns:
            Whether a further attempt would go to another upstream.
        """
        tried = attempts.tried
        statistics = self._statistics
        now = read_clock()
        candidates = list_service_candidates(
            self._parts.view.current,
            service=routed.service,
            avoided=tried,
            leaving_servers=statistics.leaving_servers,
        )
        return any(
            record.instance not in tried
            and not statistics.is_ejected(record.instance, now=now)
            and not statistics.server_limits.is_limited(record.instance)
            for record in candidates
        )

    def find_peer(self, target: AttemptTarget) -> Peer:
        """Find the connection to the owner at a target.

        Args:
            target: target of an attempt.

        Returns:
            The connection, in-process for the owner of this node.
        """
        if target.is_local:
            return self._parts.local_peer
        return self._parts.peers.get_or_open(
            target.address,
            compressed=target.is_in_other_data_centre,
        )

    def is_in_other_data_centre(self, record: InstanceRecord) -> bool:
        """Check whether an upstream is in another data centre.

        Messages to other data centres are compressed.

        Args:
            record: instance record of the upstream.

        Returns:
            Whether its data centre differs from that of the entry.
        """
        return record.data_centre != self._parts.data_centre

    def note_answer(
        self, target: AttemptTarget, answer: AnswerFields, *, since: float
    ) -> None:
        """Update the statistics from an answer of a target's owner.

        Args:
            target: target of the attempt.
            answer: fields of the answer.
            since: start time of the attempt, seconds on the monotonic clock.
        """
        now = read_clock()
        report = build_owner_report(answer)
        if target.is_local:
            # Responses of this node's own server cross no line between nodes.
            report = structs.replace(report, outgoing_line=None)
        if answer.owner_us:
            self._binding.note_round_trip(
                target.data_centre, now - since - answer.owner_us / MICROSECONDS
            )
        self._statistics.note_run_time(
            target.upstream,
            report,
            class_name=target.fields.work_class,
            now=now,
        )
        self._statistics.server_limits.note(
            target.fields.instance,
            report.server_limit,
            now=now,
        )
        if target.upstream.note_answer(report, now=now):
            self._parts.recorder.record(
                EventKind.upstream_restored,
                subject=target.fields.instance,
            )

    def note_unfinished_attempt(
        self, target: AttemptTarget, *, since: float
    ) -> None:
        """Record that a target was still unanswered when another one answered.

        Args:
            target: target of the attempt that was still unanswered.
            since: start time of the attempt, seconds on the monotonic clock.
        """
        now = read_clock()
        self._statistics.note_unfinished_attempt(
            target.upstream,
            class_name=target.fields.work_class,
            seconds=now - since,
            now=now,
        )

    def note_failure(self, target: AttemptTarget, failure: CallFailed) -> None:
        """Count a failed attempt, if the upstream caused the failure.

        Args:
            target: target of the attempt.
            failure: failure of the attempt.
        """
        now = read_clock()
        fields = target.fields
        if failure.code is Code.overloaded and not fields.asks_free_slot:
            self._binding.note_overload(fields.work_class, now=now)
        if failure.code not in UPSTREAM_FAULT_CODES:
            return
        if target.upstream.ejection.note_failure(now):
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
        routed: RoutedCall,
        attempts: Attempts,
        suspect: Suspect | None,
        *,
        is_hedge: bool,
        asks_free_slot: bool = False,
    ) -> ChosenUpstream | Throttled | LinesOverdue | None:
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
        excluded = attempts.list_excluded(asks_free_slot=asks_free_slot)
        if routed.idempotency_key:
            return parts.placement.choose_by_key(
                view,
                routed.service,
                key=routed.idempotency_key,
                avoided=excluded,
            )
        now = read_clock()
        return parts.placement.choose(
            view,
            routed.service,
            avoided=excluded,
            request=RequestContext(
                data_centre=parts.data_centre,
                class_name=format_class_name(routed),
                slack_seconds=routed.latency_target_at - now,
                may_wait=bool(attempts.overloaded and attempts.rejections_left),
                pass_rank=_find_request_pass_rank(routed, self._statistics),
                is_hedge=is_hedge,
                was_rate_limited=attempts.was_rate_limited,
                body_bytes=attempts.body_bytes,
                is_bulk=routed.match.work_class.is_bulk,
                deadline_seconds=routed.deadline - now,
                may_probe=not is_hedge and not attempts.tried,
            ),
            now=now,
        )


def _describe_binding(routed: RoutedCall, attempts: Attempts) -> BindingRequest:
    work_class = routed.match.work_class
    return BindingRequest(
        class_name=format_class_name(routed),
        target_seconds=work_class.within_ms / MILLISECONDS,
        upstreams=routed.view.upstreams.get(routed.service, ()),
        refused=attempts.refused_slots,
        # The owner of a key has the answer to its first request. A large
        # response waits for the line rather than for a slot.
        may_ask_free_slot=attempts.may_ask_free_slot
        and not (routed.idempotency_key or work_class.is_bulk),
    )


def _find_request_pass_rank(
    routed: RoutedCall, statistics: FleetStatistics
) -> int:
    return find_request_pass_rank(
        routed.match.work_class.rank,
        class_name=format_class_name(routed),
        slack_seconds=routed.latency_target_at - read_clock(),
        statistics=statistics,
    )


def _place_or_queue(
    attempts: Attempts,
    place: Callable[[], ChosenUpstream | Throttled | LinesOverdue | None],
) -> ChosenUpstream | Throttled | LinesOverdue | None:
    placed = place()
    is_overdue = isinstance(placed, LinesOverdue) and attempts.overloaded
    if placed is None or is_overdue:
        # Wait at an upstream instead of trying further ones. Otherwise, if a
        # service is overloaded everywhere, each request is sent to all data
        # centres and rejected in each.
        attempts.rejections_left = 0
        placed = place()
    return placed
