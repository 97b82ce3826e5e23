"""Runs all benchmarks and prints one line for each measurement.

Started by ``make bench``.
"""

from __future__ import annotations

from itertools import chain
from typing import Final

import click

from benchmarks.calls import measure_calls
from benchmarks.deep import measure_call_chain
from benchmarks.gates import measure_gates
from benchmarks.hops import measure_hops
from benchmarks.policy import measure_policy, measure_rolling_restart
from benchmarks.size import measure_size
from benchmarks.spread import measure_spread
from benchmarks.spread_faults import measure_faults

SECONDS: Final = 5.0
FAULTS_NODES: Final = 30


@click.command()
@click.option('--seconds', type=float, default=SECONDS)
def main(seconds: float) -> None:
    """Run all benchmarks and print their measurements.

    \f

    Args:
        seconds: duration of each step of a benchmark.
    """
    measurements = chain(
        measure_hops(),
        measure_gates(),
        measure_size(),
        measure_calls(seconds=seconds),
        measure_call_chain(),
        measure_policy(seconds=seconds),
        measure_rolling_restart(),
        measure_spread(),
        measure_faults(FAULTS_NODES),
    )
    for measurement in measurements:
        measurement.print_line()


if __name__ == '__main__':
    main()
