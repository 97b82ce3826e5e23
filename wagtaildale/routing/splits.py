"""Divides the requests of a route among services by weight."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wagtaildale.configuration.model import Share
    from wagtaildale.types import ServiceName


class Split:
    """Smooth weighted round robin over the services of one route.

    Every run of requests gets shares close to the weights, where drawing at
    random is off by the square root of their number. It begins at a random
    place: a configuration that changes often would otherwise begin each
    time with the heaviest.

    Example:
        >>> from wagtaildale.configuration.model import Share
        >>> split = Split([Share(service='a', weight=1)])
        >>> split.choose()
        'a'
    """

    def __init__(self, shares: Sequence[Share]) -> None:
        """Begin at a random place.

        Args:
            shares: at least one with a weight above 0.
        """
        self._shares = [share for share in shares if share.weight > 0]
        self._total = sum(share.weight for share in self._shares)
        self._credit = [
            random.uniform(0, share.weight) for share in self._shares
        ]

    def choose(self) -> ServiceName:
        """Choose the service of the next request.

        Returns:
            Its name.
        """
        best = 0
        for index, share in enumerate(self._shares):
            self._credit[index] += share.weight
            if self._credit[index] > self._credit[best]:
                best = index
        self._credit[best] -= self._total
        return self._shares[best].service
