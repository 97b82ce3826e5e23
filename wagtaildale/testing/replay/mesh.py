"""A mesh of entries and upstreams under a load."""

from __future__ import annotations

import random
from functools import partial
from ipaddress import IPv4Address
from typing import TYPE_CHECKING, Final

from msgspec import structs

from wagtaildale.routing.view import ViewHolder
from wagtaildale.testing.builders import build_instances, build_record
from wagtaildale.testing.replay.callers import Caller, InnerCall
from wagtaildale.testing.replay.calls import FAR_SECONDS
from wagtaildale.testing.replay.clock import VirtualClock
from wagtaildale.testing.replay.entries import ReplayEntry
from wagtaildale.testing.replay.load import LoadClass, Outcomes
from wagtaildale.testing.replay.servers import ReplayServer
from wagtaildale.types import DataCentre, InstanceId, ListedState

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wagtaildale.admission.messages import TicketId


FIRST_HOST: Final = IPv4Address('10.0.0.1')


class ReplayMesh:
    """Entries, one beside each upstream, and what callers send them.

    Attributes:
        clock: of the replay.
        view: by which entries route.
        servers: by instance.
        entries: by instance of the upstream beside.
        outcomes: by class.
    """

    def __init__(self, classes: Sequence[LoadClass], *, seed: int) -> None:
        """Begin without upstreams.

        Args:
            classes: of the load.
            seed: of everything that is drawn.
        """
        random.seed(seed)
        self.clock = VirtualClock()
        self.view = ViewHolder()
        self.servers: dict[InstanceId, ReplayServer] = {}
        self.entries: dict[InstanceId, ReplayEntry] = {}
        self.outcomes = {each.name: Outcomes() for each in classes}
        self._classes = {each.name: each for each in classes}
        self._version = 0

    def add(
        self,
        service: str,
        *,
        count: int,
        data_centres: Sequence[str],
        speeds: Sequence[float] = (1.0,),
        slots: int = 4,
        cold: bool = False,
    ) -> None:
        """Add upstreams, each with an entry beside it.

        Args:
            service: that they run.
            count: of them.
            data_centres: where they stand, in turn.
            speeds: of their backend servers, in turn.
            slots: of each.
            cold: whether they have just started.
        """
        for number in range(count):
            name = InstanceId(f'{service}-{len(self.servers)}')
            record = build_record(
                name,
                service=service,
                data_centre=data_centres[number % len(data_centres)],
                host=str(FIRST_HOST + len(self.servers)),
            )
            server = ReplayServer(
                structs.replace(record, slots=slots),
                clock=self.clock,
                speed=speeds[number // len(data_centres) % len(speeds)],
                cold=cold,
                on_condition=self._tell_condition,
                on_limit=self._tell_limit,
            )
            self.servers[name] = server
            self._start_entry(server)
        self.list_upstreams()

    def list_upstreams(self) -> None:
        """Tell every entry which upstreams there are."""
        self._version += 1
        records = [server.record for server in self.servers.values()]
        listed = build_instances(*records, version=self._version)
        self.view.take_instances(listed)

    def leave(self, count: int) -> None:
        """Let upstreams leave: they finish what they have.

        Args:
            count: of each service, the first ones.
        """
        left: dict[str, int] = {}
        for server in self.servers.values():
            record = server.record
            left[record.service] = left.get(record.service, 0) + 1
            if left[record.service] <= count:
                server.record = structs.replace(
                    record,
                    state=ListedState.leaving,
                )
        self.list_upstreams()

    def run(self, seconds: float) -> None:
        """Let callers send their requests for a while.

        Args:
            seconds: for how long.
        """
        until = self.clock.now + seconds
        for work_class in self._classes.values():
            if work_class.per_second:
                self._plan(work_class, until)
        self.clock.run(until=until)

    def rest(self, seconds: float) -> None:
        """Let what is under way end, without new requests.

        Args:
            seconds: for how long.
        """
        self.clock.run(until=self.clock.now + seconds)

    def call_from(
        self,
        server: ReplayServer,
        ticket: TicketId,
        *,
        work_class: LoadClass,
        deadline: float,
    ) -> bool:
        """Make the call of a run that has begun, if it makes one.

        Args:
            server: where it runs.
            ticket: of the run.
            work_class: of the request that runs.
            deadline: of that request, seconds.

        Returns:
            Whether it makes one; ``finish`` follows at the server.
        """
        if random.random() >= work_class.calls_share:
            return False
        called = self._classes[work_class.calls]
        call = InnerCall(
            server,
            ticket,
            work_class=called,
            outcomes=self.outcomes[called.name],
            clock=self.clock,
        )
        call.ask(self.entries[server.record.instance], deadline=deadline)
        return True

    def count_anew(self) -> None:
        """Count nothing of what was until now."""
        for name in self.outcomes:
            self.outcomes[name] = Outcomes()
        for server in self.servers.values():
            server.asked = 0
            server.runs = 0
            server.slot_seconds = 0

    def count_runs(self) -> int:
        """Count the runs that were begun.

        Returns:
            At all upstreams.
        """
        return sum(server.runs for server in self.servers.values())

    def _tell_condition(self, server: ReplayServer) -> None:
        ratio = server.state.slowness.announced_ratio
        for entry in self.entries.values():
            self.clock.set(
                FAR_SECONDS,
                partial(entry.note_condition, server, ratio),
            )

    def _tell_limit(self, server: ReplayServer) -> None:
        named = server.describe_limit()
        assert named is not None
        for entry in self.entries.values():
            self.clock.set(
                FAR_SECONDS,
                partial(entry.note_limit, server, named),
            )

    def _start_entry(self, server: ReplayServer) -> None:
        record = server.record
        self.entries[record.instance] = ReplayEntry(
            record.instance,
            data_centre=DataCentre(record.data_centre),
            mesh=self,
        )

    def _plan(self, work_class: LoadClass, until: float) -> None:
        gap = random.expovariate(work_class.per_second)
        if self.clock.now + gap < until:
            self.clock.set(gap, partial(self._send, work_class, until))

    def _send(self, work_class: LoadClass, until: float) -> None:
        entry = random.choice(list(self.entries.values()))
        outcomes = self.outcomes[work_class.name]
        Caller(entry, work_class, outcomes=outcomes).ask()
        self._plan(work_class, until)
