"""The less loaded of two drawn upstreams, the near ones first."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

from wagtaildale.routing.choice import Chooser, Need

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.routing.book import UpstreamBook

# Half full: beyond that a request may have to wait where it goes, and a
# wait costs more than the way to another data centre.
NEAR_ENOUGH: Final = 0.5


class LeastLoaded(Chooser):
    """Power of two choices on what owners report with each answer."""

    def choose(
        self,
        candidates: Sequence[InstanceRecord],
        *,
        book: UpstreamBook,
        need: Need,
    ) -> InstanceRecord:
        """Choose one; see ``Chooser``.

        The entry's own data centre goes first; others come in when the
        one drawn there is more than half full.

        Args:
            candidates: at least one.
            book: what is known of them.
            need: of the request.

        Returns:
            The one that takes the attempt.
        """
        near = [
            record
            for record in candidates
            if record.data_centre == need.data_centre
        ]
        if not near:
            return _choose_of_two(candidates, book)
        chosen = _choose_of_two(near, book)
        if _measure(chosen, book) < NEAR_ENOUGH:
            return chosen
        other = _choose_of_two(candidates, book)
        return _find_lighter(chosen, other, book)


def _choose_of_two(
    candidates: Sequence[InstanceRecord],
    book: UpstreamBook,
) -> InstanceRecord:
    if len(candidates) == 1:
        return candidates[0]
    first, second = random.sample(candidates, 2)
    return _find_lighter(first, second, book)


def _find_lighter(
    first: InstanceRecord,
    second: InstanceRecord,
    book: UpstreamBook,
) -> InstanceRecord:
    if _measure(second, book) < _measure(first, book):
        return second
    return first


def _measure(record: InstanceRecord, book: UpstreamBook) -> float:
    return book.find(record.instance).measure_load()
