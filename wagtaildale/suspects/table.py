"""The suspected requests as one node knows them.

What is known of a request is ordered by how often it was cleared, then by
how many servers ended since. Merging takes the greater, so word of it may
come late, twice or crossed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final
from zlib import crc32

from msgspec import Struct, field, structs

from wagtaildale.suspects.fingerprints import Fingerprint
from wagtaildale.suspects.records import (
    TRIAL_ENDS,
    Record,
    Suspicion,
    merge_nodes,
)
from wagtaildale.suspects.snapshots import (
    NOTHING_KNOWN,
    Suspects,
    build_suspects,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

# A server that ends brings as many as it has slots; some hundred bytes each.
MAX_RECORDS: Final = 2048
# Between two changes of when a request came last.
SEEN_UPDATE_SECONDS: Final = 1.0


class SuspectTable(Struct, kw_only=True):
    """Suspected requests, the least grave given up where there is no room.

    Attributes:
        records: by fingerprint.
        current: the snapshot of them, until they change.
    """

    records: dict[Fingerprint, Record] = field(default_factory=dict)
    current: Suspects | None = None

    def merge(self, suspicion: Suspicion, *, now: float) -> bool:
        """Take what somebody has learned of a request.

        Args:
            suspicion: what was learned.
            now: current time, seconds.

        Returns:
            Whether that is news here.
        """
        held = self.records.get(suspicion.fingerprint, NOTHING_KNOWN)
        record = Record(
            clearings=suspicion.clearings,
            ends=suspicion.ends,
            since=now,
            seen_at=max(held.seen_at, now - suspicion.age_seconds),
            nodes=merge_nodes(suspicion.nodes, ()),
        )
        over = now - record.seen_at > record.retention_seconds
        if over or record.order < held.order:
            return False
        if record.order == held.order:
            nodes = merge_nodes(record.nodes, held.nodes)
            if nodes == held.nodes:
                return False
            record = structs.replace(record, since=held.since, nodes=nodes)
        self._store(suspicion.fingerprint, record)
        return True

    def is_behind(self, suspicion: Suspicion) -> bool:
        """Tell whether whoever told of a request knows less than this node.

        Args:
            suspicion: what was told.

        Returns:
            Whether to tell it what is held here.
        """
        held = self.records.get(suspicion.fingerprint, NOTHING_KNOWN)
        told = (suspicion.clearings, suspicion.ends)
        if held.order == told:
            return not set(held.nodes) <= set(suspicion.nodes)
        return held.order > told

    def clear(self, fingerprint: Fingerprint, *, now: float) -> Record:
        """Note that a suspected request was run to its end.

        Args:
            fingerprint: fingerprint of the request.
            now: current time, seconds.

        Returns:
            What was held of it before.
        """
        held = self.records.get(fingerprint, NOTHING_KNOWN)
        record = Record(clearings=held.clearings + 1, since=now, seen_at=now)
        self._store(fingerprint, record)
        return held

    def note_seen(self, fingerprint: Fingerprint, *, now: float) -> bool:
        """Note that a request has come again and was not run.

        Failure guarded here: a request comes for hours, each time refused,
        is forgotten while it still comes, and ends servers anew.

        Args:
            fingerprint: fingerprint of the request.
            now: current time, seconds.

        Returns:
            Whether that is worth showing: once a second.
        """
        held = self.records.get(fingerprint)
        if held is None or now - held.seen_at < SEEN_UPDATE_SECONDS:
            return False
        self.records[fingerprint] = structs.replace(held, seen_at=now)
        self.current = None
        return True

    def forget_old(self, *, now: float) -> bool:
        """Forget what has not come for long.

        Args:
            now: current time, seconds.

        Returns:
            Whether anything was forgotten.
        """
        old = [
            fingerprint
            for fingerprint, record in self.records.items()
            if now - record.seen_at > record.retention_seconds
        ]
        for fingerprint in old:
            self.records.pop(fingerprint)
        if old:
            self.current = None
        return bool(old)

    def get_snapshot(self) -> Suspects:
        """Give the snapshot that calls read.

        Returns:
            All that are held, as they stand.
        """
        if self.current is None:
            self.current = build_suspects(self.records)
        return self.current

    def describe(
        self,
        fingerprints: Iterable[Fingerprint],
        *,
        now: float,
    ) -> tuple[Suspicion, ...]:
        """Describe records to other nodes.

        Args:
            fingerprints: of those held here.
            now: current time, seconds.

        Returns:
            One suspicion each.
        """
        records = ((name, self.records[name]) for name in fingerprints)
        return tuple(
            Suspicion(
                name,
                record.clearings,
                record.ends,
                max(0, int(now - record.seen_at)),
                record.nodes,
            )
            for name, record in records
        )

    def list_restricted(self) -> list[Fingerprint]:
        """List the requests that all nodes are to know of.

        Returns:
            Those that are not run like others.
        """
        return sorted(
            fingerprint
            for fingerprint, record in self.records.items()
            if record.ends >= TRIAL_ENDS
        )

    def compute_checksum(self) -> int:
        """Sum up what all nodes are to know.

        Returns:
            A number that is alike at two nodes that know the same; 0 for
            nothing.
        """
        total = 0
        for fingerprint in self.list_restricted():
            record = self.records[fingerprint]
            total = crc32(b'%b%d.%d' % (fingerprint, *record.order), total)
            total = crc32(' '.join(record.nodes).encode(), total)
        return total

    def _store(self, fingerprint: Fingerprint, record: Record) -> None:
        self.records[fingerprint] = record
        self.current = None
        if len(self.records) > MAX_RECORDS:
            least = min(self.records, key=self._rank_for_eviction)
            self.records.pop(least)

    def _rank_for_eviction(self, fingerprint: Fingerprint) -> tuple[int, float]:
        record = self.records[fingerprint]
        return (record.ends, record.seen_at)
