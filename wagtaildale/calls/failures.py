"""The exception that carries a failed call's code to its response.

A call may fail in any of a dozen socket calls. One exception type carries the
numbered code to the one place that builds the response. Socket calls raise it
too, so that no ``Result`` is checked after each of them, which would cost more
than the call itself.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtaildale.admission.memory import MEMORY_RETRY_SECONDS
from wagtaildale.errors.codes import Code
from wagtaildale.types import Outcome

if TYPE_CHECKING:
    from wagtaildale.telemetry.events import Inputs


class CallFailed(Exception):
    """A call or one of its attempts failed.

    Attributes:
        code: numbered result code.
        outcome: whether the request ran, as far as is known.
        detail: further explanation for callers and operators.
        retry_after: seconds after which a retry may succeed; 0 if unknown.
        was_rejected_by_server: whether a backend server received the request
            and rejected it.
        crash_count: number of servers that crashed in succession while
            running the request.
    """

    def __init__(
        self,
        code: Code,
        *,
        outcome: Outcome = Outcome.not_run,
        detail: str = '',
        retry_after: float = 0,
        was_rejected_by_server: bool = False,
    ) -> None:
        """Create a failure.

        Args:
            code: numbered result code.
            outcome: whether the request ran, as far as is known.
            detail: further explanation for callers and operators.
            retry_after: seconds after which a retry may succeed; 0 if
                unknown.
            was_rejected_by_server: whether a backend server received the
                request and rejected it.
        """
        super().__init__(code.name)
        self.code = code
        self.outcome = outcome
        self.detail = detail
        self.retry_after = retry_after
        self.was_rejected_by_server = was_rejected_by_server
        self.crash_count = 0

    def describe_crashes(self) -> Inputs:
        """Return the number of servers that crashed, as event inputs.

        Returns:
            Inputs with the key ``ends``; empty if no server crashed while
            running the request.
        """
        return {'ends': self.crash_count} if self.crash_count else {}


def make_memory_failure(code: Code = Code.memory_full) -> CallFailed:
    """Make the failure of a request that the process has no memory for.

    Args:
        code: numbered result code.

    Returns:
        The failure, with outcome ``not_run``.
    """
    return CallFailed(
        code,
        detail='what is held for callers fills the memory',
        retry_after=MEMORY_RETRY_SECONDS,
    )
