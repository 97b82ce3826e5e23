"""Decides whether a failed call is retried, redirected or hedged."""

from __future__ import annotations

from enum import Enum
from math import inf
from typing import TYPE_CHECKING, Final, final

from msgspec import Struct, field

from wagtaildale.calls.entry.budgets import RetryBudget
from wagtaildale.errors.codes import Code
from wagtaildale.routing.table import DEFAULT_RETRIES
from wagtaildale.suspects.records import TRIAL_ENDS
from wagtaildale.types import InstanceId, Outcome

if TYPE_CHECKING:
    from wagtaildale.calls.failures import CallFailed

# Upstreams that may reject a call before it waits at one of them. Attempts go
# to the least loaded upstream first, so a third one rarely has a free slot.
MAX_REJECTIONS: Final = 2
# Failures that also occur in a healthy service; the call is redirected to
# another upstream.
REDIRECTED_CODES: Final = frozenset(
    (
        Code.wrong_instance,
        Code.draining,
        Code.evacuated,
        Code.backend_unreachable,
        Code.lease_ended,
        Code.peer_lost,
        Code.request_on_trial,
    ),
)
RETRYABLE_CODES: Final = REDIRECTED_CODES | frozenset(
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
# Rejections by the owner itself: no backend server received the request.
OWNER_REJECTION_CODES: Final = REDIRECTED_CODES | {
    Code.overloaded,
    Code.rate_limited,
    Code.stopping,
}


@final
class Obstacle(Enum):
    """Reason why a failed call is not retried.

    Attributes:
        none: the call is retried, or has not failed.
        body_given: the body was streamed and cannot be sent again.
        past_deadline: the deadline of the call has passed.
        final_failure: the result code does not allow a retry.
        may_have_run: the request is not idempotent and may have run.
        no_retries_left: the call has used up its retries.
        budget_spent: the retry budget of the service is used up.
        ends_servers: several servers crashed while running the request.
        stopping: the node ends before the answer of another attempt could be
            there.
    """

    none = ''
    body_given = 'body-given'
    past_deadline = 'past-deadline'
    final_failure = 'final-failure'
    may_have_run = 'may-have-run'
    no_retries_left = 'no-retries-left'
    budget_spent = 'budget-spent'
    ends_servers = 'ends-servers'
    stopping = 'stopping'


class Attempts(Struct, kw_only=True):
    """The attempts of one call and the limits on further ones.

    Attributes:
        idempotent: whether the request may safely run more than once.
        deadline: time at which the call fails, seconds on the monotonic
            clock.
        budget: retry budget of the service.
        retries_left: attempts beyond the first that are left to the call and
            to the calls that it causes downstream.
        rejections_left: number of upstreams that may still reject the call
            before it waits at one of them.
        tried: upstreams that attempts were sent to, in order, without those
            that had no free slot.
        refused_slots: upstreams that were asked for a free slot and had none.
        overloaded: upstreams of these that rejected the call because they were
            overloaded.
        was_rate_limited: whether an upstream rejected the call because of its
            server's rate limit.
        obstacle: reason why the last failure was not retried.
        crash_count: number of servers that crashed in succession while
            running the request.
        body_bytes: size of the request's body; 0 if it is not known.
        is_bulk: whether the responses of its class are large.
        latest_start: time after which no attempt may start, since the answer
            would come after the end of this process, seconds.
    """

    idempotent: bool
    deadline: float
    budget: RetryBudget
    retries_left: int = DEFAULT_RETRIES
    rejections_left: int = MAX_REJECTIONS
    tried: list[InstanceId] = field(default_factory=list)
    refused_slots: list[InstanceId] = field(default_factory=list)
    overloaded: list[InstanceId] = field(default_factory=list)
    was_rate_limited: bool = False
    obstacle: Obstacle = Obstacle.none
    crash_count: int = 0
    body_bytes: int = 0
    is_bulk: bool = False
    latest_start: float = inf

    @property
    def sent_count(self) -> int:
        """Number of attempts that were sent."""
        return len(self.tried) + len(self.refused_slots)

    def is_too_late(self, at: float) -> bool:
        """Check whether an attempt would start too late for its answer.

        Args:
            at: time at which it would start, seconds.

        Returns:
            Whether the deadline has passed then, or the process would end
            before the answer.
        """
        return at >= self.deadline or at > self.latest_start

    def try_after_missing_slot(
        self, failure: CallFailed, *, instance: InstanceId, now: float
    ) -> bool:
        """Allow another attempt if an upstream had no free slot.

        The upstream was only asked: no server has received the request, and
        the upstream may still queue it. So this spends neither a retry, nor a
        token, nor one of the rejections.

        Args:
            failure: failure of an attempt that asked for a free slot.
            instance: upstream of that attempt.
            now: current time, seconds.

        Returns:
            Whether the failure is such a refusal and the call may be sent
            again. The upstream then no longer counts as tried.
        """
        if failure.code is not Code.overloaded or self.is_too_late(now):
            return False
        never_ran = failure.outcome is Outcome.not_run
        if not never_ran or failure.was_rejected_by_server:
            return False
        self.tried.remove(instance)
        self.refused_slots.append(instance)
        return True

    def note_rejection(self, instance: InstanceId, code: Code) -> None:
        """Record whether an upstream was overloaded or rate limited.

        Args:
            instance: upstream of the failed attempt.
            code: result code of the attempt.
        """
        if code is Code.overloaded:
            self.overloaded.append(instance)
        elif code is Code.rate_limited:
            self.was_rate_limited = True

    @property
    def may_ask_free_slot(self) -> bool:
        """Whether the next attempt may ask for a free slot.

        Retries queue, which bounds the number of messages of a call.
        """
        return not self.tried and not self.crash_count

    def list_excluded(
        self, *, asks_free_slot: bool = False
    ) -> frozenset[InstanceId]:
        """List the upstreams that the next attempt avoids.

        Args:
            asks_free_slot: whether the attempt asks for a free slot.

        Returns:
            Upstreams already tried, and those without a free slot if the
            attempt asks for one. Once no rejections are left, overloaded
            ones are allowed again: the request then waits at one of them.
        """
        if asks_free_slot:
            return frozenset(self.refused_slots)
        if self.rejections_left:
            return frozenset(self.tried)
        return frozenset(self.tried).difference(self.overloaded)

    def try_retry(
        self,
        failure: CallFailed,
        *,
        now: float,
        replayable: bool,
    ) -> bool:
        """Spend a retry after a failed attempt, if one is allowed.

        Sets ``obstacle``.

        Args:
            failure: failure of the attempt.
            now: current time, seconds.
            replayable: whether the request body can be sent again.

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
        if _costs_token(failure) and not self.budget.spend(now=now):
            self.obstacle = Obstacle.budget_spent
            return False
        self.retries_left -= 1
        return True

    def try_redirect(self, failure: CallFailed, *, now: float) -> bool:
        """Allow one redirect after an owner rejected the call, and count it.

        If no backend server received the request, sending it to another
        owner repeats no work and costs no retry.

        Args:
            failure: failure of the attempt.
            now: current time, seconds.

        Returns:
            Whether the call may be sent to another owner.
        """
        never_ran = failure.outcome is Outcome.not_run
        if (
            not never_ran
            or failure.code not in OWNER_REJECTION_CODES
            or self.is_too_late(now)
        ):
            return False
        # A replaced server rejects requests that name the instance before it.
        # If such requests were redirected, each could visit every upstream.
        if failure.was_rejected_by_server or not self.rejections_left:
            return False
        self.rejections_left -= 1
        return True

    def may_hedge(self, at: float) -> bool:
        """Check whether the call may be hedged.

        Args:
            at: time at which the hedge would start, seconds.

        Returns:
            Whether the request may run twice, a retry is left, no server is
            known to have crashed while running the request, and the hedge
            would not start too late. Large responses are never hedged:
            the second one takes the line's time from others.
        """
        is_allowed = self.retries_left > 0 and not self.crash_count
        if self.is_bulk:
            return False
        return self.idempotent and is_allowed and not self.is_too_late(at)

    def try_hedge(self, *, now: float) -> bool:
        """Spend a retry and a budget token on a hedge, if one is allowed.

        Args:
            now: current time, seconds.

        Returns:
            Whether the hedge may start.
        """
        # Checked again when the hedge is due: retries may have been spent
        # meanwhile on a silent attempt, and the hedge would then exceed the
        # route's limit on attempts.
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
        may_have_run = failure.outcome is not Outcome.not_run
        checks = (
            (not replayable, Obstacle.body_given),
            (now >= self.deadline, Obstacle.past_deadline),
            (self.is_too_late(now), Obstacle.stopping),
            (failure.code not in RETRYABLE_CODES, Obstacle.final_failure),
            # A non-idempotent request that may have run is never retried.
            (may_have_run and not self.idempotent, Obstacle.may_have_run),
            # Keeps a request that crashes every server that runs it from
            # being sent to the next one before other nodes know of it.
            (self.crash_count >= TRIAL_ENDS, Obstacle.ends_servers),
            (not self.retries_left, Obstacle.no_retries_left),
        )
        found = (obstacle for applies, obstacle in checks if applies)
        return next(found, Obstacle.none)


def _costs_token(failure: CallFailed) -> bool:
    # A backend server that received and rejected the request spent work on it,
    # so the operators' limit on retries covers the retry.
    never_ran = failure.outcome is Outcome.not_run
    return (
        failure.was_rejected_by_server
        or not never_ran
        or failure.code not in REDIRECTED_CODES
    )


def find_final_code(failure: CallFailed, *, idempotent: bool) -> Code:
    """Find the result code for the caller after the last attempt.

    Args:
        failure: failure of the last attempt.
        idempotent: whether the request may safely run more than once.

    Returns:
        ``outcome_unknown`` if a non-idempotent request may have run,
        otherwise the code of the failure.
    """
    may_have_run = (
        failure.outcome is Outcome.unknown and failure.code in RETRYABLE_CODES
    )
    return (
        Code.outcome_unknown
        if may_have_run and not idempotent
        else failure.code
    )
