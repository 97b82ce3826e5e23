"""How a benchmark's figures are printed: one line each."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click
from msgspec import Struct

if TYPE_CHECKING:
    from collections.abc import Sequence


class Measurement(Struct, frozen=True, kw_only=True):
    """One figure, with a baseline of the same run.

    Attributes:
        name: what was measured.
        amount: how much.
        unit: of what.
        nodes: in the fleet.
        baseline: our own other way to do the same.
        baseline_amount: what that gave.
    """

    name: str
    amount: float
    unit: str
    nodes: int
    baseline: str
    baseline_amount: float

    def print_line(self) -> None:
        """Print the figure as key=value pairs."""
        ratio = float('inf')
        if self.baseline_amount:
            ratio = self.amount / self.baseline_amount
        click.echo(
            f'figure={self.name} value={self.amount:.4g} unit={self.unit} '
            f'nodes={self.nodes} baseline={self.baseline} '
            f'baseline_value={self.baseline_amount:.4g} ratio={ratio:.3g}',
        )


def find_percentile(amounts: Sequence[float], *, percent: float) -> float:
    """Find a percentile.

    Args:
        amounts: at least one.
        percent: from 0 to 100.

    Returns:
        The smallest amount that ``percent`` of all do not exceed.
    """
    ordered = sorted(amounts)
    index = round(len(ordered) * percent / 100 + 0.5) - 1
    return ordered[min(len(ordered) - 1, max(0, index))]
