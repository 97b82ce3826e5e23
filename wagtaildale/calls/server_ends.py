"""Tells a backend server that ended from a connection that did.

A server that ends closes every connection, and its port refuses new ones.
One that breaks off an answer, or resets what it has no room for, keeps the
others open.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.calls.knock import Knock, Knocked
from wagtaildale.telemetry.events import EventKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.calls.backend_pool import BackendPool
    from wagtaildale.suspects.recent_answers import RecentAnswers
    from wagtaildale.suspects.snapshots import SuspectsHolder
    from wagtaildale.suspects.fingerprints import Fingerprint
    from wagtaildale.telemetry.events import EventRecorder
    from wagtaildale.types import InstanceId

# The connections of a process that ends close within a millisecond or so.
CLOSE_SECONDS: Final = 0.003


class CutRun(Struct, frozen=True, kw_only=True):
    """A run whose connection ended before its answer.

    Attributes:
        instance: that ran the request.
        fingerprint: of the request.
        ends: servers that had ended under it, one after the other, as far
            as was known when the run began.
        is_leaving: whether that instance was to end anyway.
        conclude: is told how many that makes now; 0 if the server lives.
    """

    instance: InstanceId
    fingerprint: Fingerprint
    ends: int
    is_leaving: bool
    conclude: Callable[[int], None]


class ServerEnds:
    """Finds out whether the backend server ended, for runs that were cut.

    Attributes:
        count: how often it did.
        listeners: are told when it did.
    """

    def __init__(
        self,
        board: SuspectsHolder,
        *,
        node: InstanceId,
        answered: RecentAnswers,
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
        self._held: list[CutRun] = []

    def hold(self, cut: CutRun, *, pool: BackendPool) -> None:
        """Hold a run that was cut until it is known whether the server ended.

        Args:
            cut: the run.
            pool: connections to the server.
        """
        self._held.append(cut)
        if len(self._held) == 1:
            pool.loop.alarms.set(CLOSE_SECONDS, partial(self._look, pool))

    def conclude(self, *, has_ended: bool) -> None:
        """End every run that is held.

        Args:
            has_ended: whether the server did.
        """
        held = self._held
        self._held = []
        if has_ended:
            for tell in self.listeners:
                tell()
        blamed = self._blame(held) if has_ended else []
        for cut in held:
            cut.conclude(cut.ends + 1 if cut in blamed else 0)

    def _look(self, pool: BackendPool) -> None:
        if pool.has_standing():
            self.conclude(has_ended=False)
        else:
            Knock(pool.loop, pool.address, on_word=self._take_knock)

    def _is_proven(self, cut: CutRun) -> bool:
        return not cut.ends and self._answered.has(cut.fingerprint)

    def _take_knock(self, word: Knocked) -> None:
        # A port that is silent does not tell.
        self.conclude(has_ended=word is Knocked.refused)

    def _blame(self, held: list[CutRun]) -> list[CutRun]:
        # A server that leaves ends by itself, whatever it runs.
        ended = [cut for cut in held if not cut.is_leaving]
        if not ended:
            return []
        self.count += 1
        blamed = [cut for cut in ended if not self._is_proven(cut)]
        self._answered.forget()
        self._note_ends(blamed or ended, is_known=bool(blamed))
        return blamed

    def _note_ends(self, blamed: list[CutRun], *, is_known: bool) -> None:
        # Where all that ran was answered a moment ago, the end counts, and
        # holds nobody back: it may be that of another cause.
        # Of runs of the same request, the one that knew of most ends counts.
        blamed.sort(key=_read_ends)
        ends = {cut.fingerprint: cut.ends + 1 for cut in blamed}
        names = ' '.join(fingerprint.hex() for fingerprint in ends)
        self._recorder.record(
            EventKind.server_ended,
            subject=blamed[0].instance,
            detail=names,
            inputs={'requests': len(blamed), 'most_ends': max(ends.values())},
        )
        self._board.note_ends(
            ends.items(),
            nodes=(self._node,) if is_known else (),
        )


def _read_ends(cut: CutRun) -> int:
    return cut.ends
