"""Checks the invariants of a run against the counts of backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct

from standins.backend import COUNTS_PATH, BackendCounts
from standins.client import read_json
from standins.fleet import BACKEND_PORT, Fleet, NodeProcess
from wagtaildale.admin.model import Timeline
from wagtaildale.telemetry.events import Event, EventKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from standins.caller import CallCounts


class Verdict(Struct, frozen=True, kw_only=True):
    """Violations of invariants found in a run.

    Attributes:
        twice: non-idempotent requests that ran more than once.
        lied: requests reported as not run that had run.
        wrong: responses that were truncated or belong to another request.
        broken: broken invariants reported or logged by nodes.
    """

    twice: int
    lied: int
    wrong: int
    broken: int

    @property
    def has_passed(self) -> bool:
        """Whether no violation was found."""
        return not (self.twice or self.lied or self.wrong or self.broken)


def check_invariants(
    fleet: Fleet,
    *,
    counts: dict[str, CallCounts],
) -> Verdict:
    """Compare the counts of callers with those of backend servers.

    Args:
        fleet: running fleet.
        counts: counts of the callers by class name.

    Returns:
        The violations found.
    """
    runs = count_runs(fleet)
    not_run = [
        key
        for call_counts in counts.values()
        for key in call_counts.keys_not_run
    ]
    run_counts = _list_non_idempotent_runs(fleet)
    return Verdict(
        twice=sum(1 for count in run_counts if count > 1),
        lied=sum(1 for key in not_run if key in runs),
        wrong=sum(call_counts.wrong for call_counts in counts.values()),
        broken=_count_broken_invariants(fleet),
    )


def count_runs(fleet: Fleet) -> dict[str, int]:
    """Count the runs of each caller's key over all backend servers.

    Args:
        fleet: running fleet.

    Returns:
        Number of runs by key.
    """
    runs: dict[str, int] = {}
    for counts in _read_backend_counts(fleet):
        for key, count in counts.by_key.items():
            runs[key] = runs.get(key, 0) + count
    return runs


def gather_events(nodes: Iterable[NodeProcess]) -> list[Event]:
    """Gather the events of running nodes in causal order.

    Args:
        nodes: nodes to query; those that do not respond are skipped.

    Returns:
        Events sorted by their stamps.
    """
    events: list[Event] = []
    for node in nodes:
        address = (node.record.host, node.record.admin_port)
        timeline = read_json(address, '/v1/timeline', Timeline)
        if timeline is not None:
            events.extend(timeline.events)
    return sorted(events, key=_read_stamp)


def _read_stamp(event: Event) -> tuple[int, str]:
    return event.stamp, event.node


def _read_backend_counts(fleet: Fleet) -> list[BackendCounts]:
    found = (
        read_json(
            (record.host, BACKEND_PORT),
            COUNTS_PATH.decode(),
            BackendCounts,
        )
        for record in fleet.records
    )
    return [counts for counts in found if counts is not None]


def _list_non_idempotent_runs(fleet: Fleet) -> list[int]:
    totals: dict[str, int] = {}
    for counts in _read_backend_counts(fleet):
        for key, count in counts.by_single_key.items():
            totals[key] = totals.get(key, 0) + count
    return list(totals.values())


def _count_broken_invariants(fleet: Fleet) -> int:
    broken = EventKind.invariant_broken
    logged = sum(
        node.log_path.read_text().count(f'kind={broken.value}')
        for node in fleet.nodes
        if node.log_path.exists()
    )
    reports = (node.report() for node in fleet.nodes if node.is_running())
    reported = sum(
        report.invariants_broken for report in reports if report is not None
    )
    return max(logged, reported)
