"""Runs a request with an ``Idempotency-Key`` once, as far as can be known."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol

from wagtaildale.admission.replays import KeptAnswer, KeyState, Replays
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.heads import (
    CLOSE,
    KEY_FIELD,
    pass_on,
    write_response_head,
)
from wagtaildale.errors.codes import Code
from wagtaildale.types import Outcome

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from wagtaildale.calls.connections import Connection
    from wagtaildale.calls.exchange import Call
    from wagtaildale.calls.parsing import Header
    from wagtaildale.calls.responses import Response

REPLAYED: Final = (b'idempotency-replayed', b'true')


class Deliverable(Protocol):
    """A response that can be passed on."""

    def write_to(
        self,
        sink: Connection,
        *,
        extra: Sequence[Header],
        deadline: float,
    ) -> None:
        """Send the response on.

        Args:
            sink: to whoever asked.
            extra: headers that this hop adds.
            deadline: seconds on the clock.
        """


class KeptResponse:
    """An answer from before, given again."""

    def __init__(self, kept: KeptAnswer) -> None:
        """Take the answer.

        Args:
            kept: with the key.
        """
        self._kept = kept

    def write_to(
        self,
        sink: Connection,
        *,
        extra: Sequence[Header],
        deadline: float,
    ) -> None:
        """Send the answer again; see ``Deliverable``.

        Args:
            sink: to whoever asked.
            extra: headers that this hop adds.
            deadline: seconds on the clock.
        """
        kept = self._kept
        length = (b'content-length', b'%d' % len(kept.body))
        headers = [*kept.headers, length, REPLAYED, *extra]
        if sink.closing:
            headers.append(CLOSE)
        head = write_response_head(kept.status, headers=headers)
        sink.send(head + kept.body, deadline=deadline)


class KeyedRuns:
    """The keys of one owner."""

    def __init__(self) -> None:
        """Begin with none."""
        self._replays = Replays()

    def run(
        self,
        call: Call,
        *,
        work: Callable[[], Response],
        replay: Callable[[Deliverable], None],
    ) -> None:
        """Run a request, or answer it from before.

        Args:
            call: the request.
            work: runs it and delivers its response.
            replay: delivers an answer from before.

        Raises:
            CallFailed: as ``work`` does; ``key_repeated`` while the first
                request with the key runs, or when its answer is not kept.
        """
        key = _find_key(call)
        if key is None:
            work()
            return
        entry = self._replays.begin(key)
        if entry.state is KeyState.fresh:
            self._run_first(key, work)
        elif entry.answer is None:
            raise CallFailed(Code.key_repeated, outcome=Outcome.unknown)
        else:
            replay(KeptResponse(entry.answer))

    def _run_first(self, key: str, work: Callable[[], Response]) -> None:
        try:
            response = work()
        except CallFailed as failure:
            if failure.outcome is Outcome.not_run:
                self._replays.forget(key)
            else:
                self._replays.keep(key, None)
            raise
        self._replays.keep(key, _keep(response))


def _find_key(call: Call) -> str | None:
    for name, text in call.headers:
        if name == KEY_FIELD:
            # One key names one request: the same key for another target is
            # another request.
            return f'{call.method!r} {call.target!r} {text!r}'
    return None


def _keep(response: Response) -> KeptAnswer | None:
    if not response.is_whole:
        return None
    return KeptAnswer(
        status=response.message.status,
        headers=tuple(pass_on(response.message)),
        body=response.body,
    )
