"""Simulated call of an entry, with the production code for its attempts."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Final

from msgspec import Struct, structs

from wagtaildale.admission.messages import Refused, RequestArrived, TicketId
from wagtaildale.calls.entry.attempts import Attempts
from wagtaildale.calls.failures import CallFailed
from wagtaildale.errors.codes import Code
from wagtaildale.routing.binding import BindingRequest
from wagtaildale.routing.choice import RequestContext
from wagtaildale.routing.line_check import LinesOverdue
from wagtaildale.routing.throttling import Throttled, find_request_pass_rank
from wagtaildale.testing.replay.servers import Job, ReplayServer
from wagtaildale.types import ServiceName

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.calls.entry.budgets import RetryBudget
    from wagtaildale.routing.placement import ChosenUpstream
    from wagtaildale.testing.replay.clock import VirtualClock
    from wagtaildale.testing.replay.entries import ReplayEntry, ReplayRequest

MS_PER_SECOND: Final = 1000
# One-way delay between two nodes in the same data centre and in different ones,
# including the processing time of the nodes.
LOCAL_DELAY_SECONDS: Final = 0.001
REMOTE_DELAY_SECONDS: Final = 0.002
# Retry delay given to a caller while the service has no upstream.
NO_UPSTREAM_RETRY_SECONDS: Final = 0.25


class ReplayAttempt(Struct, kw_only=True, eq=False):
    """An attempt that was sent to an upstream.

    Attributes:
        server: upstream that the attempt was sent to.
        started_at: time at which it was sent, seconds.
        is_local: whether the upstream is in the entry's data centre.
        pass_rank: rank by which the entry sampled the request; see
            ``admission.shares``.
        share: share of the requests of this rank that may be sent to the
            upstream.
        asks_free_slot: whether it is refused unless a slot is free.
        ticket: ticket of the request at the upstream; none before it arrives.
        is_over: whether the attempt was answered, refused or abandoned.
    """

    server: ReplayServer
    started_at: float
    is_local: bool
    pass_rank: int
    share: float
    asks_free_slot: bool = False
    ticket: TicketId | None = None
    is_over: bool = False


class ReplayCall:
    """One call with all of its attempts."""

    def __init__(
        self,
        entry: ReplayEntry,
        request: ReplayRequest,
        *,
        budget: RetryBudget,
    ) -> None:
        """Create the call and schedule its timeout.

        Args:
            entry: entry that received the request.
            request: the request.
            budget: the entry's retry budget for the service.
        """
        self._entry = entry
        self._clock: VirtualClock = entry.mesh.clock
        self._request = request
        self._is_over = False
        self._running: list[ReplayAttempt] = []
        self._attempts = Attempts(
            idempotent=request.work_class.idempotent,
            deadline=request.deadline,
            budget=budget,
        )
        remaining = request.deadline - self._clock.now
        self._clock.schedule(remaining, self._time_out)

    def send_attempt(self, *, is_hedge: bool = False) -> None:
        """Send an attempt to an upstream.

        Without an upstream for it the call fails, unless another attempt is
        still running.

        Args:
            is_hedge: whether it is a hedge, which runs only if the upstream
                has a free slot.
        """
        attempts = self._attempts
        placed: ChosenUpstream | Throttled | LinesOverdue | None = None
        if not is_hedge:
            placed = self._place_free_slot()
        asks_free_slot = placed is not None
        if not asks_free_slot:
            placed = self._place(is_hedge=is_hedge)
        if placed is None:
            attempts.rejections_left = 0
            placed = self._place(is_hedge=is_hedge)
        if isinstance(placed, LinesOverdue):
            failure = CallFailed(
                Code.overloaded,
                retry_after=placed.retry_after,
            )
            self._fail_if_last(failure)
            return
        if isinstance(placed, Throttled):
            failure = CallFailed(
                Code.rate_limited,
                retry_after=placed.retry_after,
            )
            self._fail_if_last(failure)
            return
        if placed is None:
            failure = CallFailed(
                Code.no_upstream,
                retry_after=NO_UPSTREAM_RETRY_SECONDS,
            )
            self._fail_if_last(failure)
            return
        instance = placed.record.instance
        patient = (
            not attempts.rejections_left
            or instance in attempts.tried
            or placed.is_only_candidate
        )
        attempts.tried.append(instance)
        server = self._entry.mesh.servers[instance]
        entry = self._entry
        now = self._clock.now
        is_local = server.record.data_centre == entry.data_centre
        attempt = ReplayAttempt(
            server=server,
            started_at=now,
            is_local=is_local,
            pass_rank=self._find_request_pass_rank(),
            share=placed.pass_share,
            asks_free_slot=asks_free_slot,
        )
        self._running.append(attempt)
        entry.placement.statistics.find(instance, now=now).note_begun(now)
        self._schedule_hedge(attempt)
        self._clock.schedule(
            _find_network_delay(attempt),
            partial(
                self._arrive,
                attempt,
                is_hedge=is_hedge,
                patient=patient and not asks_free_slot,
            ),
        )

    def _find_request_pass_rank(self) -> int:
        request = self._request
        return find_request_pass_rank(
            request.work_class.rank,
            class_name=request.work_class.name,
            slack_seconds=request.target_at - self._clock.now,
            statistics=self._entry.placement.statistics,
        )

    def _place_free_slot(self) -> ChosenUpstream | None:
        work_class = self._request.work_class
        view = self._entry.mesh.view.current
        return self._entry.binding.place(
            BindingRequest(
                class_name=work_class.name,
                target_seconds=work_class.target_seconds,
                upstreams=view.upstreams.get(work_class.service, ()),
                refused=self._attempts.refused_slots,
                may_ask_free_slot=self._attempts.may_ask_free_slot,
            ),
            partial(self._place, is_hedge=False, asks_free_slot=True),
            now=self._clock.now,
        )

    def _place(
        self, *, is_hedge: bool, asks_free_slot: bool = False
    ) -> ChosenUpstream | Throttled | LinesOverdue | None:
        request = self._request
        attempts = self._attempts
        now = self._clock.now
        return self._entry.placement.choose(
            self._entry.mesh.view.current,
            request.work_class.service,
            avoided=attempts.list_excluded(asks_free_slot=asks_free_slot),
            request=RequestContext(
                data_centre=self._entry.data_centre,
                class_name=request.work_class.name,
                slack_seconds=request.target_at - now,
                may_wait=bool(attempts.overloaded and attempts.rejections_left),
                pass_rank=self._find_request_pass_rank(),
                is_hedge=is_hedge,
                was_rate_limited=attempts.was_rate_limited,
            ),
            now=now,
        )

    def _arrive(
        self, attempt: ReplayAttempt, *, is_hedge: bool, patient: bool
    ) -> None:
        if attempt.is_over:
            return
        request = self._request
        now = self._clock.now
        seconds_left = 0 if is_hedge else max(0, request.target_at - now)
        ticket = attempt.server.request_slot(
            RequestArrived(
                within_ms=int(seconds_left * MS_PER_SECOND),
                deadline=request.deadline,
                rank=request.work_class.rank,
                patient=patient and not is_hedge,
                work_class=request.work_class.name,
                pass_rank=attempt.pass_rank,
                stands_for=1 / attempt.share,
                asks_free_slot=attempt.asks_free_slot,
            ),
            Job(
                work_class=request.work_class,
                on_refused=partial(self._send_back, attempt, self._on_refused),
                on_done=partial(self._send_back, attempt, self._on_done),
                on_started=partial(self._on_started, attempt),
            ),
        )
        attempt.ticket = ticket

    def _send_back(
        self,
        attempt: ReplayAttempt,
        on_arrival: Callable[..., None],
        response: object,
    ) -> None:
        self._clock.schedule(
            _find_network_delay(attempt), partial(on_arrival, attempt, response)
        )

    def _on_started(self, attempt: ReplayAttempt, ticket: TicketId) -> bool:
        return self._entry.mesh.make_nested_call(
            attempt.server,
            ticket,
            work_class=self._request.work_class,
            deadline=self._request.deadline,
        )

    def _on_refused(self, attempt: ReplayAttempt, refused: Refused) -> None:
        if attempt.is_over:
            return
        self._record_report(attempt, refused.code)
        self._finish(attempt)
        if self._is_over:
            return
        attempts = self._attempts
        now = self._clock.now
        failure = CallFailed(refused.code, retry_after=refused.retry_after)
        instance = attempt.server.record.instance
        if (
            attempt.asks_free_slot
            and not self._running
            and attempts.try_after_missing_slot(
                failure, instance=instance, now=now
            )
        ):
            self.send_attempt()
            return
        if refused.code is Code.overloaded and not attempt.asks_free_slot:
            self._entry.binding.note_overload(
                self._request.work_class.name, now=now
            )
        attempts.note_rejection(instance, refused.code)
        may_redirect = attempts.try_redirect(failure, now=now)
        if may_redirect or attempts.try_retry(
            failure, now=now, replayable=True
        ):
            self.send_attempt()
        else:
            self._fail_if_last(failure)

    def _on_done(self, attempt: ReplayAttempt, seconds: float) -> None:
        if attempt.is_over:
            return
        now = self._clock.now
        entry = self._entry
        work_class = self._request.work_class.name
        self._record_report(attempt, Code.ok, run_seconds=seconds)
        self._finish(attempt)
        entry.hedge_delays.find_or_create(work_class).add_sample(
            now - attempt.started_at
        )
        if not self._is_over:
            self._record_overtaken()
            self._close()
            self._request.on_answer(not attempt.is_local)

    def _record_report(
        self,
        attempt: ReplayAttempt,
        code: Code,
        *,
        run_seconds: float = 0,
    ) -> None:
        now = self._clock.now
        work_class = self._request.work_class.name
        report = structs.replace(
            attempt.server.report(code, work_class=work_class),
            run_seconds=run_seconds,
        )
        instance = attempt.server.record.instance
        statistics = self._entry.placement.statistics
        upstream = statistics.find(instance, now=now)
        upstream.note_answer(report, now=now)
        self._entry.binding.note_round_trip(
            attempt.server.record.data_centre, 2 * _find_network_delay(attempt)
        )
        statistics.server_limits.note(instance, report.server_limit, now=now)
        statistics.note_run_time(
            upstream,
            report,
            class_name=work_class,
            now=now,
        )

    def _record_overtaken(self) -> None:
        now = self._clock.now
        statistics = self._entry.placement.statistics
        for attempt in self._running:
            instance = attempt.server.record.instance
            statistics.note_unfinished_attempt(
                statistics.find(instance, now=now),
                class_name=self._request.work_class.name,
                seconds=now - attempt.started_at,
                now=now,
            )

    def _schedule_hedge(self, attempt: ReplayAttempt) -> None:
        target_ms = self._request.work_class.target_seconds * MS_PER_SECOND
        hedge_delay = self._entry.hedge_delays.find_or_create(
            self._request.work_class.name
        )
        delay = hedge_delay.find_delay(within_ms=target_ms)
        if delay is None or len(self._running) > 1:
            return
        if self._attempts.may_hedge(self._clock.now + delay):
            self._clock.schedule(delay, partial(self._hedge, attempt))

    def _hedge(self, attempt: ReplayAttempt) -> None:
        if self._is_over or self._running != [attempt]:
            return
        if self._has_hedge_upstream() and self._attempts.try_hedge(
            now=self._clock.now
        ):
            self.send_attempt(is_hedge=True)

    def _has_hedge_upstream(self) -> bool:
        now = self._clock.now
        statistics = self._entry.placement.statistics
        view = self._entry.mesh.view.current
        listed = view.upstreams[ServiceName(self._request.work_class.service)]
        return any(
            record.instance not in self._attempts.tried
            and not statistics.is_ejected(record.instance, now=now)
            and not statistics.server_limits.is_limited(record.instance)
            for record in listed
        )

    def _time_out(self) -> None:
        if not self._is_over:
            self._fail(CallFailed(Code.timed_out))

    def _fail_if_last(self, failure: CallFailed) -> None:
        if not self._running:
            self._fail(failure)

    def _fail(self, failure: CallFailed) -> None:
        self._close()
        self._request.on_failure(failure)

    def _close(self) -> None:
        self._is_over = True
        for attempt in tuple(self._running):
            self._finish(attempt)
            if attempt.ticket is not None:
                attempt.server.cancel(attempt.ticket)

    def _finish(self, attempt: ReplayAttempt) -> None:
        attempt.is_over = True
        self._running = [each for each in self._running if each is not attempt]
        instance = attempt.server.record.instance
        now = self._clock.now
        self._entry.placement.statistics.find(instance, now=now).note_ended()


def _find_network_delay(attempt: ReplayAttempt) -> float:
    return LOCAL_DELAY_SECONDS if attempt.is_local else REMOTE_DELAY_SECONDS
