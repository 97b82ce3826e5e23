"""What an entry knows of each upstream, from the answers it has seen."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Final

from wagtaildale.calls.fields import ANY_INCARNATION
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from types import TracebackType

    from wagtaildale.calls.fields import AnswerFields
    from wagtaildale.types import InstanceId

FIRST_LIMIT: Final = 10


class UpstreamNotes:
    """What is known of one upstream.

    Workers write what answers say without a lock: a lost update skews one
    choice until the next answer. Only the count of requests under way is
    locked, since nothing would ever set it right.

    Attributes:
        instance: the upstream.
        incarnation: of its node's process, as last answered.
        pending: requests that this entry has under way there.
        in_flight: requests at its backend server, as last answered.
        limit: how many may be.
        queued: requests that wait there.
        reported_at: when that was answered, seconds on the clock.
    """

    __slots__ = (
        '_lock',
        'in_flight',
        'incarnation',
        'instance',
        'limit',
        'pending',
        'queued',
        'reported_at',
    )

    def __init__(self, instance: InstanceId) -> None:
        """Begin with nothing known.

        Args:
            instance: the upstream.
        """
        self.instance = instance
        self.incarnation = ANY_INCARNATION
        self.pending = 0
        self._lock = threading.Lock()
        self.in_flight = 0
        self.limit = FIRST_LIMIT
        self.queued = 0
        self.reported_at = read_clock()

    def __enter__(self) -> None:
        """Count a request that goes there."""
        with self._lock:
            self.pending += 1

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Count a request as over.

        Args:
            kind: of an error, if one ended it.
            error: the error.
            trace: where it arose.
        """
        with self._lock:
            self.pending -= 1

    def note_answer(self, fields: AnswerFields) -> None:
        """Note what an answer said of its owner.

        Args:
            fields: the answer's.
        """
        self.incarnation = fields.incarnation
        self.in_flight = fields.in_flight
        self.limit = max(1, fields.limit)
        self.queued = fields.queued
        self.reported_at = read_clock()

    def measure_load(self) -> float:
        """Measure how full the upstream is.

        Returns:
            Requests there or on their way, as a share of its limit.
        """
        return (self.in_flight + self.queued + self.pending) / self.limit


class UpstreamBook:
    """Notes on all upstreams."""

    def __init__(self) -> None:
        """Begin with none."""
        self._notes: dict[InstanceId, UpstreamNotes] = {}

    def find(self, instance: InstanceId) -> UpstreamNotes:
        """Find the notes on an upstream.

        Args:
            instance: which.

        Returns:
            Its notes, empty ones for a new upstream.
        """
        notes = self._notes.get(instance)
        if notes is None:
            notes = self._notes.setdefault(instance, UpstreamNotes(instance))
        return notes
