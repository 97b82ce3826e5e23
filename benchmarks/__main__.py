"""``make bench``: prints one line a figure."""

from __future__ import annotations

from typing import Final

import click

from benchmarks.calls import measure_calls

SECONDS: Final = 5.0


@click.command()
@click.option('--seconds', type=float, default=SECONDS)
def main(seconds: float) -> None:
    """Measure everything and print the figures.

    \f

    Args:
        seconds: for each step of a benchmark.
    """
    for figure in measure_calls(seconds=seconds):
        figure.print_line()


if __name__ == '__main__':
    main()
