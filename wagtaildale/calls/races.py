"""Attempts under way, and the race of two for one idempotent request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct, structs

from wagtaildale.calls.exchange import Call, Exchange, wait_for_one
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.fields import CALL_FIELD, write_call
from wagtaildale.calls.targets import Target, Targets

if TYPE_CHECKING:
    from wagtaildale.calls.attempts import Attempts
    from wagtaildale.calls.connections import Pool
    from wagtaildale.calls.routed import Routed


class Flight(Struct, frozen=True, kw_only=True):
    """An attempt that was sent.

    Attributes:
        sent: the request.
        target: where it went.
        is_ready: whether its answer has begun to come.
    """

    sent: Exchange
    target: Target
    is_ready: bool = False


class Racer:
    """Sends attempts, and a second one beside a slow first."""

    def __init__(self, targets: Targets, *, pool: Pool) -> None:
        """Prepare.

        Args:
            targets: chooses where a second attempt goes.
            pool: idle connections to other owners.
        """
        self._targets = targets
        self._pool = pool

    def begin(self, call: Call, target: Target) -> Flight:
        """Send one attempt.

        Args:
            call: the request.
            target: where it goes.

        Returns:
            The attempt under way.

        Raises:
            CallFailed: with outcome ``not_run`` if nothing was sent.
        """
        sent = Exchange(
            call,
            pool=self._pool,
            address=target.address,
            extra=((CALL_FIELD, write_call(target.fields)),),
        )
        return Flight(sent=sent, target=target)

    def race(
        self,
        routed: Routed,
        first: Flight,
        *,
        attempts: Attempts,
        until: float,
    ) -> Flight:
        """Wait for the first attempt; begin a second if it is slow.

        Args:
            routed: the call.
            first: sent already.
            attempts: of the call; a second one is added.
            until: when the first counts as slow, seconds on the clock.

        Returns:
            The one to finish; the other is cancelled.

        Raises:
            CallFailed: when the caller has hung up.
        """
        caller = routed.call.caller
        try:
            wait_for_one((first.sent,), caller=caller, deadline=until)
        except TimeoutError:
            return self._hedge(routed, first, attempts)
        except CallFailed:
            first.sent.cancel()
            raise
        return structs.replace(first, is_ready=True)

    def _hedge(
        self,
        routed: Routed,
        first: Flight,
        attempts: Attempts,
    ) -> Flight:
        if not attempts.budget.spend():
            return first
        try:
            second = self._begin_next(routed, attempts)
        except CallFailed:
            return first
        routed.report.note_hedge()
        return self._await_first(routed, (first, second))

    def _begin_next(self, routed: Routed, attempts: Attempts) -> Flight:
        target = self._targets.pick(routed, attempts)
        return self.begin(routed.call, target)

    def _await_first(
        self,
        routed: Routed,
        flights: tuple[Flight, Flight],
    ) -> Flight:
        by_exchange = {id(flight.sent): flight for flight in flights}
        try:
            winner = wait_for_one(
                [flight.sent for flight in flights],
                caller=routed.call.caller,
                deadline=routed.call.deadline,
            )
        except (CallFailed, TimeoutError):
            winner = flights[0].sent
        for number, flight in by_exchange.items():
            if number != id(winner):
                flight.sent.cancel()
        return by_exchange[id(winner)]
