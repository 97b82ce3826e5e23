"""The task that carries all calls of a node: its ports and its event loop."""

from __future__ import annotations

from concurrent.futures import Future, wait
from functools import partial
from typing import TYPE_CHECKING, Final

from wagtaildale.admission.gate import Gate
from wagtaildale.admission.memory import (
    MemoryAccount,
    find_memory_limit,
    find_waiting_limit,
)
from wagtaildale.admission.state import make_admission
from wagtaildale.calls.entry.budgets import RetryLimits, compute_retry_limits
from wagtaildale.calls.entry.caller_retries import CallerRetries
from wagtaildale.calls.entry.entry import Entry
from wagtaildale.calls.entry.fleet_size import FleetSize
from wagtaildale.calls.entry.local_peer import LocalPeer
from wagtaildale.calls.entry.owner_listener import OwnerListener
from wagtaildale.calls.entry.peer_pool import PeerPool
from wagtaildale.calls.entry.routed_call import EntryParts
from wagtaildale.calls.http.callers import CallerLimits, CallerPort
from wagtaildale.calls.http.readiness import ReadinessHandler
from wagtaildale.calls.owner.identity_probe import IdentityProbe
from wagtaildale.calls.owner.owner import Owner
from wagtaildale.calls.owner.server_review import OwnServer, ServerReview
from wagtaildale.calls.owner.server_slow_start import SlowStartTracker
from wagtaildale.calls.owner.server_targets import ServerConditions
from wagtaildale.calls.owner.sessions import PeerPort
from wagtaildale.calls.owner.suspect_trials import SuspectTrials
from wagtaildale.calls.task_settings import (
    CallsTaskDependencies,
    CallsTaskSettings,
)
from wagtaildale.errors.codes import Code
from wagtaildale.reactor.loop import Loop
from wagtaildale.routing.placement import Placement
from wagtaildale.routing.statistics import FleetStatistics
from wagtaildale.telemetry.events import EventKind
from wagtaildale.timers.service import read_clock
from wagtaildale.types import NodeState

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from wagtaildale.calls.stop_schedule import StopSchedule
    from wagtaildale.configuration.model import Part, SlowStart
    from wagtaildale.errors.faults import Fault
    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.types import InstanceId, Version

MILLISECONDS: Final = 1000
# How long a caller from another thread waits for the loop to run a submitted
# function; far longer than one iteration of the loop.
SUBMIT_WAIT_SECONDS: Final = 0.5
# Part of the connections of callers that others may hold at the port for
# nodes without being one.
UNKNOWN_DIVISOR: Final = 4
READY_HEAD_BYTES: Final = 8192
READY_CONNECTIONS: Final = 64
READY_MEMORY_BYTES: Final = 4_000_000
READY_LIMITS: Final = CallerLimits(
    max_head_bytes=READY_HEAD_BYTES,
    max_body_bytes=0,
    max_connections=READY_CONNECTIONS,
)


