"""The history of the platform's store."""

from __future__ import annotations

from typing import Any, Final

from harness.record import read_clock

FIRST_REVISION: Final = 1
# `historyS` of the settings.
HISTORY_SECONDS: Final = 20


class History:
    """All changes by revision; those of the last seconds can be watched."""

    def __init__(self) -> None:
        self._events: list[dict[str, Any]] = []
        self._times: list[float] = []

    @property
    def revision(self) -> int:
        """Revision of the last change."""
        return len(self._events)

    @property
    def next_revision(self) -> int:
        """Revision of the next change."""
        return FIRST_REVISION + len(self._events)

    def append(self, event: dict[str, Any]) -> None:
        """Add a change."""
        self._events.append(event)
        self._times.append(read_clock())

    def is_dropped(self, after: int) -> bool:
        """Tell whether changes after a revision are no longer available."""
        kept_since = read_clock() - HISTORY_SECONDS
        return after < len(self._times) and self._times[after] < kept_since

    def find(self, prefix: str, after: int) -> list[dict[str, Any]]:
        """Return the changes after a revision."""
        return [
            event
            for event in self._events[after:]
            if event['key'].startswith(prefix)
        ]
