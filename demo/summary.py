"""Prints the summary tables of the demo and writes its time line."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import click
from msgspec import Struct, json

from demo.deployments import Deployment
from standins.caller import CallCounts
from standins.invariants import Verdict
from wagtaildale.cli.output import print_table

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wagtaildale.telemetry.events import Event

PERCENT = 100


class DemoOutcome(Struct, frozen=True, kw_only=True):
    """Measurements of one run of the demo.

    Attributes:
        deployment: deployment that ran.
        version: last published version.
        updated: number of running nodes that hold it.
        running: number of nodes that run at the end.
        convergence_ms: time until the last node applied each change.
        control_bytes_per_second: mean control traffic of a node, sent and
            received.
        counts: counts of the callers by class name.
        verdict: violations of invariants.
        stop_code: exit code of the node that was stopped as planned.
        timeline: path of the file with all events.
    """

    deployment: Deployment
    version: int
    updated: int
    running: int
    convergence_ms: list[int]
    control_bytes_per_second: float
    counts: dict[str, CallCounts]
    verdict: Verdict
    stop_code: int
    timeline: Path

    @property
    def has_passed(self) -> bool:
        """Whether no invariant broke and all nodes hold the last change."""
        everywhere = self.updated == self.running
        return self.verdict.has_passed and everywhere and self.stop_code == 0


def print_summary(outcome: DemoOutcome) -> None:
    """Print two tables: calls by class, and measurements of the run.

    Args:
        outcome: measurements to print.
    """
    click.echo()
    click.echo(outcome.deployment.title)
    rows = [
        _describe_class(name, counts)
        for name, counts in sorted(outcome.counts.items())
    ]
    print_table(
        ('class', 'calls', 'in target', 'not run', 'unknown', 'lost'),
        rows=rows,
    )
    click.echo()
    verdict = outcome.verdict
    times = ', '.join(
        f'{duration_ms} ms' for duration_ms in outcome.convergence_ms
    )
    print_table(
        ('figure', 'this run'),
        rows=(
            (
                f'version {outcome.version} in force',
                f'{outcome.updated} of {outcome.running} running nodes',
            ),
            ('convergence time of the changes', times),
            (
                'control bytes a node a second',
                f'{outcome.control_bytes_per_second:.0f}',
            ),
            ('bookings run twice', str(verdict.twice)),
            ('"not run" that had run', str(verdict.lied)),
            ('answers cut or crossed', str(verdict.wrong)),
            ('invariants broken', str(verdict.broken)),
            ('time line', str(outcome.timeline)),
        ),
    )


def write_timeline(events: Sequence[Event], *, folder: Path) -> Path:
    """Write all events of a run as JSON lines.

    Args:
        events: events in causal order.
        folder: folder to write to; created if missing.

    Returns:
        Path of the written file.
    """
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / 'timeline.jsonl'
    path.write_bytes(b'\n'.join(json.encode(event) for event in events))
    return path


def _describe_class(name: str, counts: CallCounts) -> list[str]:
    share = PERCENT * counts.in_time / max(1, counts.sent)
    return [
        name,
        str(counts.sent),
        f'{share:.2f}%',
        str(counts.not_run),
        str(counts.unknown),
        str(counts.lost),
    ]
