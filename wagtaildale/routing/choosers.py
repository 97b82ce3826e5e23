"""Creates the chooser that the settings select."""

from __future__ import annotations

from wagtaildale.routing.choice import Chooser, ChoiceName
from wagtaildale.routing.expected_time import ExpectedTime
from wagtaildale.routing.least_loaded import LeastLoaded
from wagtaildale.routing.baselines import RandomChoice, RoundRobin


def make_chooser(name: ChoiceName) -> Chooser:
    """Create a chooser by name.

    Args:
        name: name of the strategy.

    Returns:
        A new chooser.
    """
    choosers: dict[ChoiceName, type[Chooser]] = {
        ChoiceName.least_loaded: LeastLoaded,
        ChoiceName.expected_time: ExpectedTime,
        ChoiceName.round_robin: RoundRobin,
        ChoiceName.random: RandomChoice,
    }
    return choosers[name]()
