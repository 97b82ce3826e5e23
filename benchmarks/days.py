"""Runs a scenario for each kind of fault on an external test bench.

Each scenario, called a day, has its fault early and again late, during
planned work: a change of configuration, a release and a rolling restart. The
test bench is an external program that is given by its path. CI does not run
this module, since it does not have that program.
"""

from __future__ import annotations

import re
import subprocess
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path
from typing import Final

import click
from msgspec import Struct

EARLY_SECONDS: Final = 5.0
LATE_SECONDS: Final = 17.0
DAY_TIMEOUT_SECONDS: Final = 500
PLANNED_WORK: Final = (
    '{ at = 6.0, kind = "config_change", how = "route" }',
    '{ at = 8.0, kind = "config_storm", for_s = 2.0, gap_s = 0.25 }',
    '{ at = 16.0, kind = "release", share = 0.3, gap_s = 1.0 }',
    '{ at = 18.0, kind = "config_change", how = "weights" }',
    '{ at = 22.0, kind = "roll_term", share = 0.3, gap_s = 1.5, how = "busy" }',
)
# Kind, variant and the other fields of the entry.
FAULTS: Final = (
    ('burst', '', 'x = 1.8, for_s = 4.0'),
    ('shift', '', 'share = 0.5, for_s = 5.0'),
    ('retry_abuse', '', 'x = 3.0, share = 0.3, for_s = 5.0'),
    ('give_up', '', 'share = 0.3, for_s = 5.0'),
    ('give_up', 'slow', 'share = 0.3, x = 1500.0, for_s = 5.0'),
    ('srv_slow', '', 'share = 0.3, x = 5.0, for_s = 5.0'),
    ('srv_slow', 'all', 'x = 3.0, for_s = 4.0'),
    ('srv_grey', '', 'share = 0.3, x = 0.4, for_s = 5.0'),
    ('srv_grey', 'shed', 'share = 0.3, x = 0.5, for_s = 5.0'),
    ('srv_grey', 'shed all', 'x = 0.4, for_s = 4.0'),
    ('srv_crash', '', 'share = 0.2, for_s = 4.0'),
    ('srv_crash', 'dark', 'share = 0.2, for_s = 4.0'),
    ('srv_crash', 'gone', 'share = 0.2, for_s = 4.0'),
    ('srv_crash', 'dark gone', 'share = 0.2, for_s = 4.0'),
    ('srv_crash', 'across dark', 'share = 0.2, for_s = 4.0'),
    ('release', '', 'share = 0.6, gap_s = 0.8, x = 2.0'),
    ('replace_with_reuse', '', 'share = 0.3'),
    ('replace_with_reuse', 'drain', 'share = 0.3'),
    ('replace_with_reuse', 'dark', 'share = 0.3'),
    ('replace_with_reuse', 'side', 'share = 0.3'),
    ('scale_out', '', 'share = 0.3, gap_s = 1.0'),
    ('scale_in', '', 'share = 0.2'),
    ('scale_in', 'spot', 'share = 0.2, x = 2.0'),
    ('scale_in', 'stay', 'share = 0.2, for_s = 8.0'),
    ('answer_lost', '', 'share = 0.5, x = 0.2, for_s = 4.0'),
    ('answer_lost', 'reset', 'share = 0.5, x = 0.2, for_s = 4.0'),
    ('garble', '', 'share = 0.5, x = 0.05, for_s = 5.0'),
    ('garble', 'extra', 'share = 0.5, x = 0.05, for_s = 5.0'),
    ('garble', 'extra late', 'share = 0.6, x = 0.05, for_s = 5.0'),
    ('garble', 'unframed', 'share = 0.5, x = 0.05, for_s = 5.0'),
    ('garble', 'early', 'share = 0.5, x = 0.05, for_s = 5.0'),
    ('node_kill', '', 'share = 0.2'),
    ('node_kill', 'power', 'share = 0.2, for_s = 3.0'),
    ('node_kill', 'reader', 'on = "core", count = 1, for_s = 3.0'),
    ('node_kill', 'leader race drain', 'on = "core", count = 1'),
    ('node_kill', 'meet drain', 'on = "core", count = 1, for_s = 3.0'),
    ('roll_term', '', 'share = 0.5, gap_s = 1.0'),
    ('roll_term', 'busy', 'share = 0.5, gap_s = 0.7'),
    ('roll_term', 'hard', 'share = 0.3, gap_s = 1.5'),
    ('herd_kill', '', 'share = 0.6, for_s = 2.0'),
    ('herd_kill', 'power', 'share = 0.6, for_s = 2.0'),
    ('herd_kill', 'off', 'on = "core", for_s = 2.0'),
    ('after_ack_kill', '', 'for_s = 3.0'),
    ('after_ack_kill', 'kill', 'count = 3, for_s = 3.0'),
    ('after_ack_kill', 'timed', 'for_s = 3.0'),
    ('clock_step', '', 'share = 0.4, x = 3000.0, for_s = 5.0'),
    ('clock_step', 'back', 'share = 0.4, x = 3000.0, for_s = 5.0'),
    ('core_cut', '', 'count = 2, for_s = 5.0'),
    ('core_cut', 'leader one_way', 'count = 2, for_s = 5.0'),
    ('core_cut', 'all', 'count = 2, for_s = 5.0'),
    ('core_cut', 'near', 'count = 2, for_s = 5.0'),
    ('core_cut', 'split', 'for_s = 5.0'),
    ('core_cut', 'both', 'count = 2, for_s = 4.0'),
    ('core_cut', 'relieve', 'count = 2, for_s = 4.0'),
    ('core_cut', 'reset', 'count = 2, for_s = 5.0'),
    ('core_cut', 'refuse', 'count = 2, for_s = 5.0'),
    ('node_cut', '', 'share = 0.3, for_s = 5.0'),
    ('node_cut', 'all', 'share = 0.3, for_s = 5.0'),
    ('node_cut', 'meet', 'share = 0.3, for_s = 5.0'),
    ('node_cut', 'servers', 'share = 0.3, for_s = 5.0'),
    ('node_cut', 'servers reborn', 'share = 0.3, for_s = 5.0'),
    ('lossy', '', 'x = 0.05, for_s = 6.0'),
    ('reset_conns', '', 'share = 0.4, x = 0.5'),
    ('reset_conns', 'silent', 'share = 0.4, x = 0.5'),
    ('platform_down', 'silent', 'for_s = 5.0'),
    ('platform_down', 'busy', 'for_s = 5.0'),
    ('platform_down', 'reset', 'for_s = 5.0'),
    ('platform_down', 'lapse', 'for_s = 7.0'),
    ('platform_down', 'silent lapse', 'for_s = 7.0'),
    ('platform_down', 'nodes busy', 'share = 0.4, for_s = 6.0'),
    ('platform_down', 'nodes many', 'share = 0.4, for_s = 6.0'),
    ('platform_down', 'nodes reset', 'share = 0.4, for_s = 6.0'),
    ('platform_down', 'nodes', 'share = 0.4, for_s = 6.0'),
    ('platform_down', 'nodes meet drain', 'share = 0.4, for_s = 6.0'),
    ('platform_slow', '', 'x = 60.0, for_s = 5.0'),
    ('platform_slow', 'much', 'x = 300.0, for_s = 5.0'),
    ('platform_lost', '', 'x = 0.4, for_s = 5.0'),
    ('platform_lost', 'late', 'x = 0.4, for_s = 5.0'),
    ('platform_compact', '', 'x = 5.0, for_s = 6.0'),
    ('platform_compact', 'drain', 'x = 5.0, for_s = 6.0'),
    ('config_storm', '', 'for_s = 5.0, gap_s = 0.1'),
    ('config_change', 'timeout', ''),
    ('node_freeze', '', 'share = 0.3, for_s = 3.0'),
    ('node_slow', '', 'share = 0.3, x = 5.0, for_s = 5.0'),
    ('hup', '', 'share = 0.6, gap_s = 0.3'),
    ('srv_lying_health', '', 'share = 0.3, for_s = 5.0'),
    ('srv_flap', '', 'share = 0.3, for_s = 6.0'),
    ('idle_race', '', 'share = 0.5, for_s = 6.0'),
)


