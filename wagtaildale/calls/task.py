"""The task that carries all calls of a node: its ports and its loop."""

from __future__ import annotations

from concurrent.futures import Future, wait
from functools import partial
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.admission.gate import Gate
from wagtaildale.admission.server_messages import SlotsPublished
from wagtaildale.admission.state import make_admission
from wagtaildale.calls.addresses import Address
from wagtaildale.calls.budgets import RetryShare, share_retries
from wagtaildale.calls.callers import CallerLimits, CallerPort
from wagtaildale.calls.dialect import OWN_DIALECT, Dialect
from wagtaildale.calls.entry import Entry
from wagtaildale.calls.identity_question import IdentityQuestion
from wagtaildale.calls.owner import Identity, Owner
from wagtaildale.calls.owner_listener import OwnerListener
from wagtaildale.calls.peer_pool import PeerPool
from wagtaildale.calls.peers import LocalPeer
from wagtaildale.calls.ready import ReadyAnswerer
from wagtaildale.calls.routed import EntryParts
from wagtaildale.calls.sessions import PeerPort
from wagtaildale.calls.time_given import TimesGiven
from wagtaildale.calls.trials import Trials
from wagtaildale.errors.codes import Code
from wagtaildale.invariants import Invariants
from wagtaildale.reactor.loop import Loop
from wagtaildale.routing.choice import Chooser
from wagtaildale.routing.placement import Placement
from wagtaildale.routing.statistics import FleetStatistics
from wagtaildale.routing.view import ViewHolder
from wagtaildale.settings.model import BoundSettings
from wagtaildale.suspects.snapshots import SuspectsHolder
from wagtaildale.telemetry.events import EventKind, EventRecorder
from wagtaildale.telemetry.tallies import Tallies
from wagtaildale.types import DataCentre, NodeState, ServiceName

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from wagtaildale.errors.faults import Fault
    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.types import InstanceId

MILLISECONDS: Final = 1000
# How soon what the list tells of the backend server here is taken up.
LOOK_SECONDS: Final = 0.5
# How long another thread waits until the loop has done what it asks; far
# longer than a step of the loop.
ASK_SECONDS: Final = 0.5
READY_HEAD_BYTES: Final = 8192
READY_CONNECTIONS: Final = 64
READY_LIMITS: Final = CallerLimits(
    head_bytes=READY_HEAD_BYTES,
    body_bytes=0,
    connections=READY_CONNECTIONS,
)


class CallSurroundings(Struct, frozen=True, kw_only=True):
    """What the task that carries calls shares with the rest of the node.

    Attributes:
        identity: of this process.
        view: what calls are routed by.
        tallies: counts of calls.
        recorder: gets events.
        invariants: are checked on each call.
        states: the node's state, the latest last.
        suspects: requests under which servers have ended.
    """

    identity: Identity
    view: ViewHolder
    tallies: Tallies
    recorder: EventRecorder
    invariants: Invariants
    states: list[NodeState]
    suspects: SuspectsHolder


class CallFigures(Struct, frozen=True, kw_only=True):
    """Where a node's calls come and go, and how they are carried.

    Attributes:
        service: of the backend server beside the node.
        data_centre: the node's own.
        entry: where callers' requests come.
        owner: where other nodes' calls come.
        ready: where the node tells whether it takes callers, if anywhere.
        backend: the backend server.
        slots: requests that it runs at once, until the list tells.
        limits: on callers, until a configuration has others.
        bounds: figures that the platform's operators publish.
        chooser: of upstreams.
        dialect: how callers and backend servers are spoken to.
        reserves: whether a non-idempotent request reserves a slot first.
        hedges: whether slow idempotent requests get a second attempt.
    """

    service: ServiceName
    data_centre: DataCentre
    entry: Address
    owner: Address
    ready: Address | None = None
    backend: Address
    slots: int
    limits: CallerLimits
    bounds: BoundSettings = BoundSettings()
    chooser: Chooser
    dialect: Dialect = OWN_DIALECT
    reserves: bool = True
    hedges: bool = True


