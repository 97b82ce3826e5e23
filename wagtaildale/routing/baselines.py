"""Baselines of the benchmarks: choices that look at no load."""

from __future__ import annotations

import itertools
import random
from typing import TYPE_CHECKING

from wagtaildale.routing.choice import Chooser, RequestContext

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.routing.statistics import FleetStatistics


class RoundRobin(Chooser):
    """Every upstream in turn."""

    def __init__(self) -> None:
        """Begin with the first."""
        self._turn = itertools.count()

    def choose(
        self,
        candidates: Sequence[InstanceRecord],
        *,
        statistics: FleetStatistics,
        request: RequestContext,
        now: float,
    ) -> InstanceRecord:
        """Choose the next one; see ``Chooser``.

        Args:
            candidates: at least one.
            statistics: not looked at.
            request: not looked at.
            now: not looked at.

        Returns:
            The one that takes the attempt.
        """
        return candidates[next(self._turn) % len(candidates)]


class RandomChoice(Chooser):
    """Any upstream."""

    def choose(
        self,
        candidates: Sequence[InstanceRecord],
        *,
        statistics: FleetStatistics,
        request: RequestContext,
        now: float,
    ) -> InstanceRecord:
        """Choose any one; see ``Chooser``.

        Args:
            candidates: at least one.
            statistics: not looked at.
            request: not looked at.
            now: not looked at.

        Returns:
            The one that takes the attempt.
        """
        return random.choice(candidates)
