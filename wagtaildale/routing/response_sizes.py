"""Mean response sizes of bulk classes, from the responses that were forwarded.

Uses no clock, lock or log.
"""

from __future__ import annotations

from typing import Final

# Weight of one response in the smoothed mean of its class. Sizes of downloads
# differ by a factor of ten, so a larger weight would let single responses
# decide. The first responses weigh more, as in an ordinary mean.
MIN_GAIN: Final = 0.05


class ResponseSizes:
    """Smoothed mean size of the responses of each class.

    Example:
        >>> sizes = ResponseSizes()
        >>> sizes.note('maps/tile', 100)
        >>> sizes.note('maps/tile', 200)
        >>> sizes.find_mean('maps/tile')
        150.0
    """

    __slots__ = ('_counts', '_means')

    def __init__(self) -> None:
        """Start without any response."""
        self._means: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def note(self, class_name: str, size: int) -> None:
        """Note the size of a response.

        Args:
            class_name: name of service and class, for example ``maps/tile``.
            size: bytes of its body.
        """
        count = self._counts.get(class_name, 0) + 1
        mean = self.find_mean(class_name)
        gain = max(MIN_GAIN, 1 / count)
        self._counts[class_name] = count
        self._means[class_name] = mean + (size - mean) * gain

    def find_mean(self, class_name: str) -> float:
        """Find the mean response size of a class.

        Args:
            class_name: name of service and class, for example ``maps/tile``.

        Returns:
            Bytes; 0 before the first response.
        """
        return self._means.get(class_name, 0)
