"""Decides whether a call that failed is tried again."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct, field

from wagtaildale.errors.codes import Code
from wagtaildale.routing.table import RETRIES_MOST
from wagtaildale.types import InstanceId, Outcome

if TYPE_CHECKING:
    from wagtaildale.calls.failures import CallFailed

BUDGET_SHARE: Final = 0.2
BUDGET_MOST: Final = 20.0
# Upstreams that a call may be refused by, unrun, before its caller is told:
# with the least loaded asked first, a fourth one seldom has room.
REFUSALS_MOST: Final = 3
# Refusals that cost the upstream nothing: the call is only steered elsewhere.
STEERED: Final = frozenset(
    (
        Code.wrong_instance,
        Code.draining,
        Code.backend_unreachable,
        Code.lease_ended,
        Code.peer_lost,
    ),
)
RETRIED: Final = STEERED | frozenset(
    (
        Code.overloaded,
        Code.backend_shed,
        Code.backend_cut,
        Code.answer_mismatched,
        Code.timed_out,
        Code.service_error,
    ),
)
# Refusals by the owner itself: nothing has reached a backend server.
BY_OWNER: Final = STEERED | {Code.overloaded}


class RetryBudget(Struct, kw_only=True):
    """Retries that may be spent: a share of the fresh calls.

    Failure guarded here: a brownout makes calls fail, the retries double
    the load and the brownout. The guard holds since over time there are
    never more retries than ``share`` of the calls.

    Attributes:
        tokens: retries that may be spent now.
        share: retries earned by a fresh call.
        most: retries that can be saved up.
    """

    tokens: float = BUDGET_MOST
    share: float = BUDGET_SHARE
    most: float = BUDGET_MOST

    def earn(self) -> None:
        """Count a fresh call."""
        self.tokens = min(self.most, self.tokens + self.share)

    def spend(self) -> bool:
        """Spend one retry.

        Returns:
            Whether there was one left.
        """
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Attempts(Struct, kw_only=True):
    """The attempts of one call.

    Attributes:
        idempotent: whether running it twice does no harm.
        deadline: seconds on the clock.
        budget: of the service.
        retries_left: attempts beyond the first that the call, and the
            calls that it leads to, may still make.
        refusals_left: upstreams that may yet refuse the call unrun.
        tried: the upstreams that attempts went to.
        busy: of these, those that refused for want of room.
    """

    idempotent: bool
    deadline: float
    budget: RetryBudget
    retries_left: int = RETRIES_MOST
    refusals_left: int = REFUSALS_MOST
    tried: list[InstanceId] = field(default_factory=list)
    busy: list[InstanceId] = field(default_factory=list)

    def list_useless(self) -> frozenset[InstanceId]:
        """List the upstreams that need not be asked again.

        Returns:
            Those tried; once no more refusals are left, without the busy
            ones: the request then waits at one of them.
        """
        if self.refusals_left:
            return frozenset(self.tried)
        return frozenset(self.tried).difference(self.busy)

    def may_retry(
        self,
        failure: CallFailed,
        *,
        now: float,
        replayable: bool,
    ) -> bool:
        """Decide after a failed attempt.

        Args:
            failure: how it ended.
            now: seconds.
            replayable: whether the body can be sent again.

        Returns:
            Whether another attempt may be made.
        """
        if not replayable or now >= self.deadline:
            return False
        if not self.retries_left or failure.code not in RETRIED:
            return False
        # A non-idempotent request that may have run is never sent again.
        if failure.outcome is not Outcome.not_run and not self.idempotent:
            return False
        if failure.code not in STEERED and not self.budget.spend():
            return False
        self.retries_left -= 1
        return True

    def may_ask_elsewhere(self, failure: CallFailed, *, now: float) -> bool:
        """Decide after an owner refused the call unrun.

        No backend server has seen the request, so asking another owner
        repeats nothing and costs no retry.

        Args:
            failure: the refusal.
            now: seconds.

        Returns:
            Whether another owner may be asked.
        """
        unrun = failure.outcome is Outcome.not_run
        if not unrun or failure.code not in BY_OWNER or now >= self.deadline:
            return False
        if not self.refusals_left:
            return False
        self.refusals_left -= 1
        return True

    def may_hedge(self, at: float) -> bool:
        """Decide whether a second attempt may be begun beside the first.

        Args:
            at: when it would begin, seconds.

        Returns:
            Whether the call may be run twice and there is time for it.
        """
        left = self.retries_left > 0
        return self.idempotent and left and at < self.deadline


def conclude(failure: CallFailed, *, idempotent: bool) -> Code:
    """Find the code that the caller is given in the end.

    Args:
        failure: of the last attempt.
        idempotent: whether running it twice does no harm.

    Returns:
        ``outcome_unknown`` where a non-idempotent request may have run.
    """
    lost = failure.outcome is Outcome.unknown and failure.code in RETRIED
    return Code.outcome_unknown if lost and not idempotent else failure.code
