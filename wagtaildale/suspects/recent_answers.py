"""Requests that a server has answered of late.

Failure guarded here: a server ends under one request, and a popular lookup
that ran beside it is held back everywhere, though it was answered a moment
ago and a thousand times before.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from wagtaildale.suspects.fingerprints import Fingerprint

# Some ten seconds of a busy server; what is popular came again within these.
MAX_ANSWERS: Final = 2048


class RecentAnswers:
    """The latest of them, of one start of a server."""

    def __init__(self) -> None:
        """Begin with none."""
        self._kept: dict[Fingerprint, None] = {}

    def note(self, fingerprint: Fingerprint) -> None:
        """Note a request that was answered.

        Args:
            fingerprint: fingerprint of the request.
        """
        self._kept.pop(fingerprint, None)
        self._kept[fingerprint] = None
        if len(self._kept) > MAX_ANSWERS:
            self._kept.pop(next(iter(self._kept)))

    def has(self, fingerprint: Fingerprint) -> bool:
        """Tell whether a request was answered.

        Args:
            fingerprint: fingerprint of the request.

        Returns:
            Whether it is among the latest.
        """
        return fingerprint in self._kept

    def forget(self) -> None:
        """Forget all: the server starts anew, perhaps as a later version."""
        self._kept.clear()
