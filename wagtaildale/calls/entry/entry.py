"""The entry: forwards callers' requests to upstreams of their service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.calls.addresses import Address
from wagtaildale.calls.answer_times import AnswerTimes
from wagtaildale.calls.entry.budgets import RetryBudget
from wagtaildale.calls.entry.entry_call import EntryCall
from wagtaildale.calls.entry.hedges import HedgeDelays
from wagtaildale.calls.entry.targets import Targets
from wagtaildale.calls.stop_schedule import NOT_STOPPING, StopSchedule
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from wagtaildale.calls.entry.routed_call import EntryParts
    from wagtaildale.calls.http.exchanges import Exchange
    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.types import ServiceName

# Interval at which connections are adjusted to the instance list. A call that
# needs a connection before the next refresh opens it itself.
REFRESH_SECONDS: Final = 0.5


class Entry:
    """Forwards callers' requests to upstreams.

    Holds the retry budgets and hedge delays that the calls share.

    Attributes:
        parts: components of the node that the entry uses.
        targets: selects the upstream of each attempt.
        hedge_delays: delay before a hedge, estimated for each class.
        retry_limits: limits on retries, as of the last refresh.
        answer_times: times of answers, estimated for each class.
        stop_schedule: when this process ends, if it stops.
    """

    def __init__(self, parts: EntryParts) -> None:
        """Create an entry without retry budgets.

        Args:
            parts: components of the node that the entry uses.
        """
        self.parts = parts
        self.targets = Targets(parts)
        self.hedge_delays = HedgeDelays()
        self.retry_limits = parts.read_retry_limits()
        self.answer_times = AnswerTimes()
        self.stop_schedule = NOT_STOPPING
        self._budgets: dict[ServiceName, RetryBudget] = {}
        self._calls: set[EntryCall] = set()

    def handle_request(self, exchange: Exchange) -> None:
        """Start to answer a request; see ``RequestHandler``.

        Args:
            exchange: request and the response to be written.
        """
        call = EntryCall(self, exchange)
        exchange.receiver = call
        self._calls.add(call)
        call.start()

    def begin_stop(self, schedule: StopSchedule) -> None:
        """Pass on only what can be answered before this process ends.

        Args:
            schedule: when the process ends.
        """
        self.stop_schedule = schedule
        for call in tuple(self._calls):
            call.limit_start()

    def forget(self, call: EntryCall) -> None:
        """Remove a finished call.

        Args:
            call: call of this entry.
        """
        self._calls.discard(call)

    def refresh(self) -> None:
        """Update connections, statistics and budgets from the current view.

        Schedules itself again after ``REFRESH_SECONDS``.
        """
        parts = self.parts
        now = read_clock()
        view = parts.view.current
        statistics = parts.placement.statistics
        for listed in view.list_records():
            statistics.note_start_time(
                listed.instance, started_ms=listed.born, now=now
            )
        statistics.keep_only(view.records)
        parts.peers.update_needed(
            {
                Address(
                    record.host, record.owner_port
                ): self.targets.is_in_other_data_centre(
                    record,
                )
                for record in self.targets.list_connected_upstreams()
                if self._needs_connection(record, now)
            },
        )
        self.retry_limits = parts.read_retry_limits()
        for budget in self._budgets.values():
            budget.replace_limits(self.retry_limits)
        parts.loop.alarms.set(REFRESH_SECONDS, self.refresh)

    def find_or_create_budget(self, service: ServiceName) -> RetryBudget:
        """Return the retry budget of a service, created on first use.

        Args:
            service: service that is called.

        Returns:
            The budget for retries and hedges of calls to the service.
        """
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                self.parts.read_retry_limits(),
                now=read_clock(),
            )
            self._budgets[service] = budget
        return budget

    def note_response_size(self, work_class: str, size: int) -> None:
        """Note the size of a complete response of a bulk class.

        Args:
            work_class: qualified name of the class, ``service/class``.
            size: bytes of its body.
        """
        statistics = self.parts.placement.statistics
        statistics.response_sizes.note(work_class, size)

    def _needs_connection(self, record: InstanceRecord, now: float) -> bool:
        # A leaving owner would close a new connection at once.
        upstream = self.parts.placement.statistics.find(
            record.instance, now=now
        )
        is_remote = record.host != self.parts.own_host
        return is_remote and not upstream.ejection.is_leaving(now)