class DayFault(Struct, frozen=True, kw_only=True):
    """A kind of fault that the bench can cause.

    Attributes:
        kind: name of the fault in the bench.
        variant: words that select variants; empty for the default.
        other_fields: other fields of its entry, as TOML.
    """

    kind: str
    variant: str
    other_fields: str

    @property
    def name(self) -> str:
        """Name of the day with this fault."""
        return '-'.join((self.kind, *self.variant.split()))

    def write_entry(self, at: float) -> str:
        """Format the entry of the fault in a day.

        Args:
            at: seconds from the start of traffic.

        Returns:
            A TOML inline table.
        """
        how = f', how = "{self.variant}"' if self.variant else ''
        other_fields = f', {self.other_fields}' if self.other_fields else ''
        return f'{{ at = {at}, kind = "{self.kind}"{how}{other_fields} }}'


def write_day(fault: DayFault, *, seed: int) -> str:
    """Format a day that has a fault early and late.

    Args:
        fault: fault to cause.
        seed: seed of the day.

    Returns:
        The day as TOML.
    """
    faults = (
        fault.write_entry(EARLY_SECONDS),
        fault.write_entry(LATE_SECONDS),
    )
    return '\n'.join(
        (
            f'name = "{fault.name}"',
            f'seed = {seed}',
            'plan = [\n  {0},\n]'.format(',\n  '.join(PLANNED_WORK)),
            'faults = [\n  {0},\n]'.format(',\n  '.join(faults)),
            '',
        ),
    )


