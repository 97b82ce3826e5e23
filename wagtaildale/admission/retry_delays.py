"""Spreads the times after which refused callers may retry."""

from __future__ import annotations

import random
from typing import Final

# Most that is added to a retry delay, as a fraction of it, so that callers
# that were refused together do not return together.
RETRY_SPREAD: Final = 0.5


def spread_retry_delay(seconds: float) -> float:
    """Add a random part to a retry delay.

    Args:
        seconds: shortest delay.

    Returns:
        Seconds, longer by up to ``RETRY_SPREAD`` of the delay.
    """
    return seconds * (1 + RETRY_SPREAD * random.random())
