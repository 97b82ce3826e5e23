"""Suspected requests that all nodes of a test share without delay."""

from __future__ import annotations

import threading
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from wagtaildale.suspects.messages import (
    EndsNoted,
    RequestAnswered,
    RequestRefused,
)
from wagtaildale.suspects.snapshots import SuspectsHolder
from wagtaildale.suspects.table import SuspectTable
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from wagtaildale.suspects.messages import SuspectMessage


class SharedSuspects:
    """One table of suspected requests for several nodes.

    Stands in for the distribution task, which spreads suspicions to the nodes
    with a delay.

    Attributes:
        table: the suspected requests.
    """

    def __init__(self) -> None:
        """Start with an empty table."""
        self.table = SuspectTable()
        self._holders: list[SuspectsHolder] = []
        self._lock = threading.Lock()

    def make_holder(self) -> SuspectsHolder:
        """Make the snapshot holder of one more node.

        Returns:
            The holder, which is updated whenever the table changes.
        """
        holder = SuspectsHolder(self._post)
        holder.current = self.table.get_snapshot()
        self._holders.append(holder)
        return holder

    def _post(self, message: SuspectMessage) -> None:
        with self._lock:
            self._apply(message)
            snapshot = self.table.get_snapshot()
            for holder in self._holders:
                holder.publish(snapshot)

    @singledispatchmethod
    def _apply(self, message: object) -> None:
        raise TypeError(f'got {message!r}, expected a SuspectMessage')

    @_apply.register
    def _apply_ends(self, message: EndsNoted) -> None:
        for suspicion in message.suspicions:
            self.table.merge(suspicion, now=read_clock())

    @_apply.register
    def _apply_answered(self, message: RequestAnswered) -> None:
        self.table.clear(message.fingerprint, now=read_clock())

    @_apply.register
    def _apply_refused(self, message: RequestRefused) -> None:
        self.table.note_seen(message.fingerprint, now=read_clock())
