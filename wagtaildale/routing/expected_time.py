"""The upstream that is expected to answer first, the near ones preferred.

Load pattern answered: data centres with fewer servers than their callers
need, servers of one service that differ in speed, and bytes between data
centres that cost more than a short wait. A request stays in its own data
centre as long as its target can be kept there, and goes elsewhere only where
its target can be kept, or, if nowhere, where it can be answered at all.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

from wagtaildale.routing.choice import Chooser, Need

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.routing.book import UpstreamBook

# Of the usual time of an answer: what one that takes longer than usual may
# need. With times spread as those of the users' services (a third of the
# mean), nine in ten answers are inside it.
SAFETY: Final = 1.5


class ExpectedTime(Chooser):
    """Chooses by the time until an answer is expected."""

    def choose(
        self,
        candidates: Sequence[InstanceRecord],
        *,
        book: UpstreamBook,
        need: Need,
    ) -> InstanceRecord | None:
        """Choose one; see ``Chooser``.

        Args:
            candidates: at least one.
            book: what is known of them.
            need: of the request.

        Returns:
            The one that takes the attempt; nothing if the near ones were
            full, no other can answer in time, and the request may wait.
        """
        margin = (SAFETY - 1) * book.find_usual_seconds(need.work_class)
        # Of several alike each entry is to take another one.
        ranked = [
            (book.estimate_seconds(record.instance, need) + margin, record)
            for record in random.sample(candidates, len(candidates))
        ]
        best = min(ranked, key=_read_seconds)
        near = [each for each in ranked if _is_near(each, need)]
        if not near:
            in_time = best[0] <= need.slack_seconds
            return best[1] if in_time or not need.may_wait else None
        nearest = min(near, key=_read_seconds)
        for seconds in (need.slack_seconds, need.rest_seconds):
            if nearest[0] <= seconds:
                return nearest[1]
            if best[0] <= seconds:
                return best[1]
        return nearest[1]


def _read_seconds(ranked: tuple[float, InstanceRecord]) -> float:
    return ranked[0]


def _is_near(ranked: tuple[float, InstanceRecord], need: Need) -> bool:
    return ranked[1].data_centre == need.data_centre
