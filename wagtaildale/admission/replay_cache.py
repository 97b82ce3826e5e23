"""Stores responses for callers that repeat an ``Idempotency-Key``.

A response is replayed only while this process runs, has room for it, and
receives the repeated request. No state is shared between nodes, so there is
no stronger guarantee; see docs/operators/idempotency-keys.md.
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
    """State of a key."""

    fresh = 'fresh'
    running = 'running'
    answered = 'answered'


class StoredAnswer(Struct, frozen=True, kw_only=True):
    """A stored response of the backend server.

    Attributes:
        status: HTTP status.
        headers: header fields that were sent to the caller.
        body: the whole body.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class KeyEntry(Struct, frozen=True, kw_only=True):
    """State of a key, and the response to its request if it is stored."""

    state: KeyState
    answer: StoredAnswer | None = None


class ReplayCache:
    """The latest keys seen by one owner, with their responses.

    Example:
        >>> replays = ReplayCache()
        >>> replays.begin('k').state is KeyState.fresh
        True
        >>> replays.begin('k').state is KeyState.running
        True
    """

    def __init__(self) -> None:
        """Create an empty cache."""
        self._entries: OrderedDict[str, KeyEntry] = OrderedDict()

    def begin(self, key: str) -> KeyEntry:
        """Start a request with a key.

        Args:
            key: key that identifies the caller's request.

        Returns:
            The key's entry before this call. If it is ``fresh``, the request
            may run, and the key counts as ``running`` from now on.
        """
        known = self._entries.get(key)
        if known is not None:
            return known
        self._entries[key] = KeyEntry(state=KeyState.running)
        if len(self._entries) > MAX_KEYS:
            self._entries.popitem(last=False)
        return KeyEntry(state=KeyState.fresh)

    def store(self, key: str, answer: StoredAnswer | None) -> None:
        """Store the response to a request that ran.

        Args:
            key: key that identifies the caller's request.
            answer: the response; None if it is too large to store.
        """
        entry = KeyEntry(state=KeyState.answered, answer=answer)
        self._entries[key] = entry

    def forget(self, key: str) -> None:
        """Remove a key whose request did not run.

        Args:
            key: key that identifies the caller's request.
        """
        self._entries.pop(key, None)
