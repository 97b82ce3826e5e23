"""Snapshots of the suspected requests, as calls read them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct

from wagtaildale.suspects.fingerprints import Fingerprint, Subject, find_subject
from wagtaildale.suspects.messages import (
    EndsNoted,
    RequestAnswered,
    RequestRefused,
)
from wagtaildale.suspects.records import (
    CONFINED_SECONDS,
    TRIAL_ENDS,
    Record,
    Standing,
    Suspicion,
    find_retry_after,
    find_standing,
)
from wagtaildale.timers.service import read_clock
from wagtaildale.types import InstanceId

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from wagtaildale.suspects.messages import SuspectMessage

NOTHING_KNOWN = Record()


class Judgement(Struct, frozen=True, kw_only=True):
    """Decision whether and where a request may run.

    Attributes:
        standing: whether it may run.
        ends: servers that ended under it, one after the other.
        wait_seconds: retry delay for its caller if it may not run.
        nodes: nodes beside the servers that ended last.
        age_seconds: seconds since this node learned of the last end.
        is_confined: whether it runs without a trial, but only at ``nodes``.
    """

    standing: Standing
    ends: int
    wait_seconds: float
    nodes: tuple[InstanceId, ...] = ()
    age_seconds: float = 0
    is_confined: bool = False


class Suspects(Struct, frozen=True):
    """Immutable snapshot of the suspected requests.

    Attributes:
        records: records by fingerprint.
        worst: record with the most ends of each subject, among callers that
            were never answered.
    """

    records: Mapping[Fingerprint, Record] = {}
    worst: Mapping[Subject, Record] = {}

    def find(self, fingerprint: Fingerprint) -> Record:
        """Find the record that applies to a request.

        Whether a request ends servers may depend on its caller. Until a
        caller was answered, ends under the same request of other callers
        count for it as well.

        Args:
            fingerprint: fingerprint of the request.

        Returns:
            The record; ``NOTHING_KNOWN`` if the request is not suspected.
        """
        if not self.records:
            return NOTHING_KNOWN
        own = self.records.get(fingerprint, NOTHING_KNOWN)
        if own.clearings:
            return own
        shared = self.worst.get(find_subject(fingerprint), NOTHING_KNOWN)
        return max(own, shared, key=_read_ends)

    def list_same_subject(
        self, fingerprint: Fingerprint
    ) -> dict[Fingerprint, Record]:
        """List the records of a request for all of its callers.

        Args:
            fingerprint: fingerprint of the request.

        Returns:
            Records by fingerprint.
        """
        subject = find_subject(fingerprint)
        return {
            other: record
            for other, record in self.records.items()
            if find_subject(other) == subject
        }


def build_suspects(records: Mapping[Fingerprint, Record]) -> Suspects:
    """Build the snapshot that calls read.

    Args:
        records: all records of the node, by fingerprint.

    Returns:
        The snapshot.
    """
    worst: dict[Subject, Record] = {}
    for fingerprint, record in records.items():
        subject = find_subject(fingerprint)
        known = worst.get(subject, NOTHING_KNOWN)
        if not record.clearings and record.ends > known.ends:
            worst[subject] = record
    return Suspects(dict(records), worst)


class SuspectsHolder:
    """Holds the current snapshot, which calls read and one task replaces.

    Attributes:
        current: snapshot that calls read.
        listeners: called in the thread of that task after each replacement.
    """

    def __init__(self, post: Callable[[SuspectMessage], None]) -> None:
        """Start with an empty snapshot.

        Args:
            post: sends what calls learn to the task that replaces snapshots.
        """
        self.current = Suspects()
        self.listeners: list[Callable[[], None]] = []
        self._post = post

    def publish(self, suspects: Suspects) -> None:
        """Replace the snapshot and call the listeners.

        Args:
            suspects: the new snapshot.
        """
        self.current = suspects
        for notify in self.listeners:
            notify()

    def judge(
        self,
        fingerprint: Fingerprint,
        *,
        reported_ends: int,
    ) -> Judgement:
        """Decide whether a request may run now, and report a harmful one.

        Args:
            fingerprint: fingerprint of the request.
            reported_ends: servers that ended under it, as its call reports.

        Returns:
            The judgement.
        """
        record = self.current.find(fingerprint)
        now = read_clock()
        ends = max(reported_ends, record.ends)
        since = now if reported_ends > record.ends else record.since
        standing = find_standing(ends, since=since, now=now)
        is_new = reported_ends > record.ends
        is_fresh = now - since < CONFINED_SECONDS
        if standing is Standing.harmful:
            self._post(RequestRefused(fingerprint))
        return Judgement(
            standing=standing,
            ends=ends,
            wait_seconds=find_retry_after(ends, since=since, now=now),
            nodes=() if is_new else record.nodes,
            age_seconds=now - since,
            is_confined=0 < ends < TRIAL_ENDS
            and is_fresh
            and (is_new or bool(record.nodes)),
        )

    def count_restricted(self) -> int:
        """Count the requests that run only as a trial, or not at all.

        Returns:
            Their number.
        """
        records = self.current.records.values()
        return sum(record.ends >= TRIAL_ENDS for record in records)

    def note_ends(
        self,
        ends: Iterable[tuple[Fingerprint, int]],
        *,
        nodes: tuple[InstanceId, ...],
    ) -> None:
        """Report that a server ended while it ran requests.

        Args:
            ends: fingerprint of each request, with the number of servers that
                ended under it one after the other, this one included.
            nodes: this node if the requests are confined to it, else empty.
        """
        known = self.current.records
        self._post(
            EndsNoted(
                tuple(
                    Suspicion(
                        fingerprint,
                        known.get(fingerprint, NOTHING_KNOWN).clearings,
                        count,
                        nodes=nodes,
                    )
                    for fingerprint, count in ends
                ),
            ),
        )

    def note_answered(self, fingerprint: Fingerprint) -> None:
        """Report that a server has answered a request.

        Args:
            fingerprint: fingerprint of the request.
        """
        if self.current.find(fingerprint).ends:
            self._post(RequestAnswered(fingerprint))


def _read_ends(record: Record) -> int:
    return record.ends