class CallsTask:
    """Carries callers' requests and other nodes' calls in one event loop.

    Attributes:
        loop: event loop of all connections.
        memory: account of what the process holds for its callers.
        owner: owner of the local backend server.
        entry: sends callers' requests to upstreams.
        caller_port: port that callers connect to.
        peer_port: port that other nodes connect to.
        local_peer: connection of this node's entry to its own owner.
    """

    def __init__(
        self,
        settings: CallsTaskSettings,
        *,
        dependencies: CallsTaskDependencies,
    ) -> None:
        """Build the parts; ``bind`` opens the ports.

        Args:
            settings: addresses and options of calls.
            dependencies: parts shared with the rest of the node.
        """
        self._settings = settings
        self._dependencies = dependencies
        self._fleet_size = FleetSize()
        self.loop = Loop(on_defect=self._note_defect, on_late=self._note_late)
        self.memory = MemoryAccount(find_memory_limit(settings.memory_mb))
        gate = Gate(make_admission(settings.slots), alarms=self.loop.alarms)
        self.owner = Owner(
            dependencies.identity,
            service=settings.service,
            loop=self.loop,
            gate=gate,
            backend=settings.backend_address,
            invariants=dependencies.invariants,
            recorder=dependencies.recorder,
            dialect=settings.dialect,
            find_record=self._find_record,
            trials=SuspectTrials(
                dependencies.suspects,
                node=dependencies.identity.instance,
                dialect=settings.dialect,
                view=dependencies.view,
                recorder=dependencies.recorder,
            ),
            conditions=ServerConditions(
                slow_start=SlowStartTracker(
                    gate,
                    read_slow_start=self._read_slow_start,
                    bounds=settings.bounds,
                    recorder=dependencies.recorder,
                ),
                is_evacuated=self._is_evacuated,
                read_list_version=self._read_list_version,
                has_other_server=self._has_other_server,
            ),
            memory=self.memory,
            line_mbps=settings.line_mbps,
        )
        probe = self._make_identity_probe()
        self.owner.targets.denial_listeners.append(probe.send_if_due)
        self.owner.targets.slow_start.probe_listeners.append(
            probe.send_until_answered
        )
        self._review = ServerReview(
            self.owner,
            own_server=OwnServer(
                host=settings.owner_address.host,
                port=settings.backend_address.port,
                data_centre=settings.data_centre,
            ),
            view=dependencies.view,
            recorder=dependencies.recorder,
        )
        dependencies.suspects.listeners.append(self._abandon_suspected_runs)
        self.local_peer = LocalPeer(self.owner)
        parts = self._make_parts()
        self.entry = Entry(parts)
        self.owner.response_sender.other_counters.append(
            lambda: parts.peers.sent_bytes
        )
        self.caller_port = CallerPort(
            self.loop,
            request_handler=self.entry,
            read_limits=self.read_limits,
            memory=self.memory,
            max_waiting_bytes=find_waiting_limit(
                settings.memory_mb,
                max_connections=settings.limits.max_connections,
            ),
        )
        self.peer_port = PeerPort(
            self.owner,
            recorder=dependencies.recorder,
            max_unknown=settings.limits.max_connections // UNKNOWN_DIVISOR,
        )
        self.owner.load_notifier.listeners.append(
            partial(
                self.entry.parts.listener.note_load, settings.owner_address
            ),
        )
        self._readiness_port = CallerPort(
            self.loop,
            request_handler=ReadinessHandler(self._read_state),
            read_limits=lambda: READY_LIMITS,
            memory=MemoryAccount(READY_MEMORY_BYTES),
        )

    @property
    def active_calls(self) -> int:
        """Number of requests in progress."""
        owned = self.peer_port.active_calls + self.local_peer.active_calls
        return max(
            self.caller_port.active_calls,
            owned,
            len(self.owner.gate.state.running),
        )

    @property
    def has_runs(self) -> bool:
        """Whether the local backend server has requests in progress."""
        return bool(self.owner.gate.state.running)

    def bind(self) -> Result[None, Fault]:
        """Open the ports.

        Returns:
            None, or the fault that prevented it.
        """
        settings = self._settings
        bound = self.caller_port.bind(settings.entry_address).and_then(
            lambda _none: self.peer_port.bind(settings.owner_address),
        )
        if settings.ready_address is None:
            return bound
        ready = settings.ready_address
        return bound.and_then(lambda _none: self._readiness_port.bind(ready))

    def run(self) -> None:
        """Carry calls until ``stop`` is called, then close everything."""
        self._start()
        self.loop.run()
        self.caller_port.stop()
        self.peer_port.stop()
        self._readiness_port.stop()
        self.entry.parts.peers.close()
        self.owner.pool.close()
        self.loop.close()

    def stop(self) -> None:
        """Make ``run`` return."""
        self.loop.stop()

    def begin_stop(self, schedule: StopSchedule) -> None:
        """Tell callers to close their connections; thread-safe.

        From now on only what can be answered before the process ends is passed
        on.

        Args:
            schedule: when the process ends.
        """
        self._run_in_loop(partial(self._begin_stop, schedule))

    def drain(self) -> None:
        """Accept no new work; thread-safe."""
        self._run_in_loop(self._drain)

    def close_caller_port(self) -> None:
        """Accept no more connections from callers; thread-safe."""
        self._run_in_loop(self.caller_port.close_port)

    def close_peer_port(self) -> None:
        """Accept no more connections from nodes; thread-safe."""
        self._run_in_loop(self.peer_port.acceptor.close)

    def finish_peers(self) -> None:
        """Close the connections that nodes have left open; thread-safe."""
        self._run_in_loop(self.peer_port.finish)

    def close_idle(self) -> None:
        """Close idle connections of callers; thread-safe."""
        self._run_in_loop(self.caller_port.close_idle)

    def read_limits(self) -> CallerLimits:
        """Return the limits on callers that are in force.

        Returns:
            Limits of the configuration, or of the settings if it has none.
        """
        defaults = self._settings.limits
        published = self._dependencies.view.current.caller_limits
        if published is None:
            return defaults
        return CallerLimits(
            max_head_bytes=published.head_bytes,
            max_body_bytes=min(published.body_bytes, defaults.max_body_bytes),
            head_timeout_seconds=published.head_ms / MILLISECONDS,
            idle_timeout_seconds=published.idle_ms / MILLISECONDS,
            max_connections=defaults.max_connections,
        )

    def _run_in_loop(self, work: Callable[[], None]) -> None:
        # If this task has ended because of a defect, the thread that stops the
        # node must not wait for it forever: the process would never end and no
        # other would be started. A loop that is only slow runs the function
        # later.
        submitted = self.loop.submit(work)
        wait((submitted,), timeout=SUBMIT_WAIT_SECONDS)
        if submitted.done():
            submitted.result()

    def _abandon_suspected_runs(self) -> None:
        self.loop.submit(
            self.owner.trials.abandon_suspected_runs
        ).add_done_callback(
            self._note_submitted_error,
        )

    def _note_view_changed(self) -> None:
        self.loop.submit(self._review.run).add_done_callback(
            self._note_submitted_error,
        )

    def _is_evacuated(self) -> bool:
        evacuated = self._dependencies.view.current.evacuated
        return self._settings.data_centre in evacuated

    def _note_submitted_error(self, submitted: Future[None]) -> None:
        error = submitted.exception()
        if error is not None:
            self._note_defect(error)

    def _start(self) -> None:
        self.caller_port.start()
        self.peer_port.start()
        if self._settings.ready_address is not None:
            self._readiness_port.start()
        self.entry.refresh()
        self._review.run()
        self._dependencies.view.listeners.append(self._note_view_changed)

    def _begin_stop(self, schedule: StopSchedule) -> None:
        self.caller_port.drain()
        self.owner.targets.finish_check.stop_schedule = schedule
        self.entry.begin_stop(schedule)

    def _drain(self) -> None:
        self.owner.gate.drain()
        self.peer_port.announce_drain()

    def _make_identity_probe(self) -> IdentityProbe:
        return IdentityProbe(
            self.owner.pool,
            address=self._settings.backend_address,
            dialect=self._settings.dialect,
            read_health_path=self._read_health_path,
            targets=self.owner.targets,
        )

    def _read_health_path(self) -> str:
        part = self._find_part()
        return part.health_path if part else ''

    def _read_slow_start(self) -> SlowStart | None:
        part = self._find_part()
        return part.slow_start or None if part else None

    def _find_part(self) -> Part | None:
        return self._dependencies.view.current.parts.get(self._settings.service)

    def _make_parts(self) -> EntryParts:
        settings = self._settings
        dependencies = self._dependencies
        statistics = FleetStatistics()
        listener = OwnerListener(
            dependencies.view,
            statistics=statistics,
            recorder=dependencies.recorder,
        )
        return EntryParts(
            service=settings.service,
            own_host=settings.owner_address.host,
            data_centre=settings.data_centre,
            loop=self.loop,
            owner=self.owner,
            local_peer=self.local_peer,
            peers=PeerPool(
                self.loop,
                listener=listener,
                recorder=dependencies.recorder,
            ),
            listener=listener,
            view=dependencies.view,
            tallies=dependencies.tallies,
            recorder=dependencies.recorder,
            placement=Placement(
                self.owner.identity.instance,
                data_centre=settings.data_centre,
                chooser=settings.chooser,
                statistics=statistics,
            ),
            dialect=settings.dialect,
            caller_retries=CallerRetries(),
            suspects=dependencies.suspects,
            read_limits=self.read_limits,
            read_retry_limits=self._compute_retry_limits,
            reserves=settings.reserves,
            hedges=settings.hedges,
        )

    def _compute_retry_limits(self) -> RetryLimits:
        return compute_retry_limits(
            self._settings.bounds,
            entries=self._fleet_size.update(
                self._dependencies.view.current.count_nodes(),
                now=read_clock(),
            ),
        )

    def _read_state(self) -> NodeState:
        if self.caller_port.is_draining:
            return NodeState.leaving
        return self._dependencies.states[-1]

    def _read_list_version(self) -> Version:
        return self._dependencies.view.current.instances_version

    def _has_other_server(self) -> bool:
        view = self._dependencies.view.current
        own_host = self._settings.owner_address.host
        return any(
            record.host != own_host and not view.is_away(record)
            for record in view.upstreams.get(self._settings.service, ())
        )

    def _find_record(self, instance: InstanceId) -> InstanceRecord | None:
        return self._dependencies.view.current.records.get(instance)

    def _note_defect(self, error: BaseException) -> None:
        self._dependencies.recorder.record(
            EventKind.invariant_broken,
            code=Code.invariant_broken,
            detail=repr(error),
        )

    def _note_late(self, seconds: float) -> None:
        self._dependencies.recorder.record(
            EventKind.woke_late,
            subject='calls',
            detail=f'event loop of calls woke {seconds:.1f} s late',
        )
