"""Tells the end of a backend server from the end of one connection.

A server process that ends closes all of its connections, and its port refuses
new ones. A server that interrupts one answer, or resets a connection for lack
of capacity, keeps the other connections open.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.calls.backend.port_probe import PortProbe, ProbeResult
from wagtaildale.telemetry.events import EventKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.calls.backend.backend_pool import BackendPool
    from wagtaildale.suspects.fingerprints import Fingerprint
    from wagtaildale.suspects.recent_answers import RecentAnswers
    from wagtaildale.suspects.snapshots import SuspectsHolder
    from wagtaildale.telemetry.events import EventRecorder
    from wagtaildale.types import InstanceId

# The connections of a process that ends close within about a millisecond.
CLOSE_GRACE_SECONDS: Final = 0.003


class InterruptedRun(Struct, frozen=True, kw_only=True):
    """A run whose connection ended before its answer.

    Attributes:
        instance: instance that ran the request.
        fingerprint: fingerprint of the request.
        ends: number of successive backend servers that ended during the
            request, as known when the run started.
        is_leaving: whether the instance was due to end anyway.
        on_resolved: called with the number of ends including this one; 0 if
            the run does not count as the cause of an end.
    """

    instance: InstanceId
    fingerprint: Fingerprint
    ends: int
    is_leaving: bool
    on_resolved: Callable[[int], None]


class ServerEndDetector:
    """Determines for interrupted runs whether the backend server ended.

    Attributes:
        count: number of ends detected so far.
        listeners: callbacks for each end of the server.
    """

    def __init__(
        self,
        suspects: SuspectsHolder,
        *,
        node: InstanceId,
        answered: RecentAnswers,
        recorder: EventRecorder,
    ) -> None:
        """Create the detector.

        Args:
            suspects: store of the requests during which servers ended, shared
                by all nodes.
            node: node beside the server.
            answered: requests that the server has answered lately.
            recorder: recorder of an event for each end of the server.
        """
        self.count = 0
        self.listeners: list[Callable[[], None]] = []
        self._suspects = suspects
        self._node = node
        self._answered = answered
        self._recorder = recorder
        self._pending: list[InterruptedRun] = []

    def add(self, run: InterruptedRun, *, pool: BackendPool) -> None:
        """Keep an interrupted run until it is known whether the server ended.

        Args:
            run: the interrupted run.
            pool: connections to the server.
        """
        self._pending.append(run)
        if len(self._pending) == 1:
            pool.loop.alarms.set(
                CLOSE_GRACE_SECONDS,
                partial(self._check_connections, pool),
            )

    def resolve(self, *, has_ended: bool) -> None:
        """Resolve all pending runs.

        Args:
            has_ended: whether the server has ended.
        """
        pending = self._pending
        self._pending = []
        if has_ended:
            for notify in self.listeners:
                notify()
        suspected_runs = self._record_server_end(pending) if has_ended else []
        for run in pending:
            run.on_resolved(run.ends + 1 if run in suspected_runs else 0)

    def _check_connections(self, pool: BackendPool) -> None:
        if pool.has_open_connection():
            self.resolve(has_ended=False)
        else:
            PortProbe(pool.loop, pool.address, on_result=self._handle_probe)

    def _was_answered_lately(self, run: InterruptedRun) -> bool:
        return not run.ends and self._answered.has(run.fingerprint)

    def _handle_probe(self, probe_result: ProbeResult) -> None:
        # A port that does not answer proves nothing.
        self.resolve(has_ended=probe_result is ProbeResult.refused)

    def _record_server_end(
        self,
        pending: list[InterruptedRun],
    ) -> list[InterruptedRun]:
        # A leaving server ends as planned, whatever it runs.
        unplanned = [run for run in pending if not run.is_leaving]
        if not unplanned:
            return []
        self.count += 1
        suspected_runs = [
            run for run in unplanned if not self._was_answered_lately(run)
        ]
        self._answered.forget()
        self._record_ends(
            suspected_runs or unplanned, has_suspects=bool(suspected_runs)
        )
        return suspected_runs

    def _record_ends(
        self,
        runs: list[InterruptedRun],
        *,
        has_suspects: bool,
    ) -> None:
        # If the server had answered all of the running requests shortly
        # before, the end is recorded without restricting a request, because it
        # may have another cause. For several runs of one request, the highest
        # known number of ends applies.
        runs.sort(key=_get_ends)
        ends = {run.fingerprint: run.ends + 1 for run in runs}
        names = ' '.join(fingerprint.hex() for fingerprint in ends)
        self._recorder.record(
            EventKind.server_ended,
            subject=runs[0].instance,
            detail=names,
            inputs={'requests': len(runs), 'most_ends': max(ends.values())},
        )
        self._suspects.note_ends(
            ends.items(),
            nodes=(self._node,) if has_suspects else (),
        )


def _get_ends(run: InterruptedRun) -> int:
    return run.ends
