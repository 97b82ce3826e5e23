"""Simulated mesh of entries and upstreams under load."""

from __future__ import annotations

import random
from functools import partial
from ipaddress import IPv4Address
from typing import TYPE_CHECKING, Final

from msgspec import structs

from wagtaildale.routing.binding import DEFAULT_POLICY, BindingPolicy
from wagtaildale.routing.view import ViewHolder
from wagtaildale.testing.builders import build_instances, build_record
from wagtaildale.testing.replay.callers import Caller, NestedCall
from wagtaildale.testing.replay.calls import REMOTE_DELAY_SECONDS
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
    """Upstreams with an entry beside each, and the load on them.

    Attributes:
        clock: clock of the simulation.
        view: view of the listed upstreams that all entries share.
        servers: upstreams by instance.
        entries: entries by the instance of the upstream beside them.
        binding_policy: policy by which entries that are added later bind
            requests to queues.
        outcomes: counts of outcomes by class name.
    """

    def __init__(self, classes: Sequence[LoadClass], *, seed: int) -> None:
        """Start without upstreams.

        Args:
            classes: classes of requests in the load.
            seed: seed of all random numbers.
        """
        random.seed(seed)
        self.clock = VirtualClock()
        self.view = ViewHolder()
        self.servers: dict[InstanceId, ReplayServer] = {}
        self.entries: dict[InstanceId, ReplayEntry] = {}
        self.binding_policy: BindingPolicy = DEFAULT_POLICY
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
            service: service that they run.
            count: number of upstreams to add.
            data_centres: data centres that they are assigned to in turn.
            speeds: speeds of their backend servers, assigned in turn within
                each data centre.
            slots: slots of each backend server.
            cold: whether the backend servers have just started.
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
                on_slowness=self._announce_slowness,
                on_limit=self._announce_limit,
                on_pace=self._announce_pace,
            )
            self.servers[name] = server
            self._add_entry(server)
        self.publish_upstreams()

    def publish_upstreams(self) -> None:
        """Publish the list of upstreams to every entry."""
        self._version += 1
        records = [server.record for server in self.servers.values()]
        listed = build_instances(*records, version=self._version)
        self.view.replace_instances(listed)

    def mark_leaving(self, count: int) -> None:
        """List upstreams as leaving; they finish the requests they have.

        Args:
            count: number of upstreams of each service; the first ones that
                were added leave.
        """
        counts: dict[str, int] = {}
        for server in self.servers.values():
            record = server.record
            counts[record.service] = counts.get(record.service, 0) + 1
            if counts[record.service] <= count:
                server.record = structs.replace(
                    record,
                    state=ListedState.leaving,
                )
        self.publish_upstreams()

    def run(self, seconds: float) -> None:
        """Run the simulation while callers send requests.

        Args:
            seconds: virtual time to run for.
        """
        until = self.clock.now + seconds
        for work_class in self._classes.values():
            if work_class.per_second:
                self._schedule_request(work_class, until)
        self.clock.run(until=until)

    def run_without_load(self, seconds: float) -> None:
        """Run the simulation without new requests, so that others can end.

        Args:
            seconds: virtual time to run for.
        """
        self.clock.run(until=self.clock.now + seconds)

    def make_nested_call(
        self,
        server: ReplayServer,
        ticket: TicketId,
        *,
        work_class: LoadClass,
        deadline: float,
    ) -> bool:
        """Make the nested call of a request that has started, if it has one.

        Args:
            server: server of the running request.
            ticket: ticket of that request at the server.
            work_class: class of that request.
            deadline: deadline of that request, seconds on the clock.

        Returns:
            Whether a call was made; its end calls ``finish`` of the server.
        """
        if random.random() >= work_class.calls_share:
            return False
        called = self._classes[work_class.calls]
        call = NestedCall(
            server,
            ticket,
            work_class=called,
            outcomes=self.outcomes[called.name],
            clock=self.clock,
        )
        call.send(self.entries[server.record.instance], deadline=deadline)
        return True

    def reset_counts(self) -> None:
        """Reset the counts of outcomes and of all servers."""
        for name in self.outcomes:
            self.outcomes[name] = Outcomes()
        for server in self.servers.values():
            server.requests_received = 0
            server.runs = 0
            server.slot_seconds = 0

    def count_runs(self) -> int:
        """Count the requests that started to run.

        Returns:
            Number at all upstreams together.
        """
        return sum(server.runs for server in self.servers.values())

    def _announce_slowness(self, server: ReplayServer) -> None:
        ratio = server.state.slowness.announced_ratio
        for entry in self.entries.values():
            self.clock.schedule(
                REMOTE_DELAY_SECONDS,
                partial(entry.note_slowness, server, ratio),
            )

    def _announce_pace(self, server: ReplayServer) -> None:
        percent = server.state.pace.encode(self.clock.now)
        for entry in self.entries.values():
            self.clock.schedule(
                REMOTE_DELAY_SECONDS,
                partial(entry.note_pace, server, percent),
            )

    def _announce_limit(self, server: ReplayServer) -> None:
        limit = server.describe_limit()
        assert limit is not None
        for entry in self.entries.values():
            self.clock.schedule(
                REMOTE_DELAY_SECONDS,
                partial(entry.note_limit, server, limit),
            )

    def _add_entry(self, server: ReplayServer) -> None:
        record = server.record
        self.entries[record.instance] = ReplayEntry(
            record.instance,
            data_centre=DataCentre(record.data_centre),
            mesh=self,
        )

    def _schedule_request(self, work_class: LoadClass, until: float) -> None:
        peak = work_class.per_second * (1 + work_class.demand_amplitude)
        gap = random.expovariate(peak)
        if self.clock.now + gap < until:
            self.clock.schedule(gap, partial(self._send, work_class, until))

    def _send(self, work_class: LoadClass, until: float) -> None:
        entry = random.choice(list(self.entries.values()))
        if not work_class.demand_amplitude or work_class.draw_arrival(
            self.clock.now, phase=self._find_phase(entry)
        ):
            outcomes = self.outcomes[work_class.name]
            Caller(entry, work_class, outcomes=outcomes).send()
        self._schedule_request(work_class, until)

    def _find_phase(self, entry: ReplayEntry) -> float:
        data_centres = sorted(
            {each.data_centre for each in self.entries.values()}
        )
        return data_centres.index(entry.data_centre) / len(data_centres)
