"""What calls read of suspected requests, and tell of them."""

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
    """Whether a request may run.

    Attributes:
        standing: whether it may.
        ends: servers that ended one after the other under it.
        wait_seconds: what its caller is told to wait where it may not.
        nodes: nodes whose servers' end was the last of them.
        age_seconds: since that was known here.
        is_confined: whether it runs like others, but there alone.
    """

    standing: Standing
    ends: int
    wait_seconds: float
    nodes: tuple[InstanceId, ...] = ()
    age_seconds: float = 0
    is_confined: bool = False


class Suspects(Struct, frozen=True):
    """The suspected requests at one moment; never changed.

    Attributes:
        records: by fingerprint.
        worst: of what is asked for, whoever asks, the gravest record of
            those who were never answered.
    """

    records: Mapping[Fingerprint, Record] = {}
    worst: Mapping[Subject, Record] = {}

    def find(self, fingerprint: Fingerprint) -> Record:
        """Find what is known of a request.

        Whether a request ends servers may depend on who sends it, or may
        not. Until a caller has got an answer, what others with the same
        request have done counts against it.

        Args:
            fingerprint: fingerprint of the request.

        Returns:
            What is held of it.
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
        """List what is known of the same request, whoever sends it.

        Args:
            fingerprint: fingerprint of the request.

        Returns:
            The records by fingerprint.
        """
        subject = find_subject(fingerprint)
        return {
            other: record
            for other, record in self.records.items()
            if find_subject(other) == subject
        }


def build_suspects(records: Mapping[Fingerprint, Record]) -> Suspects:
    """Make the snapshot that calls read.

    Args:
        records: all that are held.

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
    """Holds the reference that every call reads and one task swaps.

    Attributes:
        current: what calls go by.
        listeners: are told in the thread of that task when it was swapped.
    """

    def __init__(self, post: Callable[[SuspectMessage], None]) -> None:
        """Begin with nothing known.

        Args:
            post: takes what calls learn to the task that swaps.
        """
        self.current = Suspects()
        self.listeners: list[Callable[[], None]] = []
        self._post = post

    def publish(self, suspects: Suspects) -> None:
        """Swap in what is known now.

        Args:
            suspects: a later snapshot.
        """
        self.current = suspects
        for tell in self.listeners:
            tell()

    def judge(
        self,
        fingerprint: Fingerprint,
        *,
        reported_ends: int,
    ) -> Judgement:
        """Judge whether a request may run now; note a harmful one.

        Args:
            fingerprint: fingerprint of the request.
            reported_ends: servers that ended under it, as far as came with its call.

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
        """Count the requests that are run alone, or not at all.

        Returns:
            How many there are.
        """
        records = self.current.records.values()
        return sum(record.ends >= TRIAL_ENDS for record in records)

    def note_ends(
        self,
        ends: Iterable[tuple[Fingerprint, int]],
        *,
        nodes: tuple[InstanceId, ...],
    ) -> None:
        """Tell that a server ended while it ran requests.

        Args:
            ends: of each request, how many in series that makes.
            nodes: this node, if the requests are to run there alone.
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
        """Tell that a server has run a request to its end.

        Args:
            fingerprint: fingerprint of the request.
        """
        if self.current.find(fingerprint).ends:
            self._post(RequestAnswered(fingerprint))


def _read_ends(record: Record) -> int:
    return record.ends
