"""Reports how a call went: to its caller, the tallies and the event log."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.calls.entry.attempts import Obstacle
from wagtaildale.configuration.qualified_names import qualify_class
from wagtaildale.errors.codes import Code
from wagtaildale.telemetry.events import EventKind
from wagtaildale.timers.service import read_clock
from wagtaildale.types import NO_VERSION, Outcome

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wagtaildale.calls.entry.routed_call import RoutedCall
    from wagtaildale.calls.entry.targets import AttemptTarget
    from wagtaildale.calls.failures import CallFailed
    from wagtaildale.calls.http.parsing import Header
    from wagtaildale.calls.wire.fields import AnswerFields
    from wagtaildale.telemetry.events import EventRecorder, Inputs
    from wagtaildale.telemetry.tallies import Tallies

NO_CLASS: Final = 'none'
MILLISECONDS: Final = 1000
MICROSECONDS_PER_MS: Final = 1000
PERCENT: Final = 100


class CallReport:
    """The report on one call, from its arrival to its end."""

    def __init__(self, tallies: Tallies, recorder: EventRecorder) -> None:
        """Start the report when the request arrives.

        Args:
            tallies: counters of calls by class.
            recorder: recorder of events.
        """
        self._tallies = tallies
        self._recorder = recorder
        self._started_at = read_clock()
        self._class_name = NO_CLASS
        self._request_id = ''
        self._version = NO_VERSION
        self._latency_target_seconds = float(0)
        self._retries = 0
        self._redirects = 0
        self._missing_slots = 0
        self._upstreams: list[str] = []
        self._hedges = 0
        self._code = Code.ok
        self._outcome = Outcome.answered
        self._answer: AnswerFields | None = None
        self._response_inputs: Inputs = {}

    def note_routed(self, routed: RoutedCall) -> None:
        """Record the id, class, configuration version and latency target.

        Args:
            routed: the call with its route and class.
        """
        work_class = routed.match.work_class
        self._class_name = qualify_class(routed.match.service, work_class.name)
        self._request_id = routed.request_id
        self._version = routed.view.version
        self._latency_target_seconds = work_class.within_ms / MILLISECONDS

    def note_retry(self, failure: CallFailed) -> None:
        """Record that the call is retried.

        Args:
            failure: failure of the previous attempt.
        """
        self._retries += 1
        self._record(EventKind.call_retried, failure)

    def note_redirect(self, failure: CallFailed) -> None:
        """Record that an owner rejected the call and it is redirected.

        Args:
            failure: failure of the rejected attempt.
        """
        self._redirects += 1
        self._record(EventKind.call_redirected, failure)

    def note_missing_slot(self) -> None:
        """Count an owner that had no free slot for the call.

        Under load this happens to most short requests. It has no event of its
        own, since those of other redirects would be left out of the log; the
        event of the next attempt and that of the owner show it.
        """
        self._missing_slots += 1

    def note_attempt(self, target: AttemptTarget) -> None:
        """Record the start of an attempt.

        Args:
            target: upstream of the attempt.
        """
        fields = target.fields
        upstream = target.upstream
        self._upstreams.append(fields.instance)
        if len(self._upstreams) == 1:
            # Nearly every call has a single attempt, and the event of its
            # end names the upstream.
            return
        self._recorder.record(
            EventKind.attempt_begun,
            version=self._version,
            subject=self._class_name,
            request=self._request_id,
            inputs={
                'upstream': fields.instance,
                'attempt': fields.attempt,
                'far': int(target.is_in_other_data_centre),
                'patient': int(fields.patient),
                'left_ms': fields.remaining_ms,
                'running': upstream.in_flight,
                'waiting': upstream.queued,
                'limit': upstream.limit,
                'slowness_percent': round(
                    upstream.slowness.estimate(read_clock()) * PERCENT,
                ),
                'load_age_ms': round(
                    upstream.measure_load_age(read_clock()) * MILLISECONDS,
                ),
                **_describe_line(target),
            },
        )

    def note_hedge(self) -> None:
        """Record that a hedge was started."""
        self._hedges += 1
        self._recorder.record(
            EventKind.call_hedged,
            subject=self._class_name,
            request=self._request_id,
            inputs={'after_ms': self._measure_elapsed_ms()},
        )

    def note_answer(self, answer: AnswerFields) -> None:
        """Record the answer whose response goes to the caller.

        Args:
            answer: fields of the owner's answer.
        """
        self._answer = answer

    def note_response_size(self, size: int) -> None:
        """Record the size of a large response.

        Args:
            size: bytes of its body.
        """
        self._response_inputs = {'response_bytes': size}

    def note_failure(
        self,
        failure: CallFailed,
        *,
        obstacle: Obstacle = Obstacle.none,
    ) -> None:
        """Record and count the failure of the call.

        Args:
            failure: failure that the caller gets.
            obstacle: reason why no further attempt was made.
        """
        self._code = failure.code
        self._outcome = failure.outcome
        kind = EventKind.call_failed
        if failure.outcome is Outcome.not_run:
            kind = EventKind.call_refused
        self._record(kind, failure, obstacle)
        self._count()

    def note_response(self, *, status: int) -> None:
        """Record and count the complete response to the caller.

        Args:
            status: HTTP status of the response.
        """
        answer = self._answer
        self._recorder.record(
            EventKind.call_answered,
            version=self._version,
            subject=self._class_name,
            request=self._request_id,
            inputs={
                'status': status,
                'upstreams': ' '.join(self._upstreams),
                'took_ms': self._measure_elapsed_ms(),
                'backend_ms': round(answer.backend_us / MICROSECONDS_PER_MS)
                if answer
                else 0,
                **self._response_inputs,
            },
        )
        self._count()

    def build_headers(self) -> Sequence[Header]:
        """Build the response headers that describe the call.

        Returns:
            Headers with the outcome, the result code and the time spent at
            each step.
        """
        total_ms = (read_clock() - self._started_at) * MILLISECONDS
        timing = f'entry;dur={total_ms:.2f}'
        instance = ''
        if self._answer is not None:
            owner_ms = self._answer.owner_us / MICROSECONDS_PER_MS
            backend_ms = self._answer.backend_us / MICROSECONDS_PER_MS
            timing = (
                f'{timing}, owner;dur={owner_ms:.2f}, '
                f'backend;dur={backend_ms:.2f}'
            )
            instance = self._answer.instance
        outcome = f'{self._outcome.value}; code={self._code.value}'
        if instance:
            outcome = f'{outcome}; node={instance}'
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
            subject=self._class_name,
            detail=failure.detail,
            request=self._request_id,
            inputs={
                'outcome': failure.outcome.value,
                'upstreams': ' '.join(self._upstreams),
                'took_ms': self._measure_elapsed_ms(),
                'retry_ms': round(failure.retry_after * MILLISECONDS),
                'not_retried': obstacle.value,
                **failure.describe_crashes(),
            },
        )

    def _measure_elapsed_ms(self) -> int:
        return round((read_clock() - self._started_at) * MILLISECONDS)

    def _count(self) -> None:
        seconds = read_clock() - self._started_at
        tally = self._tallies.find(self._class_name)
        tally.note(self._code, self._outcome, seconds)
        tally.retried += self._retries
        tally.redirected += self._redirects
        tally.no_free_slot += self._missing_slots
        tally.hedged += self._hedges
        if (
            self._outcome is Outcome.answered
            and seconds <= self._latency_target_seconds
        ):
            tally.in_time += 1


def _describe_line(target: AttemptTarget) -> Inputs:
    line = target.upstream.lines.outgoing
    if not target.fields.bulk or not line.is_known:
        return {}
    wait = line.estimate_wait(read_clock())
    return {'line_wait_ms': round(wait * MILLISECONDS)}
