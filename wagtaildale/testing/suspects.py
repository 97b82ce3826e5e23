"""Suspected requests that nodes of a test tell each other of at once."""

from __future__ import annotations

import threading
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from wagtaildale.suspects.snapshots import SuspectsHolder
from wagtaildale.suspects.messages import (
    EndsNoted,
    RequestAnswered,
    RequestRefused,
)
from wagtaildale.suspects.table import SuspectTable
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from wagtaildale.suspects.messages import SuspectMessage


class SharedSuspects:
    """One table for all nodes that are given the same one.

    Attributes:
        table: what they know.
    """

    def __init__(self) -> None:
        """Begin with nothing known."""
        self.table = SuspectTable()
        self._boards: list[SuspectsHolder] = []
        self._lock = threading.Lock()

    def make_board(self) -> SuspectsHolder:
        """Make the board of one more node.

        Returns:
            The board.
        """
        board = SuspectsHolder(self._post)
        board.current = self.table.get_snapshot()
        self._boards.append(board)
        return board

    def _post(self, told: SuspectMessage) -> None:
        with self._lock:
            self._take(told)
            shown = self.table.get_snapshot()
            for board in self._boards:
                board.publish(shown)

    @singledispatchmethod
    def _take(self, told: object) -> None:
        raise TypeError(f'got {told!r}, expected word of a request')

    @_take.register
    def _take_ends(self, told: EndsNoted) -> None:
        for suspicion in told.suspicions:
            self.table.merge(suspicion, now=read_clock())

    @_take.register
    def _take_answered(self, told: RequestAnswered) -> None:
        self.table.clear(told.fingerprint, now=read_clock())

    @_take.register
    def _take_refused(self, told: RequestRefused) -> None:
        self.table.note_seen(told.fingerprint, now=read_clock())
