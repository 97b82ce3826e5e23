"""``wagtaildale-bench``: runs experiments on real processes.

This is not a simulator, and it is not installed on nodes. It starts a fleet
on loopback addresses, sends a load, causes the described faults at their
times and writes the results that callers saw.

    python -m benchmarks.experiment run benchmarks/experiments/kill.toml
    python -m benchmarks.experiment compare out/a.json out/b.json
"""

from __future__ import annotations

import signal
import time
import tomllib
from enum import Enum
from pathlib import Path
from types import MappingProxyType
from typing import TYPE_CHECKING, Final, final

import click
from matplotlib.figure import Figure as Plot
from msgspec import Struct, convert, json

from benchmarks.measurements import find_percentile
from benchmarks.spread import compile_version
from demo.deployments import DEPLOYMENTS
from standins.fleet import Fleet, FleetOptions
from standins.invariants import Verdict, check_invariants
from standins.load import Load, LoadPlan
from wagtaildale.cli.output import print_table

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from standins.caller import CallCounts

MILLISECONDS: Final = 1000
MEDIAN: Final = 50
TAIL: Final = 99
PERCENT: Final = 100
OUTPUT_FOLDER: Final = Path('out/experiments')
POLL_SECONDS: Final = 0.05


@final
class FaultKind(Enum):
    """Faults and other actions that an experiment can cause."""

    kill = 'kill'
    start = 'start'
    stop = 'stop'
    pause = 'pause'
    wake = 'wake'
    publish = 'publish'
    platform_down = 'platform-down'
    platform_up = 'platform-up'


class FaultEntry(Struct, frozen=True, kw_only=True):
    """A fault in an experiment.

    Attributes:
        at: seconds after the start of the load.
        kind: kind of the fault.
        node: instance that the fault applies to; empty for the platform
            and for publishing.
    """

    at: float
    kind: FaultKind
    node: str = ''


