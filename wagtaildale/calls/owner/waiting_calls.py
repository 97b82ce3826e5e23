"""Refuses calls that wait at an owner as soon as their server leaves."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from wagtaildale.calls.failures import CallFailed

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.calls.wire.fields import CallFields


class WaitingCall(Protocol):
    """A call that has not been sent to the backend server."""

    @property
    def fields(self) -> CallFields:
        """Fields of the call."""

    def refuse(self, failure: CallFailed) -> None:
        """End the call as not run.

        Args:
            failure: cause of the refusal.
        """


class WaitingCalls:
    """Calls that wait for a slot or for the rest of their body."""

    def __init__(self, check: Callable[[CallFields], None]) -> None:
        """Start without calls.

        Args:
            check: raises ``CallFailed`` if the server would not run a call
                with these fields now.
        """
        self._check = check
        self._calls: set[WaitingCall] = set()

    def add(self, call: WaitingCall) -> None:
        """Add a call that waits from now on.

        Args:
            call: the call.
        """
        self._calls.add(call)

    def discard(self, call: WaitingCall) -> None:
        """Remove a call that has ended or got a slot.

        Args:
            call: the call.
        """
        self._calls.discard(call)

    def review(self) -> None:
        """Refuse the calls whose server would no longer run them.

        At the end of their wait they would be refused all the same, with too
        little time left for another server.
        """
        for call in tuple(self._calls):
            try:
                self._check(call.fields)
            except CallFailed as failure:
                call.refuse(failure)
