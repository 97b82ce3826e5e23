"""How a call fails inside a node, until it becomes an answer.

On the path of calls a failure may come from any of a dozen socket calls.
One exception type carries the numbered code up to the one place that turns
it into an answer; a ``Result`` from each socket call would cost more than
the call itself there.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtaildale.types import Outcome

if TYPE_CHECKING:
    from wagtaildale.errors.codes import Code
    from wagtaildale.telemetry.events import Inputs


class CallFailed(Exception):
    """A call cannot go on.

    Attributes:
        code: the numbered result code.
        outcome: what the caller may conclude.
        detail: anything more, for a person.
        retry_after: seconds after which asking again is worth it, if known.
        has_arrived: whether a backend server got the request and turned it
            away.
        ends: servers that ended under the request, one after the other.
    """

    def __init__(
        self,
        code: Code,
        *,
        outcome: Outcome = Outcome.not_run,
        detail: str = '',
        retry_after: float = 0,
        has_arrived: bool = False,
    ) -> None:
        """Say why.

        Args:
            code: the numbered result code.
            outcome: what the caller may conclude.
            detail: anything more, for a person.
            retry_after: seconds after which asking again is worth it.
            has_arrived: whether a backend server turned the request away.
        """
        super().__init__(code.name)
        self.code = code
        self.outcome = outcome
        self.detail = detail
        self.retry_after = retry_after
        self.has_arrived = has_arrived
        self.ends = 0

    def describe_ends(self) -> Inputs:
        """Describe for the log how many servers ended under the request.

        Returns:
            Nothing where none did.
        """
        return {'ends': self.ends} if self.ends else {}
