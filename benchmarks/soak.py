"""Soak test: real processes under seeded random faults.

Started by ``make soak``. Nodes assert invariants, backend servers count runs
and callers check every response. Exits with a non-zero status if an
invariant breaks, and writes the time line in any case.
"""

from __future__ import annotations

import os
import random
import signal
import sys
import time
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Final

import click
from msgspec import Struct, json

from benchmarks.faulty_node import LOSS_VARIABLE
from benchmarks.spread import compile_version
from demo.deployments import HAILMARK
from demo.summary import write_timeline
from standins.backend import FAULTS_PATH, BackendFaults
from standins.caller import CallCounts, WorkClass
from standins.client import read_json
from standins.fleet import BACKEND_PORT, Fleet, FleetOptions, NodeProcess
from standins.invariants import Verdict, check_invariants, gather_events
from standins.load import Load, LoadPlan
from wagtaildale.configuration.compiled import Compiled, hash_part
from wagtaildale.configuration.model import Manifest
from wagtaildale.testing.builders import build_part
from wagtaildale.types import ServiceName

if TYPE_CHECKING:
    from collections.abc import Callable

CALLERS: Final = 24
CALLS_PER_SECOND: Final = 200.0
LOSS_SHARE: Final = '0.05'
LONGEST_GAP_SECONDS: Final = 1.5
LONGEST_PAUSE_SECONDS: Final = 6.0
SETTLE_SECONDS: Final = 30.0
OUTPUT_FOLDER: Final = Path('out/soak')
ONE_STEP_SETTINGS: Final = '[calls]\nreserves = false\n'


class Outcome(Struct, frozen=True, kw_only=True):
    """Results of a soak.

    Attributes:
        verdict: violations of invariants.
        converged: whether all nodes hold a version published at the end.
        failed_stops: planned stops that cut work and so exited non-zero.
        faults: number of faults caused.
        counts: counts of the callers by class name.
    """

    verdict: Verdict
    converged: bool
    failed_stops: int
    faults: int
    counts: dict[str, CallCounts]

    @property
    def has_passed(self) -> bool:
        """Whether invariants held, the fleet converged and stops passed."""
        return (
            self.verdict.has_passed and self.converged and not self.failed_stops
        )


