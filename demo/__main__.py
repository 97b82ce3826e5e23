"""``make demo``: a small fleet, a mixed load, a change, a kill, a stop."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Final

import click
from msgspec import Struct

from demo.deployments import DEPLOYMENTS, Deployment
from demo.summary import Figures, print_summary, write_timeline
from standins.fleet import (
    AddressTakenError,
    Fleet,
    FleetOptions,
    NodeProcess,
)
from standins.judge import gather_events, judge
from standins.load import Load, LoadPlan
from wagtaildale.configuration.compiled import Compiled, compile_mesh
from wagtaildale.configuration.files import parse_mesh
from wagtaildale.telemetry.clock import read_milliseconds
from wagtaildale.telemetry.events import EventKind

if TYPE_CHECKING:
    from standins.caller import WorkCounts
    from wagtaildale.telemetry.events import Event

CALLERS: Final = 24
CALLS_PER_SECOND: Final = 300.0
PHASE_SECONDS: Final = 3.0
SETTLE_SECONDS: Final = 10.0
LOOK_SECONDS: Final = 0.05
MILLISECONDS: Final = 1000
NOT_STARTED: Final = 2
WAY_OUT: Final = (
    'most likely by another run on this machine; '
    'wait until that has ended, or end it, then start make demo again'
)
OUT: Final = Path('out/demo')


class Demo:
    """One run of the demonstration."""

    def __init__(self, deployment: Deployment) -> None:
        """Prepare the fleet.

        Args:
            deployment: which one.
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
        self._began = time.monotonic()

    def run(self) -> Figures:
        """Run every phase.

        Returns:
            What was measured.
        """
        self._say(f'starting {len(self._fleet.nodes)} nodes')
        self._fleet.start(self._compile_next())
        self._say('all nodes are ready; load begins')
        load = Load(self._plan(), entries=self._entries)
        time.sleep(PHASE_SECONDS)
        before = _read_control(self._fleet.nodes)
        changes = [self._publish('a change of one target')]
        self._kill(self._fleet.nodes[1])
        changes.append(self._publish('a change while a node is gone'))
        stop_code = self._stop(self._fleet.nodes[-1])
        self._start_again(self._fleet.nodes[1])
        after = _read_control(self._fleet.nodes)
        counts = load.stop()
        return self._sum_up(
            counts,
            changes,
            control_bytes=_measure_bytes(before, after),
            stop_code=stop_code,
        )

    def close(self) -> None:
        """End every process."""
        self._fleet.close()

    def _sum_up(
        self,
        counts: dict[str, WorkCounts],
        changes: list[Change],
        *,
        control_bytes: float,
        stop_code: int,
    ) -> Figures:
        fleet = self._fleet
        events = gather_events(fleet.nodes)
        return Figures(
            deployment=self._deployment,
            version=self._version,
            held=_count_holding(fleet.nodes, self._version),
            running=sum(node.is_running() for node in fleet.nodes),
            convergence_ms=[
                _measure_convergence(events, change) for change in changes
            ],
            control_bytes=control_bytes,
            counts=counts,
            verdict=judge(fleet, counts=counts),
            stop_code=stop_code,
            timeline=write_timeline(events, folder=OUT),
        )

    def _publish(self, what: str) -> Change:
        compiled = self._compile_next()
        self._say(f'publishing version {self._version}: {what}')
        running = [node for node in self._fleet.nodes if node.is_running()]
        change = Change(
            version=self._version,
            at_ms=round(time.time() * MILLISECONDS),
            nodes=tuple(node.record.instance for node in running),
        )
        self._fleet.platform.publish(compiled)
        deadline = time.monotonic() + SETTLE_SECONDS
        while _count_holding(running, self._version) < len(running):
            if time.monotonic() > deadline:
                break
            time.sleep(LOOK_SECONDS)
        time.sleep(PHASE_SECONDS)
        return change

    def _kill(self, node: NodeProcess) -> None:
        self._say(f'killing {node.record.instance}')
        node.kill()
        time.sleep(PHASE_SECONDS)

    def _stop(self, node: NodeProcess) -> int:
        self._say(f'planned stop of {node.record.instance}')
        node.terminate()
        self._fleet.list_now(leaving=(node.record.instance,))
        stop_code = node.wait()
        self._say(f'it stopped with exit code {stop_code}')
        return stop_code

    def _start_again(self, node: NodeProcess) -> None:
        self._say(f'starting {node.record.instance} again')
        node.start(self._fleet.options)
        self._fleet.wait_ready([node])
        time.sleep(PHASE_SECONDS)

    def _compile_next(self) -> Compiled:
        self._version += 1
        path = Path(self._deployment.mesh_file)
        text = path.read_text(encoding='utf-8')
        if self._version % 2 == 0:
            text = text.replace(*self._deployment.changed, 1)
        mesh = parse_mesh(text, name=path.name).unwrap()
        return compile_mesh(mesh, version=self._version).unwrap()

    def _plan(self) -> LoadPlan:
        return LoadPlan(
            mix=self._deployment.mix,
            callers=CALLERS,
            calls_per_second=CALLS_PER_SECOND,
            latency_ms=self._deployment.latency_ms,
        )

    def _say(self, text: str) -> None:
        seconds = time.monotonic() - self._began
        click.echo(f'[{seconds:5.1f} s] {text}')


