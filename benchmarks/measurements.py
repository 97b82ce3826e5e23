"""Measurements of benchmarks, printed one per line."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click
from msgspec import Struct

if TYPE_CHECKING:
    from collections.abc import Sequence


class Measurement(Struct, frozen=True, kw_only=True):
    """A measured value with a baseline from the same run.

    Attributes:
        name: name of the measured quantity.
        amount: measured value.
        unit: unit of both values.
        nodes: number of nodes in the fleet.
        baseline: name of the alternative that is compared.
        baseline_amount: value measured for the baseline.
    """

    name: str
    amount: float
    unit: str
    nodes: int
    baseline: str
    baseline_amount: float

    def print_line(self) -> None:
        """Print the measurement as key=value pairs."""
        ratio = float('inf')
        if self.baseline_amount:
            ratio = self.amount / self.baseline_amount
        click.echo(
            f'figure={self.name} value={self.amount:.4g} unit={self.unit} '
            f'nodes={self.nodes} baseline={self.baseline} '
            f'baseline_value={self.baseline_amount:.4g} ratio={ratio:.3g}',
        )


def find_percentile(amounts: Sequence[float], *, percent: float) -> float:
    """Find a percentile by the nearest-rank method.

    Args:
        amounts: values, at least one.
        percent: percentile from 0 to 100.

    Returns:
        The smallest value that ``percent`` of all values do not exceed.
    """
    ordered = sorted(amounts)
    index = round(len(ordered) * percent / 100 + 0.5) - 1
    return ordered[min(len(ordered) - 1, max(0, index))]
