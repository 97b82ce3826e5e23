"""Makes the chooser that the settings name."""

from __future__ import annotations

from wagtaildale.routing.choice import Chooser, ChoiceName
from wagtaildale.routing.expected_time import ExpectedTime
from wagtaildale.routing.least_loaded import LeastLoaded
from wagtaildale.routing.baselines import RandomChoice, RoundRobin


def make_chooser(name: ChoiceName) -> Chooser:
    """Make the chooser with a name.

    Args:
        name: which way.

    Returns:
        The chooser.
    """
    choosers: dict[ChoiceName, type[Chooser]] = {
        ChoiceName.least_loaded: LeastLoaded,
        ChoiceName.expected_time: ExpectedTime,
        ChoiceName.round_robin: RoundRobin,
        ChoiceName.random: RandomChoice,
    }
    return choosers[name]()
