"""Tells a backend server that ended from a connection that did.

A server that ends closes every connection, and its port refuses new ones.
One that breaks off an answer, or resets what it has no room for, keeps the
others open.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.calls.port_probe import PortProbe, ProbeResult
from wagtaildale.telemetry.events import EventKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.calls.backend_pool import BackendPool
    from wagtaildale.suspects.answered import AnsweredLately
    from wagtaildale.suspects.board import SuspectBoard
    from wagtaildale.suspects.fingerprints import Fingerprint
    from wagtaildale.telemetry.events import EventRecorder
    from wagtaildale.types import InstanceId

# The connections of a process that ends close within a millisecond or so.
CLOSE_GRACE_SECONDS: Final = 0.003


class InterruptedRun(Struct, frozen=True, kw_only=True):
    """A run whose connection ended before its answer.

    Attributes:
        instance: that ran the request.
        fingerprint: of the request.
        ends: servers that had ended under it, one after the other, as far
            as was known when the run began.
        is_leaving: whether that instance was to end anyway.
        on_resolved: is told how many that makes now; 0 if the server lives.
    """

    instance: InstanceId
    fingerprint: Fingerprint
    ends: int
    is_leaving: bool
    on_resolved: Callable[[int], None]


class ServerEndDetector:
    """Finds out whether the backend server ended, for runs that were cut.

    Attributes:
        count: how often it did.
        listeners: are told when it did.
    """

    def __init__(
        self,
        board: SuspectBoard,
        *,
        node: InstanceId,
        answered: AnsweredLately,
        recorder: EventRecorder,
    ) -> None:
        """Prepare.

        Args:
            board: is told under which requests a server ended.
            node: beside the server.
            answered: those that did not end it a moment ago.
            recorder: gets an event when it did.
        """
        self.count = 0
        self.listeners: list[Callable[[], None]] = []
        self._board = board
        self._node = node
        self._answered = answered
        self._recorder = recorder
        self._held: list[InterruptedRun] = []

    def hold(self, run: InterruptedRun, *, pool: BackendPool) -> None:
        """Hold a run that was cut until it is known whether the server ended.

        Args:
            run: the run.
            pool: connections to the server.
        """
        self._held.append(run)
        if len(self._held) == 1:
            pool.loop.alarms.set(
                CLOSE_GRACE_SECONDS, partial(self._check_connections, pool)
            )

    def resolve(self, *, has_ended: bool) -> None:
        """End every run that is held.

        Args:
            has_ended: whether the server did.
        """
        held = self._held
        self._held = []
        if has_ended:
            for notify in self.listeners:
                notify()
        suspects = self._find_suspects(held) if has_ended else []
        for run in held:
            run.on_resolved(run.ends + 1 if run in suspects else 0)

    def _check_connections(self, pool: BackendPool) -> None:
        if pool.has_open_connection():
            self.resolve(has_ended=False)
        else:
            PortProbe(pool.loop, pool.address, on_result=self._handle_probe)

    def _was_answered_lately(self, run: InterruptedRun) -> bool:
        return not run.ends and self._answered.has(run.fingerprint)

    def _handle_probe(self, outcome: ProbeResult) -> None:
        # A port that is silent does not tell.
        self.resolve(has_ended=outcome is ProbeResult.refused)

    def _find_suspects(
        self, held: list[InterruptedRun]
    ) -> list[InterruptedRun]:
        # A server that leaves ends by itself, whatever it runs.
        ended = [run for run in held if not run.is_leaving]
        if not ended:
            return []
        self.count += 1
        suspects = [run for run in ended if not self._was_answered_lately(run)]
        self._answered.forget()
        self._record_ends(suspects or ended, is_known=bool(suspects))
        return suspects

    def _record_ends(
        self, suspects: list[InterruptedRun], *, is_known: bool
    ) -> None:
        # Where all that ran was answered a moment ago, the end counts, and
        # holds nobody back: it may be that of another cause.
        # Of runs of the same request, the one that knew of most ends counts.
        suspects.sort(key=_get_ends)
        ends = {run.fingerprint: run.ends + 1 for run in suspects}
        names = ' '.join(fingerprint.hex() for fingerprint in ends)
        self._recorder.record(
            EventKind.server_ended,
            subject=suspects[0].instance,
            detail=names,
            inputs={'requests': len(suspects), 'most_ends': max(ends.values())},
        )
        self._board.note_ends(
            ends.items(),
            places=(self._node,) if is_known else (),
        )


def _get_ends(run: InterruptedRun) -> int:
    return run.ends
