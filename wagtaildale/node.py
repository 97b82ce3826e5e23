"""Puts the parts of a node together."""

from __future__ import annotations

import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor
from functools import partial
from typing import TYPE_CHECKING, Any, Final, Protocol

from msgspec import Struct
from result import Err, Ok, Result

from wagtaildale.admin.server import AdminServer
from wagtaildale.admission.gate import Gate
from wagtaildale.admission.state import make_admission
from wagtaildale.calls.addresses import Address
from wagtaildale.calls.entry import Entry
from wagtaildale.calls.listener import Listener
from wagtaildale.calls.owner import Identity, Owner
from wagtaildale.calls.owner_port import OwnerPort
from wagtaildale.calls.routed import EntryParts
from wagtaildale.distribution.around import Surroundings
from wagtaildale.distribution.sockets import NodeSockets
from wagtaildale.distribution.state import make_state
from wagtaildale.distribution.task import DistributionTask
from wagtaildale.distribution.tuning import TUNINGS
from wagtaildale.invariants import Invariants
from wagtaildale.lifecycle.stop import Stop
from wagtaildale.membership.state import MembershipState
from wagtaildale.membership.topology import Place
from wagtaildale.routing.book import UpstreamBook
from wagtaildale.routing.choosers import make_chooser
from wagtaildale.routing.view import ViewHolder
from wagtaildale.source.http import HttpPlatform
from wagtaildale.source.tasks import FetchTask, WatchTask
from wagtaildale.settings.model import MOST_SLOTS
from wagtaildale.telemetry.events import EventKind, EventRecorder
from wagtaildale.telemetry.metrics import Metrics
from wagtaildale.telemetry.tallies import Tallies
from wagtaildale.timers.inbox import Inbox
from wagtaildale.timers.messages import TimerName
from wagtaildale.timers.service import (
    Subscription,
    TimerService,
    read_clock,
)
from wagtaildale.types import Incarnation, Kind, NodeState

if TYPE_CHECKING:
    from wagtaildale.errors.faults import Fault
    from wagtaildale.settings.model import Settings

MILLISECONDS: Final = 1000
RANK_SECONDS: Final = 1.0
JITTER: Final = 0.2
OWN_TASKS: Final = 16


class Parts(Struct, kw_only=True):
    """What several parts of a node share.

    Attributes:
        settings: of this daemon.
        identity: of this process.
        recorder: gets events.
        invariants: are checked everywhere.
        view: what calls are routed by.
        tallies: counts of calls.
        inbox: of the distribution task.
        states: the node's state, the latest last.
    """

    settings: Settings
    identity: Identity
    recorder: EventRecorder
    invariants: Invariants
    view: ViewHolder
    tallies: Tallies
    inbox: Inbox[Any]
    states: list[NodeState]


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
    ) -> None:
        """Build every part; ``start`` opens the ports.

        Args:
            settings: checked.
            recorder: gets events.
            sockets: to other nodes, with the fleet's keys.
        """
        self.parts = _make_parts(settings, recorder)
        self._executor = ThreadPoolExecutor(
            max_workers=2 * settings.limits.connections + OWN_TASKS,
            thread_name_prefix='wagtaildale',
        )
        self._sockets = sockets
        self._timers = TimerService()
        self._watches = _make_watches(self.parts)
        self._fetch = FetchTask(
            platform=HttpPlatform(settings.platform),
            outbox=self.parts.inbox,
        )
        self.distribution = self._make_distribution()
        self.owner = _make_owner(self.parts)
        self.entry_parts = _make_entry_parts(self.parts, self.owner)
        self.entry_listener = self._make_listener(Entry(self.entry_parts))
        self.owner_listener = self._make_listener(
            OwnerPort(self.owner, body_bytes=settings.limits.body_bytes),
        )
        self.stop = Stop(
            gate=self.owner.gate,
            listeners=(self.entry_listener, self.owner_listener),
            inbox=self.parts.inbox,
            recorder=recorder,
        )
        self.drain_asked = threading.Event()
        self.metrics = _make_metrics(self)
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
                tuning=TUNINGS[settings.distribution.spread],
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


def _make_metrics(node: Node) -> Metrics:
    parts = node.parts
    metrics = Metrics(parts.tallies, instance=parts.identity.instance)
    state = node.distribution.state
    for kind in Kind:
        metrics.add_gauge(
            f'wagtaildale.{kind.name}.version',
            partial(_read_version, node, kind),
            unit='1',
            description='Version in force on this node.',
        )
    metrics.add_gauge(
        'wagtaildale.control.sent',
        lambda: node.distribution.sockets.sent_bytes,
        unit='By',
        description='Bytes sent to other nodes for control.',
    )
    metrics.add_gauge(
        'wagtaildale.backend.running',
        lambda: len(node.owner.gate.state.running),
        unit='{request}',
        description='Requests at the backend server.',
    )
    metrics.add_gauge(
        'wagtaildale.backend.limit',
        lambda: node.owner.gate.state.limit,
        unit='{request}',
        description='Requests that may run at the backend server.',
    )
    metrics.add_gauge(
        'wagtaildale.reader',
        lambda: state.appointed,
        unit='1',
        description='Whether this node watches the platform.',
    )
    metrics.add_gauge(
        'wagtaildale.invariants.broken',
        lambda: parts.invariants.broken,
        unit='1',
        description='Invariants found broken: anything but 0 is a defect.',
    )
    return metrics


def _read_version(node: Node, kind: Kind) -> float:
    stores = node.distribution.state.stores
    return stores[kind].held.version


def read_incarnation() -> Incarnation:
    """Read the incarnation of a process that starts now.

    Returns:
        Milliseconds since the epoch: it rises with each start.
    """
    return Incarnation(round(time.time() * MILLISECONDS))


def _make_parts(settings: Settings, recorder: EventRecorder) -> Parts:
    return Parts(
        settings=settings,
        identity=Identity(
            instance=settings.instance,
            incarnation=recorder.incarnation,
        ),
        recorder=recorder,
        invariants=Invariants(recorder),
        view=ViewHolder(),
        tallies=Tallies(),
        inbox=Inbox(),
        states=[NodeState.joining],
    )


def _make_watches(parts: Parts) -> dict[Kind, WatchTask]:
    settings = parts.settings
    tuning = TUNINGS[settings.distribution.spread]
    return {
        kind: WatchTask(
            kind,
            platform=HttpPlatform(settings.platform),
            outbox=parts.inbox,
            wait=tuning.watch_seconds,
        )
        for kind in Kind
    }


def _make_owner(parts: Parts) -> Owner:
    backend = parts.settings.backend
    slots = backend.slots
    if not parts.settings.calls.admits:
        slots = MOST_SLOTS
    return Owner(
        parts.identity,
        gate=Gate(make_admission(slots)),
        backend=Address(backend.host, backend.port),
        invariants=parts.invariants,
    )


def _make_entry_parts(parts: Parts, owner: Owner) -> EntryParts:
    return EntryParts(
        data_centre=parts.settings.data_centre,
        owner=owner,
        view=parts.view,
        book=UpstreamBook(),
        tallies=parts.tallies,
        recorder=parts.recorder,
        body_bytes=parts.settings.limits.body_bytes,
        chooser=make_chooser(parts.settings.calls.choice),
        reserves=parts.settings.calls.reserves,
        hedges=parts.settings.calls.hedges,
    )
