"""Runs the demo: a small fleet under load, with changes, a kill and a stop.

Started by ``make demo``.
"""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Final

import click
from msgspec import Struct

from demo.deployments import DEPLOYMENTS, Deployment
from demo.summary import DemoOutcome, print_summary, write_timeline
from standins.fleet import (
    AddressInUseError,
    Fleet,
    FleetOptions,
    NodeProcess,
)
from standins.invariants import check_invariants, gather_events
from standins.load import Load, LoadPlan
from wagtaildale.configuration.compiled import Compiled, compile_mesh
from wagtaildale.configuration.files import parse_mesh
from wagtaildale.telemetry.clock import read_milliseconds
from wagtaildale.telemetry.events import EventKind

if TYPE_CHECKING:
    from standins.caller import CallCounts
    from wagtaildale.telemetry.events import Event

CALLERS: Final = 24
CALLS_PER_SECOND: Final = 300.0
PHASE_SECONDS: Final = 3.0
SETTLE_SECONDS: Final = 10.0
POLL_SECONDS: Final = 0.05
MILLISECONDS: Final = 1000
NOT_STARTED_EXIT_CODE: Final = 2
ADDRESS_IN_USE_HINT: Final = (
    'most likely by another run on this machine; '
    'wait until that has ended, or end it, then start make demo again'
)
OUTPUT_FOLDER: Final = Path('out/demo')


class Demo:
    """One run of the demo."""

    def __init__(self, deployment: Deployment) -> None:
        """Prepare the fleet without starting nodes.

        Args:
            deployment: deployment to run.
        """
        self._deployment = deployment
        self._fleet = Fleet(
            deployment.placement,
            options=FleetOptions(spread=deployment.spread),
        )
        self._entries = [
            (record.host, record.entry_port) for record in self._fleet.records
        ]
        self._version = 0
        self._started_at = time.monotonic()

    def run(self) -> DemoOutcome:
        """Run all phases.

        Returns:
            Measurements of the run.
        """
        self._print_progress(f'starting {len(self._fleet.nodes)} nodes')
        self._fleet.start(self._compile_next())
        self._print_progress('all nodes are ready; load begins')
        load = Load(self._make_load_plan(), entries=self._entries)
        time.sleep(PHASE_SECONDS)
        before = _read_control_traffic(self._fleet.nodes)
        changes = [self._publish('a change of one target')]
        self._kill(self._fleet.nodes[1])
        changes.append(self._publish('a change while a node is gone'))
        stop_code = self._stop(self._fleet.nodes[-1])
        self._restart(self._fleet.nodes[1])
        after = _read_control_traffic(self._fleet.nodes)
        counts = load.stop()
        return self._make_outcome(
            counts,
            changes,
            control_bytes_per_second=_measure_control_rate(before, after),
            stop_code=stop_code,
        )

    def close(self) -> None:
        """Kill all processes."""
        self._fleet.close()

    def _make_outcome(
        self,
        counts: dict[str, CallCounts],
        changes: list[PublishedChange],
        *,
        control_bytes_per_second: float,
        stop_code: int,
    ) -> DemoOutcome:
        fleet = self._fleet
        events = gather_events(fleet.nodes)
        return DemoOutcome(
            deployment=self._deployment,
            version=self._version,
            updated=_count_nodes_with_version(fleet.nodes, self._version),
            running=sum(node.is_running() for node in fleet.nodes),
            convergence_ms=[
                _measure_convergence(events, change) for change in changes
            ],
            control_bytes_per_second=control_bytes_per_second,
            counts=counts,
            verdict=check_invariants(fleet, counts=counts),
            stop_code=stop_code,
            timeline=write_timeline(events, folder=OUTPUT_FOLDER),
        )

    def _publish(self, description: str) -> PublishedChange:
        compiled = self._compile_next()
        self._print_progress(
            f'publishing version {self._version}: {description}'
        )
        running_nodes = [
            node for node in self._fleet.nodes if node.is_running()
        ]
        change = PublishedChange(
            version=self._version,
            published_at_ms=round(time.time() * MILLISECONDS),
            nodes=tuple(node.record.instance for node in running_nodes),
        )
        self._fleet.platform.publish(compiled)
        deadline = time.monotonic() + SETTLE_SECONDS
        while _count_nodes_with_version(running_nodes, self._version) < len(
            running_nodes
        ):
            if time.monotonic() > deadline:
                break
            time.sleep(POLL_SECONDS)
        time.sleep(PHASE_SECONDS)
        return change

    def _kill(self, node: NodeProcess) -> None:
        self._print_progress(f'killing {node.record.instance}')
        node.kill()
        time.sleep(PHASE_SECONDS)

    def _stop(self, node: NodeProcess) -> int:
        self._print_progress(f'planned stop of {node.record.instance}')
        node.terminate()
        self._fleet.publish_instances(leaving=(node.record.instance,))
        stop_code = node.wait()
        self._print_progress(f'it stopped with exit code {stop_code}')
        return stop_code

    def _restart(self, node: NodeProcess) -> None:
        self._print_progress(f'starting {node.record.instance} again')
        node.start(self._fleet.options)
        self._fleet.wait_ready([node])
        time.sleep(PHASE_SECONDS)

    def _compile_next(self) -> Compiled:
        self._version += 1
        path = Path(self._deployment.mesh_file)
        text = path.read_text(encoding='utf-8')
        if self._version % 2 == 0:
            text = text.replace(*self._deployment.file_change, 1)
        mesh = parse_mesh(text, name=path.name).unwrap()
        return compile_mesh(mesh, version=self._version).unwrap()

    def _make_load_plan(self) -> LoadPlan:
        return LoadPlan(
            mix=self._deployment.mix,
            callers=CALLERS,
            calls_per_second=CALLS_PER_SECOND,
            latency_ms=self._deployment.latency_ms,
        )

    def _print_progress(self, text: str) -> None:
        seconds = time.monotonic() - self._started_at
        click.echo(f'[{seconds:5.1f} s] {text}')