class Experiment(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Description of an experiment, as read from its file.

    Attributes:
        name: name shown in the results.
        deployment: name of a deployment of the demo.
        seconds: duration of the load.
        calls_per_second: mean rate of all callers together.
        callers: number of concurrent callers.
        seed: seed of all random choices.
        settings: TOML appended to the settings of each node.
        faults: faults to cause, in any order.
    """

    name: str
    deployment: str
    seconds: float
    calls_per_second: float
    callers: int = 24
    seed: int = 1
    settings: str = ''
    faults: tuple[FaultEntry, ...] = ()


class ClassResult(Struct, frozen=True, kw_only=True):
    """Results of the calls of one class."""

    sent: int
    in_target_percent: float
    not_run: int
    unknown: int
    lost: int
    p50_ms: float
    p99_ms: float


class ExperimentReport(Struct, frozen=True, kw_only=True):
    """Results of an experiment."""

    name: str
    seed: int
    verdict: Verdict
    classes: dict[str, ClassResult]


class ExperimentRunner:
    """Runs one experiment."""

    def __init__(self, experiment: Experiment, *, fleet: Fleet) -> None:
        """Prepare the run.

        Args:
            experiment: experiment to run.
            fleet: started fleet.
        """
        self._experiment = experiment
        self._fleet = fleet
        self._version = 1

    def run(self) -> dict[str, CallCounts]:
        """Send the load and cause the faults.

        Returns:
            Counts of the callers by class name.
        """
        experiment = self._experiment
        deployment = DEPLOYMENTS[experiment.deployment]
        plan = LoadPlan(
            mix=deployment.mix,
            callers=experiment.callers,
            calls_per_second=experiment.calls_per_second,
            latency_ms=deployment.latency_ms,
            seed=experiment.seed,
        )
        entries = [
            (record.host, record.entry_port) for record in self._fleet.records
        ]
        load = Load(plan, entries=entries)
        started_at = time.monotonic()
        for fault in sorted(experiment.faults, key=_get_time):
            _sleep_until(started_at + fault.at)
            self._cause_fault(fault)
        _sleep_until(started_at + experiment.seconds)
        return load.stop()

    def _cause_fault(self, fault: FaultEntry) -> None:
        click.echo(f'{fault.at:.1f} s: {fault.kind.value} {fault.node}')
        if fault.kind is FaultKind.publish:
            self._version += 1
            self._fleet.platform.publish(compile_version(self._version))
        elif fault.node:
            self._cause_node_fault(fault)
        else:
            down = fault.kind is FaultKind.platform_down
            self._fleet.platform.faults.down = down

    def _cause_node_fault(self, fault: FaultEntry) -> None:
        node = next(
            each
            for each in self._fleet.nodes
            if each.record.instance == fault.node
        )
        actions: MappingProxyType[FaultKind, Callable[[], object]]
        actions = MappingProxyType(
            {
                FaultKind.kill: node.kill,
                FaultKind.stop: node.terminate,
                FaultKind.start: lambda: node.start(self._fleet.options),
                FaultKind.pause: lambda: node.send_signal(signal.SIGSTOP),
                FaultKind.wake: lambda: node.send_signal(signal.SIGCONT),
            },
        )
        actions[fault.kind]()


@click.group()
def main() -> None:
    """Run experiments and compare their results."""


@main.command()
@click.argument('path', type=click.Path(exists=True, path_type=Path))
@click.option('--out', type=click.Path(path_type=Path), default=OUTPUT_FOLDER)
def run(path: Path, out: Path) -> None:
    """Run the experiment in the file PATH; write results and a plot.

    \f

    Args:
        path: path of the TOML file.
        out: folder for results and plot.
    """
    table = tomllib.loads(path.read_text(encoding='utf-8'))
    experiment = convert(table, Experiment)
    options = FleetOptions(extra_settings=experiment.settings)
    placement = DEPLOYMENTS[experiment.deployment].placement
    with Fleet(placement, options=options) as fleet:
        fleet.start(compile_version(1))
        counts = ExperimentRunner(experiment, fleet=fleet).run()
        verdict = check_invariants(fleet, counts=counts)
    report = _make_report(experiment, counts, verdict)
    out.mkdir(parents=True, exist_ok=True)
    (out / f'{path.stem}.json').write_bytes(json.encode(report))
    _plot_durations(counts, out / f'{path.stem}.png')
    _print_reports((report,))
    click.echo(f'results and plot in {out}')


@main.command()
@click.argument('paths', type=click.Path(path_type=Path), nargs=2)
def compare(paths: tuple[Path, Path]) -> None:
    """Compare the results in two files.

    \f

    Args:
        paths: paths of two result files.
    """
    _print_reports(
        [
            json.decode(path.read_bytes(), type=ExperimentReport)
            for path in paths
        ]
    )


def _get_time(fault: FaultEntry) -> float:
    return fault.at


def _sleep_until(due: float) -> None:
    time.sleep(max(0, due - time.monotonic()))


def _make_report(
    experiment: Experiment,
    counts: dict[str, CallCounts],
    verdict: Verdict,
) -> ExperimentReport:
    return ExperimentReport(
        name=experiment.name,
        seed=experiment.seed,
        verdict=verdict,
        classes={name: _summarise_class(each) for name, each in counts.items()},
    )


def _summarise_class(counts: CallCounts) -> ClassResult:
    seconds = counts.seconds or [0]
    return ClassResult(
        sent=counts.sent,
        in_target_percent=PERCENT * counts.in_time / max(1, counts.sent),
        not_run=counts.not_run,
        unknown=counts.unknown,
        lost=counts.lost,
        p50_ms=find_percentile(seconds, percent=MEDIAN) * MILLISECONDS,
        p99_ms=find_percentile(seconds, percent=TAIL) * MILLISECONDS,
    )


def _plot_durations(counts: dict[str, CallCounts], path: Path) -> None:
    plot = Plot(figsize=(8, 5))
    axes = plot.subplots()
    for name, each in sorted(counts.items()):
        ordered = sorted(second * MILLISECONDS for second in each.seconds)
        shares = [
            PERCENT * (place + 1) / len(ordered)
            for place in range(len(ordered))
        ]
        axes.plot(ordered, shares, label=name)
    axes.set_xscale('log')
    axes.set_xlabel('time of an answer, ms')
    axes.set_ylabel('share of answers, %')
    axes.legend()
    axes.grid(visible=True, alpha=0.3)
    plot.savefig(path)


def _print_reports(runs: Sequence[ExperimentReport]) -> None:
    rows = [
        [
            report.name,
            name,
            str(each.sent),
            f'{each.in_target_percent:.2f}%',
            f'{each.p50_ms:.1f}',
            f'{each.p99_ms:.1f}',
            f'{each.not_run}/{each.unknown}/{each.lost}',
        ]
        for report in runs
        for name, each in sorted(report.classes.items())
    ]
    print_table(
        (
            'experiment',
            'class',
            'calls',
            'in target',
            'p50 ms',
            'p99 ms',
            'not run/unknown/lost',
        ),
        rows=rows,
    )
    for report in runs:
        click.echo(f'{report.name}: {report.verdict}')


if __name__ == '__main__':
    main()
