"""One request at its entry, with its attempts, as the product decides them."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Final

from msgspec import Struct, structs

from wagtaildale.admission.messages import RequestArrived, Refused, TicketId
from wagtaildale.calls.attempts import Attempts
from wagtaildale.calls.failures import CallFailed
from wagtaildale.errors.codes import Code
from wagtaildale.routing.choice import Need
from wagtaildale.routing.throttling import Throttled, find_need_rank
from wagtaildale.testing.replay.servers import Job, ReplayServer
from wagtaildale.types import ServiceName

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.calls.budgets import RetryBudget
    from wagtaildale.routing.placement import Placed
    from wagtaildale.testing.replay.clock import VirtualClock
    from wagtaildale.testing.replay.entries import Asked, ReplayEntry

MILLISECONDS: Final = 1000
# One way between two nodes of a data centre and of two, their work included.
NEAR_SECONDS: Final = 0.001
FAR_SECONDS: Final = 0.002
# What a caller is told where a service has no upstream.
NO_UPSTREAM_SECONDS: Final = 0.25


class Sent(Struct, kw_only=True, eq=False):
    """An attempt under way.

    Attributes:
        server: that it went to.
        since: when it was begun, seconds.
        is_near: whether the server is in the entry's data centre.
        pass_rank: by which it was drawn.
        share: of such requests, the part that goes to the server.
        ticket: of the request there, once it is there.
        is_over: whether it was answered, refused or given up.
    """

    server: ReplayServer
    since: float
    is_near: bool
    pass_rank: int
    share: float
    ticket: TicketId | None = None
    is_over: bool = False


class ReplayCall:
    """One request at its entry."""

    def __init__(
        self,
        entry: ReplayEntry,
        asked: Asked,
        *,
        budget: RetryBudget,
    ) -> None:
        """Take the request.

        Args:
            entry: that it came to.
            asked: the request.
            budget: of repeats of its service.
        """
        self._entry = entry
        self._clock: VirtualClock = entry.mesh.clock
        self._asked = asked
        self._is_over = False
        self._running: list[Sent] = []
        self._attempts = Attempts(
            idempotent=asked.work_class.idempotent,
            deadline=asked.deadline,
            budget=budget,
        )
        left = asked.deadline - self._clock.now
        self._clock.set(left, self._time_out)

    def attempt(self, *, spare: bool = False) -> None:
        """Ask an upstream.

        Args:
            spare: whether it is to run only where a slot is free.
        """
        placed = self._place(spare=spare)
        attempts = self._attempts
        if placed is None:
            attempts.refusals_left = 0
            placed = self._place(spare=spare)
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
                retry_after=NO_UPSTREAM_SECONDS,
            )
            self._fail_if_last(failure)
            return
        instance = placed.record.instance
        patient = (
            not attempts.refusals_left
            or instance in attempts.tried
            or placed.is_only
        )
        attempts.tried.append(instance)
        server = self._entry.mesh.servers[instance]
        entry = self._entry
        now = self._clock.now
        is_near = server.record.data_centre == entry.data_centre
        sent = Sent(
            server=server,
            since=now,
            is_near=is_near,
            pass_rank=self._find_need_rank(),
            share=placed.share,
        )
        self._running.append(sent)
        entry.placement.statistics.find(instance, now=now).note_begun(now)
        self._plan_hedge(sent)
        self._clock.set(
            _find_way(sent),
            partial(self._arrive, sent, spare=spare, patient=patient),
        )

    def _find_need_rank(self) -> int:
        asked = self._asked
        return find_need_rank(
            asked.work_class.rank,
            work_class=asked.work_class.name,
            slack_seconds=asked.due - self._clock.now,
            statistics=self._entry.placement.statistics,
        )

    def _place(self, *, spare: bool) -> Placed | Throttled | None:
        asked = self._asked
        attempts = self._attempts
        now = self._clock.now
        return self._entry.placement.choose(
            self._entry.mesh.view.current,
            asked.work_class.service,
            useless=attempts.list_useless(),
            need=Need(
                data_centre=self._entry.data_centre,
                work_class=asked.work_class.name,
                slack_seconds=asked.due - now,
                may_wait=bool(attempts.busy and attempts.refusals_left),
                pass_rank=self._find_need_rank(),
                is_spare=spare,
                was_limited=attempts.was_limited,
            ),
            now=now,
        )

    def _arrive(self, sent: Sent, *, spare: bool, patient: bool) -> None:
        if sent.is_over:
            return
        asked = self._asked
        now = self._clock.now
        within = 0 if spare else max(0, asked.due - now)
        ticket = sent.server.enter(
            RequestArrived(
                within_ms=int(within * MILLISECONDS),
                deadline=asked.deadline,
                rank=asked.work_class.rank,
                patient=patient and not spare,
                work_class=asked.work_class.name,
                pass_rank=sent.pass_rank,
                stands_for=1 / sent.share,
            ),
            Job(
                work_class=asked.work_class,
                on_refused=partial(self._back, sent, self._on_refused),
                on_done=partial(self._back, sent, self._on_done),
                on_run=partial(self._on_run, sent),
            ),
        )
        sent.ticket = ticket

    def _back(
        self,
        sent: Sent,
        on_word: Callable[..., None],
        word: object,
    ) -> None:
        self._clock.set(_find_way(sent), partial(on_word, sent, word))

    def _on_run(self, sent: Sent, ticket: TicketId) -> bool:
        return self._entry.mesh.call_from(
            sent.server,
            ticket,
            work_class=self._asked.work_class,
            deadline=self._asked.deadline,
        )

    def _on_refused(self, sent: Sent, refused: Refused) -> None:
        if sent.is_over:
            return
        self._note(sent, refused.code)
        self._end(sent)
        if self._is_over:
            return
        attempts = self._attempts
        now = self._clock.now
        failure = CallFailed(refused.code, retry_after=refused.retry_after)
        attempts.note_refusal(sent.server.record.instance, refused.code)
        may_ask = attempts.may_ask_elsewhere(failure, now=now)
        if may_ask or attempts.may_retry(failure, now=now, replayable=True):
            self.attempt()
        else:
            self._fail_if_last(failure)

    def _on_done(self, sent: Sent, seconds: float) -> None:
        if sent.is_over:
            return
        now = self._clock.now
        entry = self._entry
        work_class = self._asked.work_class.name
        self._note(sent, Code.ok, run_seconds=seconds)
        self._end(sent)
        entry.clocks.find(work_class).note(now - sent.since)
        if not self._is_over:
            self._note_overtaken()
            self._close()
            self._asked.on_answer(not sent.is_near)

    def _note(
        self,
        sent: Sent,
        code: Code,
        *,
        run_seconds: float = 0,
    ) -> None:
        now = self._clock.now
        work_class = self._asked.work_class.name
        report = structs.replace(
            sent.server.report(code, work_class=work_class),
            run_seconds=run_seconds,
        )
        instance = sent.server.record.instance
        statistics = self._entry.placement.statistics
        upstream = statistics.find(instance, now=now)
        upstream.note_answer(report, now=now)
        statistics.limits.note(instance, report.named, now=now)
        statistics.note_speed(
            upstream,
            report,
            work_class=work_class,
            now=now,
        )

    def _note_overtaken(self) -> None:
        now = self._clock.now
        statistics = self._entry.placement.statistics
        for sent in self._running:
            instance = sent.server.record.instance
            statistics.note_overtaken(
                statistics.find(instance, now=now),
                work_class=self._asked.work_class.name,
                seconds=now - sent.since,
                now=now,
            )

    def _plan_hedge(self, sent: Sent) -> None:
        within = self._asked.work_class.within * MILLISECONDS
        clock = self._entry.clocks.find(self._asked.work_class.name)
        delay = clock.find_delay(within_ms=within)
        if delay is None or len(self._running) > 1:
            return
        if self._attempts.may_hedge(self._clock.now + delay):
            self._clock.set(delay, partial(self._hedge, sent))

    def _hedge(self, sent: Sent) -> None:
        if self._is_over or self._running != [sent]:
            return
        if self._has_spare() and self._attempts.take_hedge(now=self._clock.now):
            self.attempt(spare=True)

    def _has_spare(self) -> bool:
        now = self._clock.now
        statistics = self._entry.placement.statistics
        view = self._entry.mesh.view.current
        listed = view.upstreams[ServiceName(self._asked.work_class.service)]
        return any(
            record.instance not in self._attempts.tried
            and not statistics.is_out(record.instance, now=now)
            and not statistics.limits.has(record.instance)
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
        self._asked.on_failure(failure)

    def _close(self) -> None:
        self._is_over = True
        for sent in tuple(self._running):
            self._end(sent)
            if sent.ticket is not None:
                sent.server.cancel(sent.ticket)

    def _end(self, sent: Sent) -> None:
        sent.is_over = True
        self._running = [each for each in self._running if each is not sent]
        instance = sent.server.record.instance
        now = self._clock.now
        self._entry.placement.statistics.find(instance, now=now).note_ended()


def _find_way(sent: Sent) -> float:
    return NEAR_SECONDS if sent.is_near else FAR_SECONDS
