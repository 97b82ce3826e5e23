"""Remembers which non-idempotent requests have run here."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from wagtaildale.types import RequestId

MAX_REQUESTS: Final = 65_536


class RunLedger:
    """The latest non-idempotent requests that were let through.

    Example:
        >>> ledger = RunLedger()
        >>> ledger.note_run('a'), ledger.note_run('a')
        (True, False)
    """

    def __init__(self) -> None:
        """Begin with none."""
        self._runs: OrderedDict[RequestId, None] = OrderedDict()

    def note_run(self, request_id: RequestId) -> bool:
        """Note that a request is about to run.

        Args:
            request_id: 128 random bits.

        Returns:
            Whether it is the first time; if not, it must not run.
        """
        if request_id in self._runs:
            return False
        self._runs[request_id] = None
        if len(self._runs) > MAX_REQUESTS:
            self._runs.popitem(last=False)
        return True

    def forget(self, request_id: RequestId) -> None:
        """Forget a request that was let through and yet did not run.

        Args:
            request_id: of a request whose refusal says "not run".
        """
        self._runs.pop(request_id, None)
