"""The entry: takes callers' requests to upstreams of their classes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.calls.addresses import Address
from wagtaildale.calls.budgets import RetryBudget
from wagtaildale.calls.entry_call import EntryCall
from wagtaildale.calls.hedges import HedgeClocks
from wagtaildale.calls.targets import Targets
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from wagtaildale.calls.exchanges import Exchange
    from wagtaildale.calls.routed import EntryParts
    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.types import ServiceName

# How soon after a change of the list connections follow; a call that comes
# before opens its own.
LOOK_SECONDS: Final = 0.5


class Entry:
    """Answers callers' requests.

    Attributes:
        parts: of the node.
        targets: chooses upstreams.
        clocks: tell when an attempt is slow.
    """

    def __init__(self, parts: EntryParts) -> None:
        """Prepare.

        Args:
            parts: of the node.
        """
        self.parts = parts
        self.targets = Targets(parts)
        self.clocks = HedgeClocks()
        self._budgets: dict[ServiceName, RetryBudget] = {}

    def handle_request(self, exchange: Exchange) -> None:
        """Begin to answer a request; see ``RequestHandler``.

        Args:
            exchange: the request.
        """
        call = EntryCall(self, exchange)
        exchange.receiver = call
        call.start()

    def look(self) -> None:
        """Keep connections, notes and budgets in step with the view."""
        parts = self.parts
        now = read_clock()
        view = parts.view.current
        statistics = parts.placement.statistics
        for listed in view.list_records():
            statistics.note_start(listed.instance, born=listed.born, now=now)
        statistics.keep_only(view.records)
        parts.peers.keep_only(
            {
                Address(record.host, record.owner_port): self.targets.is_far(
                    record,
                )
                for record in self.targets.list_subset()
                if self._is_wanted(record, now)
            },
        )
        share = self.parts.read_retries()
        for budget in self._budgets.values():
            budget.share = share
        self.parts.loop.alarms.set(LOOK_SECONDS, self.look)

    def find_budget(self, service: ServiceName) -> RetryBudget:
        """Find the retries that may be spent on a service.

        Args:
            service: that is called.

        Returns:
            Its budget.
        """
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                self.parts.read_retries(),
                now=read_clock(),
            )
            self._budgets[service] = budget
        return budget

    def _is_wanted(self, record: InstanceRecord, now: float) -> bool:
        # One that leaves would take the connection only to have it closed.
        upstream = self.parts.placement.statistics.find(
            record.instance, now=now
        )
        is_remote = record.host != self.parts.own_host
        return is_remote and not upstream.ejection.is_leaving(now)
