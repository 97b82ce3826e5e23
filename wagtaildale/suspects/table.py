"""Table of the suspected requests that one node knows.

Records of a request are ordered by the number of clearings, then by the ends
since the last clearing. A merge keeps the greater record, so suspicions may
arrive late, repeatedly or out of order.
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

# A server that ends adds as many records as it has slots, of some hundred
# bytes each.
MAX_RECORDS: Final = 2048
# Minimum time between two updates of ``seen_at``.
SEEN_UPDATE_SECONDS: Final = 1.0


class SuspectTable(Struct, kw_only=True):
    """Suspected requests; if full, those with the fewest ends are evicted.

    Attributes:
        records: records by fingerprint.
        current: cached snapshot of the records; None after a change.
    """

    records: dict[Fingerprint, Record] = field(default_factory=dict)
    current: Suspects | None = None

    def merge(self, suspicion: Suspicion, *, now: float) -> bool:
        """Merge a suspicion into the table.

        Args:
            suspicion: suspicion of this node or of another one.
            now: current time, seconds.

        Returns:
            Whether the table has changed.
        """
        held = self.records.get(suspicion.fingerprint, NOTHING_KNOWN)
        record = Record(
            clearings=suspicion.clearings,
            ends=suspicion.ends,
            since=now,
            seen_at=max(held.seen_at, now - suspicion.age_seconds),
            nodes=merge_nodes(suspicion.nodes, ()),
        )
        is_expired = now - record.seen_at > record.retention_seconds
        if is_expired or record.order < held.order:
            return False
        if record.order == held.order:
            nodes = merge_nodes(record.nodes, held.nodes)
            if nodes == held.nodes:
                return False
            record = structs.replace(record, since=held.since, nodes=nodes)
        self._store(suspicion.fingerprint, record)
        return True

    def is_behind(self, suspicion: Suspicion) -> bool:
        """Tell whether a suspicion is older than this node's record.

        Args:
            suspicion: suspicion that another node sent.

        Returns:
            Whether its sender should get the record of this node.
        """
        held = self.records.get(suspicion.fingerprint, NOTHING_KNOWN)
        received = (suspicion.clearings, suspicion.ends)
        if held.order == received:
            return not set(held.nodes) <= set(suspicion.nodes)
        return held.order > received

    def clear(self, fingerprint: Fingerprint, *, now: float) -> Record:
        """Clear a suspected request that was answered.

        Args:
            fingerprint: fingerprint of the request.
            now: current time, seconds.

        Returns:
            Its record before the call.
        """
        held = self.records.get(fingerprint, NOTHING_KNOWN)
        record = Record(clearings=held.clearings + 1, since=now, seen_at=now)
        self._store(fingerprint, record)
        return held

    def note_seen(self, fingerprint: Fingerprint, *, now: float) -> bool:
        """Record that a request was received again and was not run.

        Without this, the record of a request that is received and refused for
        hours would expire meanwhile, and the request would end servers again.

        Args:
            fingerprint: fingerprint of the request.
            now: current time, seconds.

        Returns:
            Whether the record has changed, at most once a second.
        """
        held = self.records.get(fingerprint)
        if held is None or now - held.seen_at < SEEN_UPDATE_SECONDS:
            return False
        self.records[fingerprint] = structs.replace(held, seen_at=now)
        self.current = None
        return True

    def forget_old(self, *, now: float) -> bool:
        """Remove records of requests that were not received for long.

        Args:
            now: current time, seconds.

        Returns:
            Whether any record was removed.
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
        """Return the snapshot that calls read.

        Returns:
            Snapshot of all current records.
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
        """Build the suspicions to send to other nodes.

        Args:
            fingerprints: fingerprints of records in this table.
            now: current time, seconds.

        Returns:
            One suspicion for each fingerprint.
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
        """List the requests that run only as a trial, or not at all.

        All nodes have to know them.

        Returns:
            Their fingerprints, sorted.
        """
        return sorted(
            fingerprint
            for fingerprint, record in self.records.items()
            if record.ends >= TRIAL_ENDS
        )

    def compute_checksum(self) -> int:
        """Compute a checksum of the records that all nodes have to know.

        Returns:
            Checksum that is equal at two nodes with the same such records; 0
            if there are none.
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