def run_day(
    fault: DayFault,
    *,
    bench: Path,
    site: Path,
    folder: Path,
    seed: int,
) -> str:
    """Run one day on the bench.

    Args:
        fault: fault of the day.
        bench: path of the bench program.
        site: path of the site file.
        folder: folder for the day file and the output of the bench.
        seed: seed of the day.

    Returns:
        The result line that the bench prints for the day.
    """
    day = folder / f'{site.stem}-{fault.name}.toml'
    day.write_text(write_day(fault, seed=seed))
    completed = subprocess.run(
        [
            bench,
            'run',
            site,
            day,
            '--jobs',
            '1',
            '--why',
            f'a day of {fault.name}, early and late',
        ],
        capture_output=True,
        text=True,
        timeout=DAY_TIMEOUT_SECONDS,
        check=False,
    )
    day.with_suffix('.txt').write_text(completed.stdout + completed.stderr)
    found = re.search(f'^{fault.name} .*$', completed.stdout, re.MULTILINE)
    return (
        found.group() if found else f'{fault.name}: {completed.stdout[-300:]}'
    )


@click.command()
@click.argument('bench', type=click.Path(path_type=Path))
@click.argument('site', type=click.Path(path_type=Path))
@click.option('--folder', type=click.Path(path_type=Path), default='out/days')
@click.option(
    '--only', default='', help='Run only days whose name has this text.'
)
@click.option('--seed', default=1)
@click.option('--jobs', default=4)
def main(
    bench: Path,
    site: Path,
    folder: Path,
    only: str,
    seed: int,
    jobs: int,
) -> None:
    """Run a day for each kind of fault and print a line for each.

    \f

    Args:
        bench: path of the bench program.
        site: path of the site file.
        folder: folder for day files and the output of the bench.
        only: text in the names of the days to run; empty for all.
        seed: seed of the days.
        jobs: number of days to run at once.
    """
    folder.mkdir(parents=True, exist_ok=True)
    faults = [
        DayFault(kind=kind, variant=variant, other_fields=other_fields)
        for kind, variant, other_fields in FAULTS
    ]
    run_one = partial(run_day, bench=bench, site=site, folder=folder, seed=seed)
    with ThreadPoolExecutor(jobs) as executor:
        wanted = [each for each in faults if only in each.name]
        for line in executor.map(run_one, wanted):
            click.echo(line)


if __name__ == '__main__':
    main()
