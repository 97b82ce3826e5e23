"""Baseline choosers for benchmarks, which ignore the load."""

from __future__ import annotations

import itertools
import random
from typing import TYPE_CHECKING

from wagtaildale.routing.choice import Chooser, RequestContext

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.routing.statistics import FleetStatistics


class RoundRobinChooser(Chooser):
    """Chooses the upstreams in turn."""

    def __init__(self) -> None:
        """Start with the first candidate."""
        self._turn = itertools.count()

    def choose(
        self,
        candidates: Sequence[InstanceRecord],
        *,
        statistics: FleetStatistics,
        request: RequestContext,
        now: float,
    ) -> InstanceRecord:
        """Choose the next upstream; see ``Chooser``.

        Args:
            candidates: upstreams that may take the attempt; at least one.
            statistics: ignored.
            request: ignored.
            now: ignored.

        Returns:
            The chosen upstream.
        """
        return candidates[next(self._turn) % len(candidates)]


class RandomChooser(Chooser):
    """Chooses upstreams at random, with equal probability."""

    def choose(
        self,
        candidates: Sequence[InstanceRecord],
        *,
        statistics: FleetStatistics,
        request: RequestContext,
        now: float,
    ) -> InstanceRecord:
        """Choose a random upstream; see ``Chooser``.

        Args:
            candidates: upstreams that may take the attempt; at least one.
            statistics: ignored.
            request: ignored.
            now: ignored.

        Returns:
            The chosen upstream.
        """
        return random.choice(candidates)
