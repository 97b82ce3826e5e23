"""The entry: takes a caller's request to an upstream of its class."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtaildale.calls.answers import send_problem
from wagtaildale.calls.attempt import Attempter
from wagtaildale.calls.attempts import Attempts, RetryBudget, conclude
from wagtaildale.calls.connections import Connection, Pool
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.report import CallReport
from wagtaildale.calls.routed import EntryParts, Routed, route_call
from wagtaildale.errors.codes import Code
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from wagtaildale.calls.parsing import Message
    from wagtaildale.types import ServiceName


class Entry:
    """Answers callers' requests."""

    def __init__(self, parts: EntryParts) -> None:
        """Prepare.

        Args:
            parts: of the node.
        """
        self._parts = parts
        self._attempter = Attempter(parts, pool=Pool())
        self._budgets: dict[ServiceName, RetryBudget] = {}

    def answer(self, caller: Connection, message: Message) -> None:
        """Answer one request, by an upstream's response or a failure.

        Args:
            caller: on which the request came.
            message: the request, its body perhaps still coming.

        Raises:
            CallFailed: when the caller is gone.
            StreamCut: when the response broke after its head was sent.
        """
        report = CallReport(self._parts.tallies, self._parts.recorder)
        try:
            self._serve(caller, message, report)
        except CallFailed as failure:
            report.note_failure(failure)
            if failure.code is Code.caller_gone:
                raise
            # What is left of the body was not read: nothing more can be
            # understood on this connection.
            caller.closing = caller.closing or not message.is_complete
            send_problem(
                caller,
                failure=failure,
                extra=report.describe(),
                method=message.method,
            )

    def _serve(
        self,
        caller: Connection,
        message: Message,
        report: CallReport,
    ) -> None:
        routed = route_call(
            self._parts,
            caller=caller,
            message=message,
            report=report,
        )
        match = routed.match
        budget = self._budgets.setdefault(match.service, RetryBudget())
        budget.earn()
        attempts = Attempts(
            idempotent=match.work_class.idempotent,
            deadline=routed.call.deadline,
            budget=budget,
            retries_left=routed.retries,
        )
        done = False
        while not done:
            done = self._try_once(routed, attempts)

    def _try_once(self, routed: Routed, attempts: Attempts) -> bool:
        try:
            self._attempter.attempt(routed, attempts)
        except CallFailed as failure:
            if attempts.may_retry(
                failure,
                now=read_clock(),
                replayable=routed.call.body.is_replayable,
            ):
                routed.report.note_retry(failure)
                return False
            idempotent = attempts.idempotent
            failure.code = conclude(failure, idempotent=idempotent)
            raise
        return True