class Change(Struct, frozen=True, kw_only=True):
    """A published version.

    Attributes:
        version: its number.
        at_ms: when it was published, milliseconds since the epoch.
        nodes: that ran then.
    """

    version: int
    at_ms: int
    nodes: tuple[str, ...]


class Control(Struct, frozen=True, kw_only=True):
    """Control bytes of one node so far.

    Attributes:
        incarnation: of its process.
        at: when it was asked, seconds.
        sent: bytes to other nodes.
    """

    incarnation: int
    at: float
    sent: int


def _read_control(nodes: list[NodeProcess]) -> dict[str, Control]:
    found: dict[str, Control] = {}
    for node in nodes:
        report = node.report()
        if report is not None:
            found[report.instance] = Control(
                incarnation=report.incarnation,
                at=time.monotonic(),
                sent=report.control.sent_bytes + report.control.received_bytes,
            )
    return found


def _measure_bytes(
    before: dict[str, Control],
    after: dict[str, Control],
) -> float:
    rates = [
        (control.sent - before[name].sent) / (control.at - before[name].at)
        for name, control in after.items()
        if name in before and before[name].incarnation == control.incarnation
    ]
    return sum(rates) / len(rates) if rates else 0


def _count_holding(nodes: list[NodeProcess], version: int) -> int:
    reports = (node.report() for node in nodes)
    return sum(
        report.documents['configuration'].version == version
        for report in reports
        if report is not None
    )


def _measure_convergence(events: list[Event], change: Change) -> int:
    applied = [
        read_milliseconds(event.stamp)
        for event in events
        if event.kind is EventKind.version_applied
        and event.version == change.version
        and event.node in change.nodes
    ]
    return max(applied, default=change.at_ms) - change.at_ms


@click.command()
@click.option(
    '--deployment',
    type=click.Choice(tuple(DEPLOYMENTS)),
    default='hailmark',
)
def main(deployment: str) -> None:
    """Run the demonstration and print what it has shown.

    \f

    Args:
        deployment: which of the two.
    """
    try:
        demo = Demo(DEPLOYMENTS[deployment])
    except AddressTakenError as error:
        click.echo(f'{error}, {WAY_OUT}', err=True)
        sys.exit(NOT_STARTED)
    try:
        figures = demo.run()
    finally:
        demo.close()
    print_summary(figures)
    sys.exit(0 if figures.is_good else 1)


if __name__ == '__main__':
    main()
