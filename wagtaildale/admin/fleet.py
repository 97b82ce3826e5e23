"""Reports on the whole fleet from any node, at a bounded cost.

A request polls at most ``MAX_NODES_ASKED`` nodes, those that were polled
longest ago; for the others it uses the last known report, with its age. In a
fleet of 2,500 nodes, a report that is requested every second is complete
after 40 requests, and no node is polled more often than reports are
requested.
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

MAX_NODES_ASKED: Final = 64
WORKER_COUNT: Final = 8
POLL_TIMEOUT_SECONDS: Final = 3.0
MIN_POLL_INTERVAL_SECONDS: Final = 1.0
MILLISECONDS_PER_SECOND: Final = 1000
NEVER_ASKED: Final = float('-inf')


class FleetReporter:
    """Polls other nodes and keeps their latest reports."""

    def __init__(self, node: Node) -> None:
        """Create a reporter without reports.

        Args:
            node: node of this process.
        """
        self._node = node
        self._lock = threading.Lock()
        self._reports: dict[str, tuple[float, NodeReport]] = {}
        self._asked_at: dict[str, float] = {}

    def report(self, *, token: str | None) -> FleetReport:
        """Report on the fleet.

        Args:
            token: token of the request, which is sent to the other nodes.

        Returns:
            Report of every listed node with its age, and the names of the
            nodes without a report.
        """
        with self._lock:
            records = self._list_records()
            self._poll(self._select_stalest(records), token)
            own = report_node(self._node)
            now = read_clock()
            self._reports[own.instance] = (now, own)
            return self._make_report(records, now)

    def _list_records(self) -> dict[str, InstanceRecord]:
        view = self._node.parts.view.current
        return {record.instance: record for record in view.list_records()}

    def _select_stalest(
        self,
        records: dict[str, InstanceRecord],
    ) -> list[InstanceRecord]:
        now = read_clock()
        own = self._node.parts.identity.instance
        due = [
            record
            for name, record in records.items()
            if name != own
            and now - self._asked_at.get(name, NEVER_ASKED)
            > MIN_POLL_INTERVAL_SECONDS
        ]
        due.sort(
            key=lambda record: self._asked_at.get(record.instance, NEVER_ASKED)
        )
        return due[:MAX_NODES_ASKED]

    def _poll(self, chosen: list[InstanceRecord], token: str | None) -> None:
        executor = ThreadPoolExecutor(WORKER_COUNT)
        futures = [
            executor.submit(self._poll_node, record, token) for record in chosen
        ]
        wait(futures, timeout=POLL_TIMEOUT_SECONDS)
        executor.shutdown(wait=False, cancel_futures=True)

    def _poll_node(self, record: InstanceRecord, token: str | None) -> None:
        self._asked_at[record.instance] = read_clock()
        client = AdminClient(
            address=f'{record.host}:{record.admin_port}',
            token=token,
        )
        found = client.read('/v1/node', document_type=NodeReport)
        if isinstance(found, Ok):
            report = found.ok_value
            self._reports[report.instance] = (read_clock(), report)

    def _make_report(
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
            age = round((now - known[0]) * MILLISECONDS_PER_SECOND)
            parts.append(ReportPart(age_ms=age, report=known[1]))
        return FleetReport(
            asked=self._node.parts.identity.instance,
            parts=tuple(parts),
            unknown=tuple(unknown),
        )
