"""Answers that are kept for callers who repeat an ``Idempotency-Key``.

What this promises is in docs/operators/idempotency-keys.md: as long as this
process lives, has room, and the repeat reaches it. There is no shared state
that could promise more.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from typing import Final, final

from msgspec import Struct

MAX_KEYS: Final = 1024
MAX_ANSWER_BYTES: Final = 65_536


@final
class KeyState(Enum):
    """What is known of a key."""

    fresh = 'fresh'
    running = 'running'
    answered = 'answered'


class StoredAnswer(Struct, frozen=True, kw_only=True):
    """An answer of the backend server.

    Attributes:
        status: HTTP status.
        headers: those that went on.
        body: all of it.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class KeyEntry(Struct, frozen=True, kw_only=True):
    """A key and what became of its request."""

    state: KeyState
    answer: StoredAnswer | None = None


class ReplayCache:
    """Keys seen by one owner, the latest ones.

    Example:
        >>> replays = ReplayCache()
        >>> replays.begin('k').state is KeyState.fresh
        True
        >>> replays.begin('k').state is KeyState.running
        True
    """

    def __init__(self) -> None:
        """Begin with no key."""
        self._entries: OrderedDict[str, KeyEntry] = OrderedDict()

    def begin(self, key: str) -> KeyEntry:
        """Begin a request with a key.

        Args:
            key: the caller's.

        Returns:
            What is known of the key; ``fresh`` means that it may run, and
            it counts as running from here on.
        """
        known = self._entries.get(key)
        if known is not None:
            return known
        self._entries[key] = KeyEntry(state=KeyState.running)
        if len(self._entries) > MAX_KEYS:
            self._entries.popitem(last=False)
        return KeyEntry(state=KeyState.fresh)

    def store(self, key: str, answer: StoredAnswer | None) -> None:
        """Keep the answer of a request that ran.

        Args:
            key: the caller's.
            answer: nothing if it was too large to keep.
        """
        entry = KeyEntry(state=KeyState.answered, answer=answer)
        self._entries[key] = entry

    def forget(self, key: str) -> None:
        """Forget a key whose request did not run.

        Args:
            key: the caller's.
        """
        self._entries.pop(key, None)
