"""Decides whether a call that failed is tried again."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Final, final

from msgspec import Struct, field

from wagtaildale.calls.budgets import RetryBudget
from wagtaildale.errors.codes import Code
from wagtaildale.routing.table import DEFAULT_RETRIES
from wagtaildale.suspects.records import TRIAL_ENDS
from wagtaildale.types import InstanceId, Outcome

if TYPE_CHECKING:
    from wagtaildale.calls.failures import CallFailed

# Upstreams that a call may be refused by, unrun, before it waits at one: with
# the least loaded asked first, a third one seldom has room.
REFUSALS_MOST: Final = 2
# What may be met by any upstream of a sound service: the call is only steered
# elsewhere.
STEERED: Final = frozenset(
    (
        Code.wrong_instance,
        Code.draining,
        Code.backend_unreachable,
        Code.lease_ended,
        Code.peer_lost,
        Code.request_on_trial,
    ),
)
RETRIED: Final = STEERED | frozenset(
    (
        Code.overloaded,
        Code.backend_shed,
        Code.backend_cut,
        Code.backend_ended,
        Code.answer_mismatched,
        Code.timed_out,
        Code.service_error,
    ),
)
# Refusals by the owner itself: nothing has reached a backend server.
BY_OWNER: Final = STEERED | {Code.overloaded, Code.rate_limited}


@final
class Obstacle(Enum):
    """Why a call that failed is not tried again."""

    none = ''
    body_given = 'body-given'
    past_deadline = 'past-deadline'
    final_failure = 'final-failure'
    may_have_run = 'may-have-run'
    no_retries_left = 'no-retries-left'
    budget_spent = 'budget-spent'
    ends_servers = 'ends-servers'


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
        was_limited: whether one refused for the rate that its server names.
        obstacle: why the last failure was not retried.
        ends: servers that ended under the request, one after the other.
    """

    idempotent: bool
    deadline: float
    budget: RetryBudget
    retries_left: int = DEFAULT_RETRIES
    refusals_left: int = REFUSALS_MOST
    tried: list[InstanceId] = field(default_factory=list)
    busy: list[InstanceId] = field(default_factory=list)
    was_limited: bool = False
    obstacle: Obstacle = Obstacle.none
    ends: int = 0

    def note_refusal(self, instance: InstanceId, code: Code) -> None:
        """Note who refused the call for want of room.

        Args:
            instance: that was asked.
            code: why it did not answer.
        """
        if code is Code.overloaded:
            self.busy.append(instance)
        elif code is Code.rate_limited:
            self.was_limited = True

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
        self.obstacle = self._find_obstacle(
            failure,
            now=now,
            replayable=replayable,
        )
        if self.obstacle is not Obstacle.none:
            return False
        if _has_arrived(failure) and not self.budget.spend(now=now):
            self.obstacle = Obstacle.budget_spent
            return False
        self.retries_left -= 1
        return True

    def may_ask_elsewhere(self, failure: CallFailed, *, now: float) -> bool:
        """Decide after an owner refused the call unrun.

        Where no backend server has seen the request, asking another owner
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
        # Failure: servers that were replaced turn away what names those
        # before them, and each request is taken to every one of them.
        if failure.has_arrived or not self.refusals_left:
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
        left = self.retries_left > 0 and not self.ends
        return self.idempotent and left and at < self.deadline

    def take_hedge(self, *, now: float) -> bool:
        """Take a second attempt beside the first, if one may be begun now.

        Args:
            now: seconds.

        Returns:
            Whether it may; a retry and a repeat of the budget are spent.
        """
        # Failure: retries are spent while a silent attempt goes on, its
        # hedge comes due, and more upstreams are asked than the route allows.
        if not self.may_hedge(now) or not self.budget.spend(now=now):
            return False
        self.retries_left -= 1
        return True

    def _find_obstacle(
        self,
        failure: CallFailed,
        *,
        now: float,
        replayable: bool,
    ) -> Obstacle:
        ran = failure.outcome is not Outcome.not_run
        checks = (
            (not replayable, Obstacle.body_given),
            (now >= self.deadline, Obstacle.past_deadline),
            (failure.code not in RETRIED, Obstacle.final_failure),
            # A non-idempotent request that may have run is never sent again.
            (ran and not self.idempotent, Obstacle.may_have_run),
            # Failure: a request ends every server that runs it, and is
            # taken to the next one before anybody has heard of it.
            (self.ends >= TRIAL_ENDS, Obstacle.ends_servers),
            (not self.retries_left, Obstacle.no_retries_left),
        )
        stand = (obstacle for stands, obstacle in checks if stands)
        return next(stand, Obstacle.none)


def _has_arrived(failure: CallFailed) -> bool:
    # A backend server that got the request and turned it away has had the
    # work of it, and operators count it.
    unrun = failure.outcome is Outcome.not_run
    return failure.has_arrived or not unrun or failure.code not in STEERED


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
