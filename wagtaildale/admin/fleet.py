"""Any node answers for the fleet, at a bounded cost.

A request asks at most ``ASKED_AT_ONCE`` nodes anew, those of which the news
is oldest; the rest is answered from before, with its age. In a fleet of
2,500 a status that is asked for every second is whole after 40 of them, and
no node is asked more often than it is asked for.
"""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor, wait
from typing import TYPE_CHECKING, Final

from result import Ok

from wagtaildale.admin.client import AdminClient
from wagtaildale.admin.model import FleetReport, NodeReport, ReportPart
from wagtaildale.admin.reports import report_node
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.node import Node

ASKED_AT_ONCE: Final = 64
WORKERS: Final = 8
PATIENCE_SECONDS: Final = 3.0
FRESH_SECONDS: Final = 1.0
MILLISECONDS: Final = 1000
NEVER: Final = float('-inf')


class FleetReporter:
    """Asks other nodes and remembers what they said."""

    def __init__(self, node: Node) -> None:
        """Begin with nothing known.

        Args:
            node: this process's.
        """
        self._node = node
        self._lock = threading.Lock()
        self._reports: dict[str, tuple[float, NodeReport]] = {}
        self._asked: dict[str, float] = {}

    def report(self, *, token: str | None) -> FleetReport:
        """Report on the fleet.

        Args:
            token: the caller's, for the other nodes.

        Returns:
            Every listed node's part with its age, and who is not known.
        """
        with self._lock:
            records = self._list_records()
            self._ask(self._pick(records), token)
            own = report_node(self._node)
            now = read_clock()
            self._reports[own.instance] = (now, own)
            return self._sum_up(records, now)

    def _list_records(self) -> dict[str, InstanceRecord]:
        view = self._node.parts.view.current
        return {record.instance: record for record in view.list_records()}

    def _pick(
        self,
        records: dict[str, InstanceRecord],
    ) -> list[InstanceRecord]:
        now = read_clock()
        own = self._node.parts.identity.instance
        due = [
            record
            for name, record in records.items()
            if name != own
            and now - self._asked.get(name, NEVER) > FRESH_SECONDS
        ]
        due.sort(key=lambda record: self._asked.get(record.instance, NEVER))
        return due[:ASKED_AT_ONCE]

    def _ask(self, chosen: list[InstanceRecord], token: str | None) -> None:
        executor = ThreadPoolExecutor(WORKERS)
        futures = [
            executor.submit(self._ask_one, record, token) for record in chosen
        ]
        wait(futures, timeout=PATIENCE_SECONDS)
        executor.shutdown(wait=False, cancel_futures=True)

    def _ask_one(self, record: InstanceRecord, token: str | None) -> None:
        self._asked[record.instance] = read_clock()
        client = AdminClient(
            address=f'{record.host}:{record.admin_port}',
            token=token,
        )
        found = client.read('/v1/node', shape=NodeReport)
        if isinstance(found, Ok):
            report = found.ok_value
            self._reports[report.instance] = (read_clock(), report)

    def _sum_up(
        self,
        records: dict[str, InstanceRecord],
        now: float,
    ) -> FleetReport:
        parts = []
        unknown = []
        for name in sorted(records):
            known = self._reports.get(name)
            if known is None:
                unknown.append(name)
                continue
            age = round((now - known[0]) * MILLISECONDS)
            parts.append(ReportPart(age_ms=age, report=known[1]))
        return FleetReport(
            asked=self._node.parts.identity.instance,
            parts=tuple(parts),
            unknown=tuple(unknown),
        )
