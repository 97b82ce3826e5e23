"""Says how a call ended: to its caller, to the tallies, to the events."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.calls.attempts import Obstacle
from wagtaildale.errors.codes import Code
from wagtaildale.telemetry.events import EventKind
from wagtaildale.timers.service import read_clock
from wagtaildale.types import NO_VERSION, Outcome

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wagtaildale.calls.failures import CallFailed
    from wagtaildale.calls.fields import AnswerFields
    from wagtaildale.calls.parsing import Header
    from wagtaildale.calls.routed import Routed
    from wagtaildale.calls.targets import Target
    from wagtaildale.telemetry.events import EventRecorder
    from wagtaildale.telemetry.tallies import Tallies

NO_CLASS: Final = 'none'
MILLISECONDS: Final = 1000
MICROSECONDS: Final = 1000
PERCENT: Final = 100


class CallReport:
    """How one call goes, from its arrival on."""

    def __init__(self, tallies: Tallies, recorder: EventRecorder) -> None:
        """Begin when the request has come.

        Args:
            tallies: counts of calls.
            recorder: gets events.
        """
        self._tallies = tallies
        self._recorder = recorder
        self._started = read_clock()
        self._name = NO_CLASS
        self._request = ''
        self._version = NO_VERSION
        self._within = float(0)
        self._retries = 0
        self._refusals = 0
        self._attempts: list[str] = []
        self._hedges = 0
        self._code = Code.ok
        self._outcome = Outcome.answered
        self._answer: AnswerFields | None = None

    def name_call(self, routed: Routed) -> None:
        """Note the request and its class.

        Args:
            routed: the call.
        """
        work_class = routed.match.work_class
        self._name = f'{routed.match.service}/{work_class.name}'
        self._request = routed.request_id
        self._version = routed.view.version
        self._within = work_class.within_ms / MILLISECONDS

    def note_retry(self, failure: CallFailed) -> None:
        """Note that another attempt is made.

        Args:
            failure: of the attempt before.
        """
        self._retries += 1
        self._record(EventKind.call_retried, failure)

    def note_refusal(self, failure: CallFailed) -> None:
        """Note that an owner refused the call unrun and another is asked.

        Args:
            failure: the refusal.
        """
        self._refusals += 1
        self._record(EventKind.call_redirected, failure)

    def note_attempt(self, target: Target) -> None:
        """Note that an upstream was chosen and is asked.

        Args:
            target: where the attempt goes.
        """
        fields = target.fields
        upstream = target.upstream
        self._attempts.append(fields.instance)
        if len(self._attempts) == 1:
            # Nearly every call has one attempt, and its end names it.
            return
        self._recorder.record(
            EventKind.attempt_begun,
            version=self._version,
            subject=self._name,
            request=self._request,
            inputs={
                'upstream': fields.instance,
                'attempt': fields.attempt,
                'far': int(target.is_far),
                'patient': int(fields.patient),
                'left_ms': fields.remaining_ms,
                'running': upstream.in_flight,
                'waiting': upstream.queued,
                'limit': upstream.limit,
                'slowness_percent': round(
                    upstream.speed.find_slowness(read_clock()) * PERCENT,
                ),
                'load_age_ms': round(
                    upstream.measure_load_age(read_clock()) * MILLISECONDS,
                ),
            },
        )

    def note_hedge(self) -> None:
        """Note that a second attempt was begun beside the first."""
        self._hedges += 1
        self._recorder.record(
            EventKind.call_hedged,
            subject=self._name,
            request=self._request,
            inputs={'after_ms': self._measure()},
        )

    def note_answer(self, answer: AnswerFields) -> None:
        """Note what the owner said with its answer.

        Args:
            answer: its fields.
        """
        self._answer = answer

    def note_failure(
        self,
        failure: CallFailed,
        *,
        obstacle: Obstacle = Obstacle.none,
    ) -> None:
        """Note that the call failed, and count it.

        Args:
            failure: how.
            obstacle: why no further attempt was made.
        """
        self._code = failure.code
        self._outcome = failure.outcome
        kind = EventKind.call_failed
        if failure.outcome is Outcome.not_run:
            kind = EventKind.call_refused
        self._record(kind, failure, obstacle)
        self._count()

    def close(self, *, status: int) -> None:
        """Note that the call was answered, and count it.

        Args:
            status: HTTP status of the answer.
        """
        answer = self._answer
        self._recorder.record(
            EventKind.call_answered,
            version=self._version,
            subject=self._name,
            request=self._request,
            inputs={
                'status': status,
                'upstreams': ' '.join(self._attempts),
                'took_ms': self._measure(),
                'backend_ms': round(answer.backend_us / MICROSECONDS)
                if answer
                else 0,
            },
        )
        self._count()

    def describe(self) -> Sequence[Header]:
        """Describe the call to its caller.

        Returns:
            Outcome, result code, and the time spent at each step.
        """
        total = (read_clock() - self._started) * MILLISECONDS
        timing = f'entry;dur={total:.2f}'
        node = ''
        if self._answer is not None:
            owner = self._answer.owner_us / MICROSECONDS
            backend = self._answer.backend_us / MICROSECONDS
            timing = (
                f'{timing}, owner;dur={owner:.2f}, backend;dur={backend:.2f}'
            )
            node = self._answer.instance
        outcome = f'{self._outcome.value}; code={self._code.value}'
        if node:
            outcome = f'{outcome}; node={node}'
        return (
            (b'wagtaildale-outcome', outcome.encode()),
            (b'server-timing', timing.encode()),
        )

    def _record(
        self,
        kind: EventKind,
        failure: CallFailed,
        obstacle: Obstacle = Obstacle.none,
    ) -> None:
        self._recorder.record(
            kind,
            code=failure.code,
            version=self._version,
            subject=self._name,
            detail=failure.detail,
            request=self._request,
            inputs={
                'outcome': failure.outcome.value,
                'upstreams': ' '.join(self._attempts),
                'took_ms': self._measure(),
                'retry_ms': round(failure.retry_after * MILLISECONDS),
                'not_retried': obstacle.value,
                **failure.describe_ends(),
            },
        )

    def _measure(self) -> int:
        return round((read_clock() - self._started) * MILLISECONDS)

    def _count(self) -> None:
        seconds = read_clock() - self._started
        tally = self._tallies.find(self._name)
        tally.note(self._code, self._outcome, seconds)
        tally.retried += self._retries
        tally.hedged += self._hedges
        if self._outcome is Outcome.answered and seconds <= self._within:
            tally.in_time += 1
