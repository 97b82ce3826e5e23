"""How the upstream of an attempt is chosen: the plug point.

Each way is a module behind ``Chooser``; ``choosers.make_chooser`` makes one.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum
from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.routing.book import UpstreamBook
    from wagtaildale.types import DataCentre


@final
class ChoiceName(Enum):
    """The ways there are; all but the first are baselines to measure."""

    least_loaded = 'least-loaded'
    round_robin = 'round-robin'
    random = 'random'


class Chooser(ABC):
    """Chooses among candidates."""

    @abstractmethod
    def choose(
        self,
        candidates: Sequence[InstanceRecord],
        *,
        book: UpstreamBook,
        data_centre: DataCentre,
    ) -> InstanceRecord:
        """Choose one.

        Args:
            candidates: upstreams that may take the attempt; at least one.
            book: what is known of them.
            data_centre: the entry's own.

        Returns:
            The one that takes it.
        """
