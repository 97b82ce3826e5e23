"""Records which non-idempotent requests have run at this owner."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from wagtaildale.types import RequestId

MAX_REQUESTS: Final = 65_536


class RunLedger:
    """Ids of the latest non-idempotent requests that were run.

    Example:
        >>> ledger = RunLedger()
        >>> ledger.note_run('a'), ledger.note_run('a')
        (True, False)
    """

    def __init__(self) -> None:
        """Create an empty ledger."""
        self._runs: OrderedDict[RequestId, None] = OrderedDict()

    def note_run(self, request_id: RequestId) -> bool:
        """Record that a request is about to run.

        Args:
            request_id: identifies the request; 128 random bits.

        Returns:
            Whether it runs for the first time; if not, it must not run.
        """
        if request_id in self._runs:
            return False
        self._runs[request_id] = None
        if len(self._runs) > MAX_REQUESTS:
            self._runs.popitem(last=False)
        return True

    def forget(self, request_id: RequestId) -> None:
        """Remove a request that was recorded but did not run.

        Args:
            request_id: identifies a request whose refusal says "not run".
        """
        self._runs.pop(request_id, None)
