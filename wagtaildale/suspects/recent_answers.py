"""Tracks the requests that a backend server has recently answered.

When a server ends, all requests that it ran are suspects. Without this
record, a popular lookup among them would be held back on every node, though
the server had just answered it, and a thousand times before.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from wagtaildale.suspects.fingerprints import Fingerprint

# About ten seconds of a busy server, in which a popular request recurs.
MAX_ANSWERS: Final = 2048


class RecentAnswers:
    """The latest answered requests of a backend server, until it restarts."""

    def __init__(self) -> None:
        """Create an empty record."""
        self._kept: dict[Fingerprint, None] = {}

    def note(self, fingerprint: Fingerprint) -> None:
        """Record a request that was answered.

        Args:
            fingerprint: fingerprint of the request.
        """
        self._kept.pop(fingerprint, None)
        self._kept[fingerprint] = None
        if len(self._kept) > MAX_ANSWERS:
            self._kept.pop(next(iter(self._kept)))

    def has(self, fingerprint: Fingerprint) -> bool:
        """Tell whether a request was recently answered.

        Args:
            fingerprint: fingerprint of the request.

        Returns:
            Whether it is among the latest answered requests.
        """
        return fingerprint in self._kept

    def forget(self) -> None:
        """Clear the record after a restart, maybe to another version."""
        self._kept.clear()
