"""Keeps a request with an ``Idempotency-Key`` from running twice."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.admission.replay_cache import KeyState, StoredAnswer
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.http.heads import IDEMPOTENCY_KEY_HEADER
from wagtaildale.errors.codes import Code
from wagtaildale.types import Outcome

if TYPE_CHECKING:
    from wagtaildale.admission.replay_cache import ReplayCache
    from wagtaildale.calls.wire.frames import Run

REPLAYED_HEADER: Final = (b'idempotency-replayed', b'true')


class IdempotencyGuard:
    """Guards a non-idempotent request by its key; ignores any other.

    A repeat of the key that reaches another owner is not detected.
    """

    def __init__(self, run: Run, replays: ReplayCache) -> None:
        """Read the key of the request.

        Args:
            run: run message with the request.
            replays: answers that the owner has stored by key.
        """
        self._replays = replays
        self._key = None if run.fields.idempotent else _read_key(run)

    def begin(self) -> StoredAnswer | None:
        """Register the request under its key.

        Returns:
            The stored answer for the key; None if the request has to run.

        Raises:
            CallFailed: if the first request with the key is still running,
                or if its answer is not stored.
        """
        if self._key is None:
            return None
        entry = self._replays.begin(self._key)
        if entry.state is KeyState.fresh:
            return None
        # Only the first request with the key may update its entry.
        self._key = None
        if entry.answer is None:
            raise CallFailed(Code.key_repeated, outcome=Outcome.unknown)
        return entry.answer

    def settle(self, answer: StoredAnswer | None) -> None:
        """Store the outcome for the key after its request ran or may have.

        Args:
            answer: answer to store; None if none arrived, or if it is too
                large to store.
        """
        if self._key is not None:
            self._replays.store(self._key, answer)

    def forget(self) -> None:
        """Remove the key, because its request did not run."""
        if self._key is not None:
            self._replays.forget(self._key)


def _read_key(run: Run) -> str | None:
    for name, text in run.headers:
        if name == IDEMPOTENCY_KEY_HEADER:
            # The key includes method and target, because the same key for
            # another target denotes another request.
            return f'{run.method!r} {run.target!r} {text!r}'
    return None