class Soak:
    """One soak run on a fleet."""

    def __init__(
        self,
        fleet: Fleet,
        *,
        seed: int,
        mix: tuple[WorkClass, ...],
    ) -> None:
        """Prepare the run.

        Args:
            fleet: started fleet.
            seed: seed of all random choices.
            mix: classes of requests that callers send.
        """
        self._mix = mix
        self._fleet = fleet
        self._random_generator = random.Random(seed)
        self._version = 1
        self._faults = 0
        self._failed_stops = 0
        self._paused: dict[NodeProcess, float] = {}

    def run(self, seconds: float) -> Outcome:
        """Cause faults for a time, then remove them and check invariants.

        Args:
            seconds: how long faults are caused.

        Returns:
            Results of the run.
        """
        plan = LoadPlan(
            mix=self._mix,
            callers=CALLERS,
            calls_per_second=CALLS_PER_SECOND,
        )
        entries = [
            (record.host, record.entry_port) for record in self._fleet.records
        ]
        load = Load(plan, entries=entries)
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self._cause_random_fault()
            time.sleep(self._random_generator.uniform(0, LONGEST_GAP_SECONDS))
            self._resume_due(time.monotonic())
        self._remove_faults()
        counts = load.stop()
        return Outcome(
            verdict=check_invariants(self._fleet, counts=counts),
            converged=self._reaches_all_nodes(),
            failed_stops=self._failed_stops,
            faults=self._faults,
            counts=counts,
        )

    def _cause_random_fault(self) -> None:
        faults: tuple[Callable[[], None], ...] = (
            self._kill,
            self._pause,
            self._stop_and_start,
            self._change_platform,
            self._publish,
            self._publish_bad,
            self._change_backend,
        )
        self._faults += 1
        fault = self._random_generator.choice(faults)
        click.echo(f'fault {self._faults}: {fault.__name__.strip("_")}')
        fault()

    def _choose_node(self) -> NodeProcess:
        return self._random_generator.choice(self._fleet.nodes)

    def _kill(self) -> None:
        node = self._choose_node()
        if node not in self._paused:
            node.kill()
            node.start(self._fleet.options)

    def _pause(self) -> None:
        node = self._choose_node()
        if node.is_running() and node not in self._paused:
            node.send_signal(signal.SIGSTOP)
            pause = self._random_generator.uniform(1, LONGEST_PAUSE_SECONDS)
            self._paused[node] = time.monotonic() + pause

    def _stop_and_start(self) -> None:
        node = self._choose_node()
        if node.is_running() and node not in self._paused:
            # SIGTERM kills a process that has not installed its signal
            # handlers yet, which would not be a planned stop.
            self._fleet.wait_ready([node])
            node.terminate()
            exit_code = node.wait()
            if exit_code:
                self._failed_stops += 1
                name = node.record.instance
                click.echo(f'planned stop of {name} ended with {exit_code}')
            node.start(self._fleet.options)

    def _change_platform(self) -> None:
        platform = self._fleet.platform
        faults = platform.faults
        changes: tuple[Callable[[], None], ...] = (
            partial(setattr, faults, 'down', not faults.down),
            partial(setattr, faults, 'frozen', not faults.frozen),
            partial(setattr, faults, 'half', not faults.half),
            platform.reset_index,
        )
        self._random_generator.choice(changes)()

    def _publish(self) -> None:
        self._version += 1
        self._fleet.platform.publish(compile_version(self._version))

    def _publish_bad(self) -> None:
        self._version += 1
        part = build_part('casefiles', routed_to='gone')
        manifest = Manifest(
            version=self._version,
            name='bad',
            parts={'casefiles': hash_part(part).hex()},
        )
        parts = {ServiceName('casefiles'): part}
        self._fleet.platform.publish(Compiled(manifest=manifest, parts=parts))

    def _change_backend(self) -> None:
        shares = (0, 0, 0.02, 0.2)
        faults = BackendFaults(
            service_ms=self._random_generator.choice((0.5, 2, 20)),
            cut_share=self._random_generator.choice(shares),
            close_share=self._random_generator.choice(shares),
        )
        self._set_backend_faults(self._choose_node(), faults)

    def _set_backend_faults(
        self, node: NodeProcess, faults: BackendFaults
    ) -> None:
        address = (node.record.host, BACKEND_PORT)
        path = FAULTS_PATH.decode()
        read_json(address, path, object, body=json.encode(faults))

    def _resume_due(self, now: float) -> None:
        due = [node for node, until in self._paused.items() if until <= now]
        for node in due:
            self._paused.pop(node)
            node.send_signal(signal.SIGCONT)

    def _remove_faults(self) -> None:
        self._resume_due(float('inf'))
        faults = self._fleet.platform.faults
        faults.down = False
        faults.frozen = False
        faults.half = False
        for node in self._fleet.nodes:
            self._set_backend_faults(node, BackendFaults())
            if not node.is_running():
                node.start(self._fleet.options)
        self._fleet.wait_ready(self._fleet.nodes)

    def _reaches_all_nodes(self) -> bool:
        self._publish()
        deadline = time.monotonic() + SETTLE_SECONDS
        while time.monotonic() < deadline:
            reports = [node.report() for node in self._fleet.nodes]
            held_versions = {
                report.documents['configuration'].version if report else 0
                for report in reports
            }
            if held_versions == {self._version}:
                return True
        return False


@click.command()
@click.option('--seconds', type=float, default=60)
@click.option('--seed', type=int, default=1)
@click.option('--bookings', is_flag=True, help='Send only bookings.')
@click.option(
    '--one-step', is_flag=True, help='Send calls without a reservation.'
)
def main(
    seconds: float,
    seed: int,
    *,
    bookings: bool,
    one_step: bool,
) -> None:
    """Run a soak on a small fleet and print one summary line.

    \f

    Args:
        seconds: how long faults are caused.
        seed: seed of all random choices.
        bookings: whether to send only requests that must not run twice.
        one_step: whether to send calls without a reservation.
    """
    mix = tuple(
        work_class
        for work_class in HAILMARK.mix
        if not (bookings and work_class.idempotent)
    )
    os.environ[LOSS_VARIABLE] = LOSS_SHARE
    options = FleetOptions(
        program='benchmarks.faulty_node',
        backend=BackendFaults(service_ms=2),
        extra_settings=ONE_STEP_SETTINGS if one_step else '',
    )
    with Fleet(HAILMARK.placement, options=options) as fleet:
        fleet.start(compile_version(1))
        outcome = Soak(fleet, seed=seed, mix=mix).run(seconds)
        timeline = write_timeline(
            gather_events(fleet.nodes), folder=OUTPUT_FOLDER
        )
    _print_summary(outcome, seed, timeline)
    sys.exit(0 if outcome.has_passed else 1)


def _print_summary(outcome: Outcome, seed: int, timeline: Path) -> None:
    sent = sum(counts.sent for counts in outcome.counts.values())
    unknown = sum(counts.unknown for counts in outcome.counts.values())
    verdict = outcome.verdict
    click.echo(
        f'soak seed={seed} good={outcome.has_passed} faults={outcome.faults} '
        f'calls={sent} unknown={unknown} twice={verdict.twice} '
        f'lied={verdict.lied} wrong={verdict.wrong} broken={verdict.broken} '
        f'converged={outcome.converged} stops_cut={outcome.failed_stops} '
        f'timeline={timeline}',
    )


if __name__ == '__main__':
    main()
