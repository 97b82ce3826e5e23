"""Runs a request with an ``Idempotency-Key`` once, as far as can be known."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.admission.replay_cache import StoredAnswer, KeyState
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.heads import KEY_FIELD
from wagtaildale.errors.codes import Code
from wagtaildale.types import Outcome

if TYPE_CHECKING:
    from wagtaildale.admission.replay_cache import ReplayCache
    from wagtaildale.calls.frames import Run

REPLAYED: Final = (b'idempotency-replayed', b'true')


class KeyedRun:
    """The key of one request at its owner; without a key it does nothing."""

    def __init__(self, run: Run, replays: ReplayCache) -> None:
        """Look for the caller's key.

        Args:
            run: the request.
            replays: the owner's.
        """
        self._replays = replays
        self._key = None if run.fields.idempotent else _find_key(run)

    def begin(self) -> StoredAnswer | None:
        """Begin the request.

        Returns:
            The answer from before, if the key has one; else it is to run.

        Raises:
            CallFailed: while the first request with the key runs, or when
                its answer is not kept.
        """
        if self._key is None:
            return None
        entry = self._replays.begin(self._key)
        if entry.state is KeyState.fresh:
            return None
        # What is known of the key is the first request's to settle.
        self._key = None
        if entry.answer is None:
            raise CallFailed(Code.key_repeated, outcome=Outcome.unknown)
        return entry.answer

    def end(self, answer: StoredAnswer | None) -> None:
        """Settle the key after its request has run, or may have.

        Args:
            answer: nothing if none came, or it is too large to keep.
        """
        if self._key is not None:
            self._replays.store(self._key, answer)

    def forget(self) -> None:
        """Forget the key: its request did not run."""
        if self._key is not None:
            self._replays.forget(self._key)


def _find_key(run: Run) -> str | None:
    for name, text in run.headers:
        if name == KEY_FIELD:
            # One key names one request: the same key for another target is
            # another request.
            return f'{run.method!r} {run.target!r} {text!r}'
    return None