class PublishedChange(Struct, frozen=True, kw_only=True):
    """A published configuration version.

    Attributes:
        version: version number.
        published_at_ms: time of publishing, milliseconds since the epoch.
        nodes: names of the instances that ran at that time.
    """

    version: int
    published_at_ms: int
    nodes: tuple[str, ...]


class ControlTraffic(Struct, frozen=True, kw_only=True):
    """Control traffic of one node since its start.

    Attributes:
        incarnation: incarnation of its process.
        read_at: monotonic time of the reading, seconds.
        total_bytes: bytes sent to and received from other nodes.
    """

    incarnation: int
    read_at: float
    total_bytes: int


def _read_control_traffic(
    nodes: list[NodeProcess],
) -> dict[str, ControlTraffic]:
    found: dict[str, ControlTraffic] = {}
    for node in nodes:
        report = node.report()
        if report is not None:
            found[report.instance] = ControlTraffic(
                incarnation=report.incarnation,
                read_at=time.monotonic(),
                total_bytes=report.control.sent_bytes
                + report.control.received_bytes,
            )
    return found


def _measure_control_rate(
    before: dict[str, ControlTraffic],
    after: dict[str, ControlTraffic],
) -> float:
    rates = [
        (control.total_bytes - before[name].total_bytes)
        / (control.read_at - before[name].read_at)
        for name, control in after.items()
        if name in before and before[name].incarnation == control.incarnation
    ]
    return sum(rates) / len(rates) if rates else 0


def _count_nodes_with_version(nodes: list[NodeProcess], version: int) -> int:
    reports = (node.report() for node in nodes)
    return sum(
        report.documents['configuration'].version == version
        for report in reports
        if report is not None
    )


def _measure_convergence(events: list[Event], change: PublishedChange) -> int:
    applied = [
        read_milliseconds(event.stamp)
        for event in events
        if event.kind is EventKind.version_applied
        and event.version == change.version
        and event.node in change.nodes
    ]
    return max(applied, default=change.published_at_ms) - change.published_at_ms


@click.command()
@click.option(
    '--deployment',
    type=click.Choice(tuple(DEPLOYMENTS)),
    default='hailmark',
)
def main(deployment: str) -> None:
    """Run the demo and print its measurements.

    \f

    Args:
        deployment: name of the deployment.
    """
    try:
        demo = Demo(DEPLOYMENTS[deployment])
    except AddressInUseError as error:
        click.echo(f'{error}, {ADDRESS_IN_USE_HINT}', err=True)
        sys.exit(NOT_STARTED_EXIT_CODE)
    try:
        outcome = demo.run()
    finally:
        demo.close()
    print_summary(outcome)
    sys.exit(0 if outcome.has_passed else 1)


if __name__ == '__main__':
    main()
