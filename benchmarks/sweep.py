"""Measures distribution with different tuning parameters.

python -m benchmarks.sweep
"""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Final

import click
from msgspec import json, structs

from benchmarks.faulty_node import LOSS_VARIABLE, TUNING_VARIABLE
from benchmarks.measurements import find_percentile
from benchmarks.spread import measure_fleet_with_options
from standins.fleet import FleetOptions
from wagtaildale.cli.output import print_table
from wagtaildale.distribution.tuning import Tuning

if TYPE_CHECKING:
    from collections.abc import Iterator

NODES: Final = 30
LOSS_SHARE: Final = '0.05'
MAXIMUM: Final = 100
DEFAULT_TUNING: Final = Tuning()


def list_tunings() -> Iterator[tuple[str, Tuning]]:
    """List the tunings to measure; each changes one parameter.

    Yields:
        Description of the change, and the tuning.
    """
    yield 'as it is', DEFAULT_TUNING
    for fan_out in (2, 8):
        yield (
            f'fan_out={fan_out}',
            structs.replace(DEFAULT_TUNING, fan_out=fan_out),
        )
    for seconds in (0.5, 3.0):
        tuning = structs.replace(DEFAULT_TUNING, swap_seconds=seconds)
        yield f'swap_seconds={seconds}', tuning
    yield 'readers=1', structs.replace(DEFAULT_TUNING, readers=1)


def measure_row(name: str, tuning: Tuning) -> list[str]:
    """Measure one tuning with 5% of messages lost.

    Args:
        name: description of the change.
        tuning: tuning to measure.

    Returns:
        Cells of one table row.
    """
    os.environ[LOSS_VARIABLE] = LOSS_SHARE
    os.environ[TUNING_VARIABLE] = json.encode(tuning).decode()
    options = FleetOptions(
        program='benchmarks.faulty_node',
        log_level='error',
    )
    rates = measure_fleet_with_options(NODES, options=options)
    slowest = find_percentile(rates.convergence_ms, percent=MAXIMUM)
    return [
        name,
        f'{find_percentile(rates.convergence_ms, percent=50):.0f}',
        f'{slowest:.0f}',
        f'{rates.bytes_per_second:.0f}',
        f'{rates.bytes_per_change:.0f}',
        f'{rates.reads_per_second:.1f}',
    ]


@click.command()
def main() -> None:
    """Print one table row for each tuning."""
    rows = [measure_row(name, tuning) for name, tuning in list_tunings()]
    print_table(
        ('changed', 'p50 ms', 'p100 ms', 'idle B/s', 'B/change', 'reads/s'),
        rows=rows,
    )


if __name__ == '__main__':
    main()
