"""Puts the parts of a node together."""

from __future__ import annotations

import threading
from concurrent.futures import Future, ThreadPoolExecutor
from typing import TYPE_CHECKING, Final, Protocol

from result import Err, Ok, Result

from wagtaildale.admin.server import AdminServer
from wagtaildale.assembly import (
    make_entry_parts,
    make_owner,
    make_parts,
    make_watches,
)
from wagtaildale.calls.addresses import Address
from wagtaildale.calls.entry import Entry
from wagtaildale.calls.listener import Listener
from wagtaildale.calls.owner_port import OwnerPort
from wagtaildale.distribution.around import Surroundings
from wagtaildale.distribution.sockets import NodeSockets
from wagtaildale.distribution.state import make_state
from wagtaildale.distribution.task import DistributionTask
from wagtaildale.lifecycle.stop import Stop
from wagtaildale.membership.state import MembershipState
from wagtaildale.membership.topology import Place
from wagtaildale.source.http import HttpPlatform
from wagtaildale.source.tasks import FetchTask
from wagtaildale.telemetry.events import EventKind, EventRecorder
from wagtaildale.telemetry.gauges import make_metrics
from wagtaildale.timers.messages import TimerName
from wagtaildale.timers.service import (
    Subscription,
    TimerService,
    read_clock,
)

if TYPE_CHECKING:
    from wagtaildale.distribution.tuning import Tuning
    from wagtaildale.errors.faults import Fault
    from wagtaildale.settings.model import Settings

RANK_SECONDS: Final = 1.0
JITTER: Final = 0.2
LEASE_LOOK_SECONDS: Final = 0.25
OWN_TASKS: Final = 16


class Task(Protocol):
    """What runs for as long as the node does."""

    def run(self) -> None:
        """Work until stopped."""

    def stop(self) -> None:
        """End ``run``."""


class Node:
    """One node: its tasks, its ports, its planned stop."""

    def __init__(
        self,
        settings: Settings,
        *,
        recorder: EventRecorder,
        sockets: NodeSockets,
        tuning: Tuning | None = None,
    ) -> None:
        """Build every part; ``start`` opens the ports.

        Args:
            settings: checked.
            recorder: gets events.
            sockets: to other nodes, with the fleet's keys.
            tuning: the figures of distribution, if not the settings' own.
        """
        self.parts = make_parts(
            settings,
            recorder=recorder,
            tuning=tuning,
        )
        self._executor = ThreadPoolExecutor(
            max_workers=2 * settings.limits.connections + OWN_TASKS,
            thread_name_prefix='wagtaildale',
        )
        self._sockets = sockets
        self._timers = TimerService()
        self._watches = make_watches(self.parts)
        self._fetch = FetchTask(
            platform=HttpPlatform(settings.platform),
            outbox=self.parts.inbox,
        )
        self.distribution = self._make_distribution()
        self.owner = make_owner(self.parts)
        self.entry_parts = make_entry_parts(self.parts, owner=self.owner)
        self.entry_listener = self._make_listener(Entry(self.entry_parts))
        self.owner_listener = self._make_listener(
            OwnerPort(self.owner, body_bytes=settings.limits.body_bytes),
        )
        self.stop = Stop(
            gate=self.owner.gate,
            callers=self.entry_listener,
            nodes=self.owner_listener,
            inbox=self.parts.inbox,
            recorder=recorder,
        )
        self.drain_asked = threading.Event()
        self.metrics = make_metrics(self)
        self._admin = AdminServer(self)
        self._futures: list[Future[None]] = []

    def start(self) -> Result[None, Fault]:
        """Open the ports and begin every task.

        Returns:
            Nothing, or why a port cannot be opened.
        """
        opened = self._open_ports()
        if isinstance(opened, Err):
            return opened
        self._subscribe()
        self._futures = [
            self._executor.submit(task.run) for task in self._list_tasks()
        ]
        self.parts.recorder.record(EventKind.node_started)
        return Ok(None)

    def find_failure(self) -> BaseException | None:
        """Tell whether a task has ended that should run on.

        Returns:
            Its error, or nothing.
        """
        for future in self._futures:
            if future.done():
                return future.exception() or RuntimeError('a task ended')
        return None

    def shut_down(self) -> bool:
        """Stop in order, cutting nothing in flight.

        Returns:
            Whether all work was done in time.
        """
        self.stop.begin()
        done = self.stop.wait(seconds=self.parts.settings.limits.drain_seconds)
        self.parts.recorder.record(EventKind.node_stopped)
        for part in self._list_tasks():
            part.stop()
        self._executor.shutdown(wait=False, cancel_futures=True)
        return done

    def _list_tasks(self) -> tuple[Task, ...]:
        listeners: tuple[Task, ...] = (self.entry_listener, self.owner_listener)
        readers: tuple[Task, ...] = (self._fetch, *self._watches.values())
        rest: tuple[Task, ...] = (self._timers, self.distribution, self._admin)
        return listeners + readers + rest

    def _open_ports(self) -> Result[None, Fault]:
        settings = self.parts.settings
        host = settings.host
        return (
            self.entry_listener.bind(Address(host, settings.entry_port))
            .and_then(lambda _none: self._bind_owner())
            .and_then(lambda _none: self._bind_control())
            .and_then(lambda _none: self._admin.bind())
        )

    def _bind_owner(self) -> Result[None, Fault]:
        settings = self.parts.settings
        address = Address(settings.host, settings.owner_port)
        return self.owner_listener.bind(address)

    def _bind_control(self) -> Result[None, Fault]:
        settings = self.parts.settings
        return self._sockets.bind(
            f'tcp://{settings.host}:{settings.control_port}',
        )

    def _make_listener(self, answerer: Entry | OwnerPort) -> Listener:
        limits = self.parts.settings.limits
        return Listener(
            answerer,
            executor=self._executor,
            connections=limits.connections,
            head_bytes=limits.head_bytes,
            recorder=self.parts.recorder,
        )

    def _make_distribution(self) -> DistributionTask:
        parts = self.parts
        settings = parts.settings
        members = MembershipState(
            own=Place(settings.instance, settings.data_centre),
            incarnation=parts.identity.incarnation,
        )
        around = Surroundings(
            recorder=parts.recorder,
            invariants=parts.invariants,
            view=parts.view,
            watches={
                kind: watch.inbox for kind, watch in self._watches.items()
            },
            fetches=self._fetch.inbox,
            states=parts.states,
        )
        return DistributionTask(
            make_state(
                members,
                tuning=parts.tuning,
                seeds=settings.distribution.seeds,
                now=read_clock(),
            ),
            sockets=self._sockets,
            inbox=parts.inbox,
            around=around,
        )

    def _subscribe(self) -> None:
        tuning = self.distribution.state.tuning
        seconds = {
            TimerName.digest: tuning.swap_seconds,
            TimerName.rank: RANK_SECONDS,
        }
        for name, interval in seconds.items():
            self._timers.subscribe(
                Subscription(
                    name=name,
                    inbox=self.parts.inbox,
                    interval=interval,
                    jitter=JITTER,
                ),
            )
        self._timers.subscribe(
            Subscription(
                name=TimerName.limits,
                inbox=self.owner.gate,
                interval=LEASE_LOOK_SECONDS,
            ),
        )
