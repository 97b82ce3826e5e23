"""Budgets for the retries and hedges that an entry sends to a service.

When all servers of a service reject or lose part of their requests, or all
become slow, retries and hedges would add to a load that they cannot handle.
Operators limit retries across the whole fleet, in every window of some
seconds. An entry knows only its own requests and the number of entries, so
each one spends a share of that limit.
"""

from __future__ import annotations

import random
from collections import deque
from typing import TYPE_CHECKING, Final

from msgspec import Struct

if TYPE_CHECKING:
    from wagtaildale.settings.model import BoundSettings

# Part of the operators' retry share that entries may spend. The rest is for
# retries that no entry recognises: if a request is retried, the calls that it
# makes count as retries too, at each service that it calls.
SPENDABLE_SHARE: Final = 0.5
# Lifetime of earned tokens, as a part of the window. Tokens that are earned
# before a window and spent within it are then at most a tenth of the share (0.2
# x 0.5), less than the part that entries leave unspent.
TOKEN_LIFETIME_SHARE: Final = 0.2
# Part of the operators' slack that entries may spend. The slack is renewed once
# per window, so it can be spent twice within some windows.
SPENDABLE_SLACK_SHARE: Final = 0.3


class RetryLimits(Struct, frozen=True, kw_only=True):
    """Limits on the retries and hedges that one entry sends to a service.

    Attributes:
        tokens_per_request: tokens earned by each request; one token pays for
            one retry or hedge.
        token_lifetime_seconds: time after which an earned token expires.
        slack: tokens beyond the earned ones, per slack period.
        slack_period_seconds: time after which the slack is renewed.
        entries: number of entries that the slack is divided among.
    """

    tokens_per_request: float
    token_lifetime_seconds: float
    slack: float
    slack_period_seconds: float
    entries: int


def compute_retry_limits(bounds: BoundSettings, *, entries: int) -> RetryLimits:
    """Compute the limits on one entry from those on all entries.

    Args:
        bounds: limits for all entries together.
        entries: number of entries.

    Returns:
        The limits on one entry.
    """
    return RetryLimits(
        tokens_per_request=SPENDABLE_SHARE * bounds.retry_share,
        token_lifetime_seconds=TOKEN_LIFETIME_SHARE
        * bounds.retry_window_seconds,
        slack=SPENDABLE_SLACK_SHARE * bounds.retry_slack / max(1, entries),
        slack_period_seconds=bounds.retry_window_seconds,
        entries=entries,
    )


class RetryBudget:
    """Token budget for an entry's retries and hedges to one service.

    Limits retries so that they do not add to the overload that made the calls
    fail; with a retry for each, they would double it. In any window there are
    never more retries than a share of the requests plus the slack.

    The share of one entry may be far less than one token. So the initial
    fraction of a token and the rounding of the slack are random, and all
    entries together get what they are allowed.
    """

    __slots__ = ('_expiries', '_fraction', '_limits', '_slack', '_slack_until')

    def __init__(self, limits: RetryLimits, *, now: float) -> None:
        """Create a budget with the slack of one period.

        Args:
            limits: limits of this entry.
            now: current time, seconds.
        """
        self._limits = limits
        self._expiries: deque[float] = deque()
        self._fraction = random.random()
        self._slack = 0
        self._slack_until = now
        self._update_tokens(now)

    @property
    def tokens(self) -> int:
        """Number of tokens, as of the last update."""
        return len(self._expiries) + self._slack

    def replace_limits(self, limits: RetryLimits) -> None:
        """Replace the limits; slack beyond the new ones is lost.

        An entry that starts gets its first configuration before its first
        instance list, and would keep the slack of a fleet of one until the end
        of the period.

        Args:
            limits: new limits of this entry.
        """
        if limits.slack < self._limits.slack:
            self._slack = min(self._slack, _round_randomly(limits.slack))
        self._limits = limits

    def earn(self, *, now: float) -> None:
        """Add the tokens that a request earns.

        Args:
            now: current time, seconds.
        """
        self._update_tokens(now)
        self._fraction += self._limits.tokens_per_request
        if self._fraction >= 1:
            self._fraction -= 1
            self._expiries.append(now + self._limits.token_lifetime_seconds)

    def spend(self, *, now: float) -> bool:
        """Spend a token on a retry or hedge.

        Args:
            now: current time, seconds.

        Returns:
            Whether a token was left.
        """
        self._update_tokens(now)
        if self._expiries:
            self._expiries.popleft()
        elif self._slack:
            self._slack -= 1
        else:
            return False
        return True

    def _update_tokens(self, now: float) -> None:
        while self._expiries and self._expiries[0] < now:
            self._expiries.popleft()
        if self._slack_until <= now:
            self._slack_until = now + self._limits.slack_period_seconds
            self._slack = _round_randomly(self._limits.slack)


def _round_randomly(number: float) -> int:
    return int(number + random.random())
