"""Decides whether a call that failed is tried again."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct, field

from wagtaildale.errors.codes import Code
from wagtaildale.types import InstanceId, Outcome

if TYPE_CHECKING:
    from wagtaildale.calls.failures import CallFailed

ATTEMPTS_MOST: Final = 4
BUDGET_SHARE: Final = 0.2
BUDGET_MOST: Final = 20.0
# Refusals that cost the upstream nothing: the call is only steered elsewhere.
STEERED: Final = frozenset(
    (
        Code.wrong_instance,
        Code.draining,
        Code.backend_unreachable,
    ),
)
RETRIED: Final = STEERED | frozenset(
    (
        Code.overloaded,
        Code.backend_cut,
        Code.answer_mismatched,
        Code.timed_out,
    ),
)


class RetryBudget(Struct, kw_only=True):
    """Retries that may be spent: a share of the fresh calls.

    Failure guarded here: a brownout makes calls fail, the retries double
    the load and the brownout. The guard holds since over time there are
    never more retries than ``BUDGET_SHARE`` of the calls.

    Attributes:
        tokens: retries that may be spent now.
    """

    tokens: float = BUDGET_MOST

    def earn(self) -> None:
        """Count a fresh call."""
        self.tokens = min(BUDGET_MOST, self.tokens + BUDGET_SHARE)

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
        tried: the upstreams that attempts went to.
    """

    idempotent: bool
    deadline: float
    budget: RetryBudget
    tried: list[InstanceId] = field(default_factory=list)

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
        if len(self.tried) >= ATTEMPTS_MOST or failure.code not in RETRIED:
            return False
        # A non-idempotent request that may have run is never sent again.
        if failure.outcome is not Outcome.not_run and not self.idempotent:
            return False
        return failure.code in STEERED or self.budget.spend()


def conclude(failure: CallFailed, *, idempotent: bool) -> Code:
    """Find the code that the caller is given in the end.

    Args:
        failure: of the last attempt.
        idempotent: whether running it twice does no harm.

    Returns:
        ``outcome_unknown`` where a non-idempotent request may have run.
    """
    if failure.outcome is Outcome.unknown and not idempotent:
        return Code.outcome_unknown
    return failure.code
