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
        # Of several alike each entry is to take another one.
        shuffled = random.sample(candidates, len(candidates))
        times = {
            record.instance: book.estimate_seconds(record.instance, need)
            for record in shuffled
        }
        best = min(shuffled, key=lambda record: times[record.instance])
        near = [
            record
            for record in shuffled
            if record.data_centre == need.data_centre
        ]
        margin = (SAFETY - 1) * book.find_usual_seconds(need.work_class)
        if not near:
            in_time = times[best.instance] <= need.slack_seconds - margin
            return best if in_time or not need.may_wait else None
        nearest = min(near, key=lambda record: times[record.instance])
        for limit in (need.slack_seconds - margin, need.rest_seconds - margin):
            if times[nearest.instance] <= limit:
                return nearest
            if times[best.instance] <= limit:
                return best
        return nearest
