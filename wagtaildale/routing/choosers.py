"""Creates the chooser that the settings select."""

from __future__ import annotations

from wagtaildale.routing.baselines import RandomChooser, RoundRobinChooser
from wagtaildale.routing.choice import Chooser, ChooserName
from wagtaildale.routing.expected_time import ExpectedTimeChooser
from wagtaildale.routing.least_loaded import LeastLoadedChooser


def make_chooser(name: ChooserName) -> Chooser:
    """Create a chooser by name.

    Args:
        name: name of the chooser.

    Returns:
        A new chooser.
    """
    choosers: dict[ChooserName, type[Chooser]] = {
        ChooserName.least_loaded: LeastLoadedChooser,
        ChooserName.expected_time: ExpectedTimeChooser,
        ChooserName.round_robin: RoundRobinChooser,
        ChooserName.random: RandomChooser,
    }
    return choosers[name]()
