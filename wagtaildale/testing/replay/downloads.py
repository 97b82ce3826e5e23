"""Simulated downloads of one service, with the production choice of upstreams.

Entries choose and refuse by ``Placement``. Lines are models: what leaves a node
leaves in the order of its admission, at the rate of the line. An owner refuses
a response that would be late, and reports its line with each answer, and to
all entries at most every ``REPORT_SECONDS`` if the wait has changed by a step.
"""

from __future__ import annotations

import random
from functools import partial
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.admission.incoming_line import LineState
from wagtaildale.calls.entry.attempts import Attempts
from wagtaildale.calls.entry.budgets import RetryBudget
from wagtaildale.calls.failures import CallFailed
from wagtaildale.errors.codes import Code
from wagtaildale.routing.choice import ChooserName, RequestContext
from wagtaildale.routing.choosers import make_chooser
from wagtaildale.routing.line_check import LinesOverdue
from wagtaildale.routing.placement import ChosenUpstream, Placement
from wagtaildale.routing.statistics import FleetStatistics
from wagtaildale.routing.throttling import Throttled
from wagtaildale.routing.view import ViewHolder
from wagtaildale.testing.builders import (
    build_instances,
    build_record,
    build_retry_limits,
)
from wagtaildale.testing.replay.clock import VirtualClock
from wagtaildale.types import DataCentre, InstanceId, ServiceName

if TYPE_CHECKING:
    from collections.abc import Sequence

CLASS_NAME: Final = 'casefiles/download'
SERVICE: Final = ServiceName('casefiles')
HOME: Final = DataCentre('derby')
BYTES_PER_MS: Final = 625
MEAN_BYTES: Final = 90_000
MAX_BYTES: Final = 540_000
# Standard deviation of the logarithm of the size.
SIZE_SPREAD: Final = 0.8
TARGET_SECONDS: Final = 1.824
DEADLINE_SECONDS: Final = 2.432
# One-way delay between an entry and an owner.
DELAY_SECONDS: Final = 0.001
# Shortest interval of the reports of an owner, and the change of its wait that
# causes one.
REPORT_SECONDS: Final = 0.25
STEP_SECONDS: Final = 0.25
MS_PER_SECOND: Final = 1000


class DownloadCounts(Struct, kw_only=True):
    """What became of the downloads.

    Attributes:
        refused_unsent: refused by the entry before anything was sent.
        refused: refused after one owner or more had refused.
        owner_refusals: refusals of owners, of which a request may meet several.
        in_time: responses that were complete within the target.
        late: responses that were complete later.
        sent_bytes: bytes of the complete responses.
    """

    refused_unsent: int = 0
    refused: int = 0
    owner_refusals: int = 0
    in_time: int = 0
    late: int = 0
    sent_bytes: int = 0


class _Call:
    """One download of an entry."""

    def __init__(self, entry: Placement, *, begun_at: float) -> None:
        self.entry = entry
        self.begun_at = begun_at
        self.attempts = Attempts(
            idempotent=True,
            deadline=begun_at + DEADLINE_SECONDS,
            budget=RetryBudget(build_retry_limits(slack=0), now=begun_at),
        )


class ReplayOwner:
    """The owner of one server, with the line out of its node.

    Attributes:
        instance: instance of its server.
    """

    def __init__(self, instance: InstanceId, clock: VirtualClock) -> None:
        """Start with an idle line.

        Args:
            instance: instance of its server.
            clock: virtual clock.
        """
        self.instance = instance
        self._clock = clock
        self._free_at = float(0)
        self._notified_wait = float(0)

    @property
    def wait_seconds(self) -> float:
        """Time until what was admitted has left."""
        return max(0, self._free_at - self._clock.now)

    def describe(self) -> LineState:
        """Describe the line as owners report it."""
        wait_ms = round(self.wait_seconds * MS_PER_SECOND)
        return LineState(wait_ms, BYTES_PER_MS)

    def admit(self, size: int) -> float | None:
        """Admit a response if it can leave within its target.

        Args:
            size: bytes of the response.

        Returns:
            Time at which it has left; None if it was refused.
        """
        expected = MEAN_BYTES / BYTES_PER_MS / MS_PER_SECOND
        if self.wait_seconds + expected > TARGET_SECONDS:
            return None
        seconds = size / BYTES_PER_MS / MS_PER_SECOND
        self._free_at = self._clock.now + self.wait_seconds + seconds
        return self._free_at

    def take_notice(self) -> bool:
        """Tell whether entries are to be notified now, as owners decide."""
        if abs(self.wait_seconds - self._notified_wait) < STEP_SECONDS:
            return False
        self._notified_wait = self.wait_seconds
        return True


