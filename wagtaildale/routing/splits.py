"""Splits the requests of a route among services by weight."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wagtaildale.configuration.model import Share
    from wagtaildale.types import ServiceName


class Split:
    """Smooth weighted round robin over the services of one route.

    Any sequence of requests is split close to the weights, whereas a random
    draw deviates by about the square root of their number. With each request,
    the current weight of every service grows by its weight, and the service
    with the largest one is chosen and reduced by the sum of all weights.

    The current weights start at random. With all at 0, the first request after
    each change of the configuration would go to the heaviest service.

    Example:
        >>> from wagtaildale.configuration.model import Share
        >>> split = Split([Share(service='a', weight=1)])
        >>> split.choose()
        'a'
    """

    def __init__(self, shares: Sequence[Share]) -> None:
        """Start with random current weights.

        Args:
            shares: services with their weights, at least one above 0.
        """
        self._shares = [share for share in shares if share.weight > 0]
        self._total = sum(share.weight for share in self._shares)
        self._current_weights = [
            random.uniform(0, share.weight) for share in self._shares
        ]

    def choose(self) -> ServiceName:
        """Choose the service of the next request.

        Returns:
            Name of the service.
        """
        best = 0
        for index, share in enumerate(self._shares):
            self._current_weights[index] += share.weight
            if self._current_weights[index] > self._current_weights[best]:
                best = index
        self._current_weights[best] -= self._total
        return self._shares[best].service
