"""Decides which suspected requests an owner sends to its backend server."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from wagtaildale.calls.backend.server_end_detector import ServerEndDetector
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.owner.serial_runs import SerialRuns
from wagtaildale.configuration.qualified_names import find_service
from wagtaildale.errors.codes import Code
from wagtaildale.routing.suspected_requests import list_allowed_upstreams
from wagtaildale.suspects.fingerprints import (
    FingerprintInput,
    compute_fingerprint,
    find_subject,
)
from wagtaildale.suspects.recent_answers import RecentAnswers
from wagtaildale.suspects.records import (
    HARMFUL_ENDS,
    Standing,
    find_trial_delay,
)
from wagtaildale.types import Outcome

if TYPE_CHECKING:
    from wagtaildale.calls.dialect import Dialect
    from wagtaildale.calls.wire.frames import Run
    from wagtaildale.routing.view import ViewHolder
    from wagtaildale.suspects.fingerprints import Fingerprint
    from wagtaildale.suspects.snapshots import Judgement, SuspectsHolder
    from wagtaildale.telemetry.events import EventRecorder
    from wagtaildale.types import InstanceId

# Most trials end within this time, so that a retry after it is not rejected
# because of the same trial.
TRIAL_RETRY_SECONDS: Final = 0.2
# A harmful request is tried only at a server that has been up for this many
# times the delay before its trial, so that a server that has just restarted is
# not crashed again.
MIN_UPTIME_TRIAL_DELAYS: Final = 30

# A run and the callback that abandons it.
AbandonableRun = tuple['Run', Callable[[CallFailed], None]]


class SuspectTrials:
    """Limits which suspected requests run at a server at the same time.

    If a request crashes every server that runs it, a harmless request that
    ran beside it each time would look just as harmful. So only one trial runs
    at a server at a time. Requests that are confined to the nodes of crashed
    servers may run beside others, but each of them only once at a time.

    Attributes:
        suspects: known crashes by request.
        end_detector: detection of server crashes and of the requests that ran
            then.
        answered: requests that the server has recently answered.
    """

    def __init__(
        self,
        suspects: SuspectsHolder,
        *,
        node: InstanceId,
        dialect: Dialect,
        view: ViewHolder,
        recorder: EventRecorder,
    ) -> None:
        """Create an instance without a request on trial.

        Args:
            suspects: known crashes by request.
            node: node beside the server.
            dialect: names of the header fields, for the caller's service.
            view: instance list, to find the servers that run trials.
            recorder: recorder of events, for crashes of the server.
        """
        self.suspects = suspects
        self._node = node
        self._dialect = dialect
        self.answered = RecentAnswers()
        self.end_detector = ServerEndDetector(
            suspects,
            node=node,
            answered=self.answered,
            recorder=recorder,
        )
        self._view = view
        self._on_trial: Run | None = None
        self._serial_runs = SerialRuns()
        self._started_runs: dict[int, AbandonableRun] = {}

    def is_suspected(self, run: Run) -> bool:
        """Check whether a server is known to have crashed during a request.

        Args:
            run: the request.

        Returns:
            Whether a crash is known to its entry or to this node.
        """
        if run.fields.ends:
            return True
        if not self.suspects.current.records:
            return False
        return bool(
            self.suspects.current.find(self.compute_run_fingerprint(run)).ends
        )

    def admit(
        self,
        run: Run,
        *,
        up_seconds: float,
        on_retry: Callable[[], None],
    ) -> int | None:
        """Admit a request to the server, queue it, or reject it.

        Args:
            run: the request.
            up_seconds: uptime of the server, seconds.
            on_retry: callback for a queued request, called when the one
                before it has ended; it calls ``admit`` again.

        Returns:
            Number of servers known to have crashed in succession while
            running the request; ``None`` while the request is queued.

        Raises:
            CallFailed: if the request may not run here, or not now.
        """
        reported_ends = run.fields.ends
        if not reported_ends and not self.suspects.current.records:
            return 0
        fingerprint = self.compute_run_fingerprint(run)
        judgement = self.suspects.judge(
            fingerprint, reported_ends=reported_ends
        )
        crash_count = judgement.ends
        if judgement.standing is Standing.harmful:
            raise build_suspect_rejection(
                Code.request_harmful,
                fingerprint,
                crash_count=crash_count,
                wait_seconds=judgement.wait_seconds,
            )
        if judgement.standing is Standing.trial:
            self._check_may_run_here(run, fingerprint, judgement)
            self._start_trial(run, fingerprint, crash_count, up_seconds)
        elif judgement.is_confined:
            self._check_may_run_here(run, fingerprint, judgement)
            if not self._start_or_queue(
                run, fingerprint, crash_count, on_retry
            ):
                return None
        return crash_count

    def note_begun(
        self,
        run: Run,
        *,
        abandon: Callable[[CallFailed], None],
    ) -> None:
        """Register a run that goes to the server.

        A request may run at two servers at once. If it crashes the first one,
        the report usually arrives before it crashes the second one, and the
        run there is then abandoned if the request is idempotent.

        Args:
            run: the request.
            abandon: callback that abandons the run, called if another server
                has crashed while running the same request.
        """
        if run.fields.idempotent:
            self._started_runs[id(run)] = (run, abandon)

    def abandon_suspected_runs(self) -> None:
        """Abandon runs of requests during which other servers crashed."""
        known = self.suspects.current
        for run, abandon in tuple(self._started_runs.values()):
            fingerprint = self.compute_run_fingerprint(run)
            record = known.find(fingerprint)
            if record.nodes and not self.answered.has(fingerprint):
                failure = build_suspect_rejection(
                    Code.request_on_trial,
                    fingerprint,
                    crash_count=record.ends,
                )
                failure.outcome = Outcome.unknown
                abandon(failure)

    def release(self, run: Run) -> None:
        """Let other runs start in place of a finished one.

        Args:
            run: the request.
        """
        self._started_runs.pop(id(run), None)
        if self._on_trial is run:
            self._on_trial = None
        self._serial_runs.release(run)

    def note_answered(self, run: Run) -> None:
        """Record that the server answered a request.

        Args:
            run: the request.
        """
        fingerprint = self.compute_run_fingerprint(run)
        self.answered.note(fingerprint)
        if self.suspects.current.records:
            self.suspects.note_answered(fingerprint)

    def compute_run_fingerprint(self, run: Run) -> Fingerprint:
        """Compute the fingerprint of a request.

        Args:
            run: the request.

        Returns:
            The fingerprint, the same at every node.
        """
        return compute_fingerprint(
            FingerprintInput(
                work_class=run.fields.work_class,
                method=run.method,
                target=run.target,
                body=run.body,
            ),
            headers=run.headers,
            caller_field=self._dialect.caller_service,
        )

    def _check_may_run_here(
        self,
        run: Run,
        fingerprint: Fingerprint,
        judgement: Judgement,
    ) -> None:
        fields = run.fields
        if not judgement.nodes:
            # The entry knows of a crash that this node does not know of yet.
            return
        allowed = list_allowed_upstreams(
            self._view.current,
            find_service(fields.work_class),
            fingerprint=fingerprint,
            judgement=judgement,
        )
        nodes = [record.node_id for record in allowed]
        if nodes and self._node not in nodes:
            raise build_suspect_rejection(
                Code.request_on_trial,
                fingerprint,
                crash_count=judgement.ends,
            )

    def _start_or_queue(
        self,
        run: Run,
        fingerprint: Fingerprint,
        crash_count: int,
        on_retry: Callable[[], None],
    ) -> bool:
        subject = find_subject(fingerprint)
        if self._serial_runs.is_full(subject):
            raise build_suspect_rejection(
                Code.request_on_trial, fingerprint, crash_count=crash_count
            )
        return self._serial_runs.acquire(subject, run, on_retry=on_retry)

    def _start_trial(
        self,
        run: Run,
        fingerprint: Fingerprint,
        crash_count: int,
        up_seconds: float,
    ) -> None:
        min_uptime_seconds = (
            0
            if crash_count < HARMFUL_ENDS
            else MIN_UPTIME_TRIAL_DELAYS * find_trial_delay(crash_count)
        )
        wait_seconds = min_uptime_seconds - up_seconds
        if self._on_trial is not None or wait_seconds > 0:
            raise build_suspect_rejection(
                Code.request_on_trial,
                fingerprint,
                crash_count=crash_count,
                wait_seconds=max(TRIAL_RETRY_SECONDS, wait_seconds),
            )
        self._on_trial = run


def build_suspect_rejection(
    code: Code,
    fingerprint: Fingerprint,
    *,
    crash_count: int,
    wait_seconds: float = TRIAL_RETRY_SECONDS,
) -> CallFailed:
    """Build the failure that rejects a suspected request.

    Args:
        code: result code.
        fingerprint: fingerprint of the request, by which operators find it.
        crash_count: number of servers that crashed in succession while
            running the request.
        wait_seconds: time after which the caller may retry, seconds.

    Returns:
        The failure, with outcome ``not_run``.
    """
    failure = CallFailed(
        code,
        detail=fingerprint.hex(),
        retry_after=wait_seconds,
    )
    failure.crash_count = crash_count
    return failure