class CallsTask:
    """Carries callers' requests and other nodes' calls in one loop.

    Attributes:
        loop: carries the connections.
        owner: of the backend server beside the node.
        entry: takes callers' requests to upstreams.
        callers: the port on which they come.
        nodes: the port on which other nodes' calls come.
        local: calls of this entry to this owner.
    """

    def __init__(
        self,
        figures: CallFigures,
        *,
        around: CallSurroundings,
    ) -> None:
        """Build the parts; ``bind`` opens the ports.

        Args:
            figures: where calls come and go.
            around: what is shared with the rest of the node.
        """
        self._figures = figures
        self._around = around
        self.loop = Loop(on_defect=self._note_defect, on_late=self._note_late)
        self.owner = Owner(
            around.identity,
            service=figures.service,
            loop=self.loop,
            gate=Gate(make_admission(figures.slots), alarms=self.loop.alarms),
            backend=figures.backend,
            invariants=around.invariants,
            recorder=around.recorder,
            dialect=figures.dialect,
            find_record=self._find_record,
            trials=Trials(
                around.suspects,
                node=around.identity.instance,
                dialect=figures.dialect,
                view=around.view,
                recorder=around.recorder,
            ),
        )
        self.owner.server.denial_listeners.append(self._make_question().ask)
        around.suspects.listeners.append(self._review_runs)
        self.local = LocalPeer(self.owner)
        self.entry = Entry(self._make_parts())
        self.callers = CallerPort(
            self.loop,
            answerer=self.entry,
            read_limits=self.read_limits,
        )
        self.nodes = PeerPort(self.owner, recorder=around.recorder)
        self.owner.teller.listeners.append(
            partial(self.entry.parts.listener.note_load, figures.owner),
        )
        self._ready = CallerPort(
            self.loop,
            answerer=ReadyAnswerer(self._read_state),
            read_limits=lambda: READY_LIMITS,
        )

    @property
    def busy(self) -> int:
        """How many requests are under way."""
        owned = self.nodes.busy + self.local.busy
        return max(self.callers.busy, owned, len(self.owner.gate.state.running))

    @property
    def has_runs(self) -> bool:
        """Whether the backend server here has requests under way."""
        return bool(self.owner.gate.state.running)

    def bind(self) -> Result[None, Fault]:
        """Open the ports.

        Returns:
            Nothing, or the fault.
        """
        figures = self._figures
        bound = self.callers.bind(figures.entry).and_then(
            lambda _none: self.nodes.bind(figures.owner),
        )
        if figures.ready is None:
            return bound
        ready = figures.ready
        return bound.and_then(lambda _none: self._ready.bind(ready))

    def run(self) -> None:
        """Carry calls until stopped, then close everything."""
        self._start()
        self.loop.run()
        self.callers.stop()
        self.nodes.stop()
        self._ready.stop()
        self.entry.parts.peers.close()
        self.owner.pool.close()
        self.loop.close()

    def stop(self) -> None:
        """End ``run``."""
        self.loop.stop()

    def announce(self) -> None:
        """Tell callers to go elsewhere; may be called from another thread."""
        self._ask(self.callers.drain)

    def drain(self) -> None:
        """Take no new work; may be called from another thread."""
        self._ask(self._drain)

    def close_callers_port(self) -> None:
        """Let no caller connect any more; may be called from another thread."""
        self._ask(self.callers.close_port)

    def close_nodes_port(self) -> None:
        """Let no node connect any more; may be called from another thread."""
        self._ask(self.nodes.acceptor.close)

    def finish_nodes(self) -> None:
        """Close what nodes left open; may be called from another thread."""
        self._ask(self.nodes.finish)

    def close_idle(self) -> None:
        """Close idle callers; may be called from another thread."""
        self._ask(self.callers.close_idle)

    def read_limits(self) -> CallerLimits:
        """Give what callers may send now.

        Returns:
            The configuration's limits, or the settings'.
        """
        usual = self._figures.limits
        published = self._around.view.current.limits
        if published is None:
            return usual
        return CallerLimits(
            head_bytes=published.head_bytes,
            body_bytes=min(published.body_bytes, usual.body_bytes),
            head_seconds=published.head_ms / MILLISECONDS,
            idle_seconds=published.idle_ms / MILLISECONDS,
            connections=usual.connections,
        )

    def _ask(self, work: Callable[[], None]) -> None:
        # Failure: this task has ended by a defect, and whoever stops the
        # node waits for its answer for ever; the process never ends, and no
        # other is started. What is asked of a loop that is only slow is done
        # later.
        asked = self.loop.submit(work)
        wait((asked,), timeout=ASK_SECONDS)
        if asked.done():
            asked.result()

    def _review_runs(self) -> None:
        self.loop.submit(self.owner.trials.review).add_done_callback(
            self._note_outcome,
        )

    def _note_outcome(self, asked: Future[None]) -> None:
        error = asked.exception()
        if error is not None:
            self._note_defect(error)

    def _start(self) -> None:
        self.callers.start()
        self.nodes.start()
        if self._figures.ready is not None:
            self._ready.start()
        self.entry.look()
        self._look()

    def _drain(self) -> None:
        self.owner.gate.drain()
        self.nodes.announce_leaving()

    def _make_question(self) -> IdentityQuestion:
        return IdentityQuestion(
            self.owner.pool,
            address=self._figures.backend,
            field=self._figures.dialect.instance,
            read_path=self._read_health_path,
            targets=self.owner.server,
        )

    def _read_health_path(self) -> str:
        part = self._around.view.current.parts.get(self._figures.service)
        return part.health_path if part else ''

    def _make_parts(self) -> EntryParts:
        figures = self._figures
        around = self._around
        statistics = FleetStatistics()
        listener = OwnerListener(
            around.view,
            statistics=statistics,
            recorder=around.recorder,
        )
        return EntryParts(
            service=figures.service,
            own_host=figures.owner.host,
            data_centre=figures.data_centre,
            loop=self.loop,
            owner=self.owner,
            local=self.local,
            peers=PeerPool(
                self.loop,
                listener=listener,
                recorder=around.recorder,
            ),
            listener=listener,
            view=around.view,
            tallies=around.tallies,
            recorder=around.recorder,
            placement=Placement(
                self.owner.identity.instance,
                data_centre=figures.data_centre,
                chooser=figures.chooser,
                statistics=statistics,
            ),
            dialect=figures.dialect,
            times=TimesGiven(),
            suspects=around.suspects,
            read_limits=self.read_limits,
            read_retries=self._share_retries,
            reserves=figures.reserves,
            hedges=figures.hedges,
        )

    def _share_retries(self) -> RetryShare:
        return share_retries(
            self._figures.bounds,
            entries=self._around.view.current.count_nodes(),
        )

    def _read_state(self) -> NodeState:
        if self.callers.draining:
            return NodeState.leaving
        return self._around.states[-1]

    def _look(self) -> None:
        records = self._around.view.current.records.values()
        port = self._figures.backend.port
        for record in records:
            if record.host == self._figures.owner.host:
                if record.backend_port == port:
                    self.owner.gate.handle_server_message(
                        SlotsPublished(slots=record.slots)
                    )
        self.loop.alarms.set(LOOK_SECONDS, self._look)

    def _find_record(self, instance: InstanceId) -> InstanceRecord | None:
        return self._around.view.current.records.get(instance)

    def _note_defect(self, error: BaseException) -> None:
        self._around.recorder.record(
            EventKind.invariant_broken,
            code=Code.invariant_broken,
            detail=repr(error),
        )

    def _note_late(self, seconds: float) -> None:
        self._around.recorder.record(
            EventKind.woke_late,
            subject='calls',
            detail=f'{seconds:.1f} s',
        )
