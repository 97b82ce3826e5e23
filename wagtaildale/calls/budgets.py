"""How many attempts beyond the first an entry may make to a service.

Load pattern answered: every server of a service refuses or loses part of its
requests, or they all turn slow, and repeats and second attempts would add to
what they cannot carry. The operators bound repeats over the whole fleet, in
every window of some seconds; an entry knows only its own requests and how
many entries there are.
"""

from __future__ import annotations

import random
from collections import deque
from typing import TYPE_CHECKING, Final

from msgspec import Struct

if TYPE_CHECKING:
    from wagtaildale.settings.model import BoundSettings

# Of the share that operators allow. The rest is for repeats that no entry
# sees as such: the calls of a request that was itself repeated count as
# repeats too, at each service that it calls.
SHARE_USED: Final = 0.5
# What requests earn is kept for this part of the window: what was earned
# before a window began and is spent in it then stays within the rest.
WINDOW_KEPT: Final = 0.2
# Of the slack. It is given anew once a window, so that in some windows it
# can be spent twice.
SLACK_USED: Final = 0.3


class RetryShare(Struct, frozen=True, kw_only=True):
    """What repeats an entry may make of its requests to a service.

    Attributes:
        tokens_per_request: earned by each request.
        token_lifetime_seconds: after which what was earned is forgotten.
        slack: repeats beyond those earned.
        slack_period_seconds: after which the slack is given anew.
    """

    tokens_per_request: float
    token_lifetime_seconds: float
    slack: float
    slack_period_seconds: float


def compute_retry_share(bounds: BoundSettings, *, entries: int) -> RetryShare:
    """Find this entry's share of the repeats that operators allow.

    Args:
        bounds: what is allowed to all entries together.
        entries: how many there are.

    Returns:
        What one may spend.
    """
    return RetryShare(
        tokens_per_request=SHARE_USED * bounds.retry_share,
        token_lifetime_seconds=WINDOW_KEPT * bounds.retry_window_seconds,
        slack=SLACK_USED * bounds.retry_slack / max(1, entries),
        slack_period_seconds=bounds.retry_window_seconds,
    )


class RetryBudget:
    """The repeats that may be spent on a service now.

    Failure guarded here: a brownout makes calls fail, the repeats double
    the load and the brownout. The guard holds since in any window there are
    never more repeats than a share of the requests and a few.

    An entry's share of either may be far less than one repeat. So the first
    part of one, and the part left over of the slack, are drawn by lot, and
    all entries together get what they are allowed.

    Attributes:
        share: that it goes by; may be changed at any time.
    """

    __slots__ = ('_earned', '_part', '_slack', '_slack_until', 'share')

    def __init__(self, share: RetryShare, *, now: float) -> None:
        """Begin with the slack of one window.

        Args:
            share: that it goes by.
            now: seconds.
        """
        self.share = share
        self._earned: deque[float] = deque()
        self._part = random.random()
        self._slack = 0
        self._slack_until = now
        self._pass_time(now)

    @property
    def tokens(self) -> int:
        """Repeats that may be spent, as last counted."""
        return len(self._earned) + self._slack

    def earn(self, *, now: float) -> None:
        """Count a request.

        Args:
            now: seconds.
        """
        self._pass_time(now)
        self._part += self.share.tokens_per_request
        if self._part >= 1:
            self._part -= 1
            self._earned.append(now + self.share.token_lifetime_seconds)

    def spend(self, *, now: float) -> bool:
        """Spend one repeat.

        Args:
            now: seconds.

        Returns:
            Whether there was one left.
        """
        self._pass_time(now)
        if self._earned:
            self._earned.popleft()
        elif self._slack:
            self._slack -= 1
        else:
            return False
        return True

    def _pass_time(self, now: float) -> None:
        while self._earned and self._earned[0] < now:
            self._earned.popleft()
        if self._slack_until <= now:
            self._slack_until = now + self.share.slack_period_seconds
            self._slack = int(self.share.slack + random.random())