class ReplayDownloads:
    """Entries that download from the servers of one service.

    Attributes:
        counts: what became of the downloads.
        clock: virtual clock.
    """

    def __init__(self, *, owners: int, entries: int, is_checked: bool) -> None:
        """Start with idle lines, and entries that know the mean size.

        Args:
            owners: number of servers.
            entries: number of entries.
            is_checked: whether entries treat the class as bulk.
        """
        self.counts = DownloadCounts()
        self.clock = VirtualClock()
        self._is_checked = is_checked
        names = [InstanceId(f's{number}') for number in range(owners)]
        self._owners = {name: ReplayOwner(name, self.clock) for name in names}
        self._view = ViewHolder()
        self._view.replace_instances(build_instances(*map(build_record, names)))
        self._entries = [_make_entry(number) for number in range(entries)]
        self.clock.schedule(0, self._notify)

    def play(self, demand: float, *, seconds: float) -> None:
        """Play a demand and let it end.

        Args:
            demand: bytes asked for, divided by what all lines carry.
            seconds: length of the demand.
        """
        carried = BYTES_PER_MS * MS_PER_SECOND * len(self._owners)
        per_second = demand * carried / MEAN_BYTES
        begin = self.clock.now
        at = begin
        while (at := at + random.expovariate(per_second)) < begin + seconds:
            call = _Call(random.choice(self._entries), begun_at=at)
            self.clock.schedule(at - begin, partial(self._send, call))
        self.clock.run(until=begin + seconds)

    def _send(self, call: _Call) -> None:
        placed = self._place(call)
        if isinstance(placed, LinesOverdue) and call.attempts.overloaded:
            call.attempts.rejections_left = 0
            placed = self._place(call)
        if isinstance(placed, LinesOverdue):
            self._refuse(call)
            return
        assert isinstance(placed, ChosenUpstream)
        call.attempts.tried.append(placed.record.instance)
        owner = self._owners[placed.record.instance]
        self.clock.schedule(DELAY_SECONDS, partial(self._arrive, call, owner))

    def _place(self, call: _Call) -> ChosenUpstream | LinesOverdue | None:
        since = self.clock.now - call.begun_at
        placed = call.entry.choose(
            self._view.current,
            SERVICE,
            avoided=call.attempts.list_excluded(),
            request=RequestContext(
                data_centre=HOME,
                class_name=CLASS_NAME,
                slack_seconds=TARGET_SECONDS - since,
                is_bulk=self._is_checked,
                deadline_seconds=DEADLINE_SECONDS - since,
                may_probe=not call.attempts.tried,
            ),
            now=self.clock.now,
        )
        assert not isinstance(placed, Throttled)
        return placed

    def _arrive(self, call: _Call, owner: ReplayOwner) -> None:
        size = _draw_size()
        done_at = owner.admit(size)
        report = partial(self._report, [call.entry], owner, owner.describe())
        self.clock.schedule(DELAY_SECONDS, report)
        if done_at is None:
            self.counts.owner_refusals += 1
            again = partial(self._redirect, call, owner)
            self.clock.schedule(DELAY_SECONDS, again)
            return
        in_time = done_at + DELAY_SECONDS <= call.begun_at + TARGET_SECONDS
        self.counts.in_time += in_time
        self.counts.late += not in_time
        self.counts.sent_bytes += size

    def _redirect(self, call: _Call, owner: ReplayOwner) -> None:
        failure = CallFailed(Code.overloaded)
        call.attempts.note_rejection(owner.instance, failure.code)
        if call.attempts.try_redirect(failure, now=self.clock.now):
            self._send(call)
        else:
            self._refuse(call)

    def _refuse(self, call: _Call) -> None:
        if call.attempts.tried:
            self.counts.refused += 1
        else:
            self.counts.refused_unsent += 1

    def _notify(self) -> None:
        for owner in self._owners.values():
            if owner.take_notice():
                state = owner.describe()
                notify = partial(self._report, self._entries, owner, state)
                self.clock.schedule(DELAY_SECONDS, notify)
        self.clock.schedule(REPORT_SECONDS, self._notify)

    def _report(
        self, entries: Sequence[Placement], owner: ReplayOwner, state: LineState
    ) -> None:
        now = self.clock.now
        for entry in entries:
            upstream = entry.statistics.find(owner.instance, now=now)
            upstream.lines.outgoing.note(state, now=now)


def _make_entry(number: int) -> Placement:
    statistics = FleetStatistics()
    statistics.response_sizes.note(CLASS_NAME, MEAN_BYTES)
    return Placement(
        InstanceId(f'e{number}'),
        data_centre=HOME,
        chooser=make_chooser(ChooserName.expected_time),
        statistics=statistics,
    )


def _draw_size() -> int:
    factor = random.lognormvariate(-(SIZE_SPREAD**2) / 2, SIZE_SPREAD)
    return min(MAX_BYTES, max(1, round(MEAN_BYTES * factor)))
