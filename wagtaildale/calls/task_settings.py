"""Settings of the task that carries calls, and the parts that it shares."""

from __future__ import annotations

from msgspec import Struct

from wagtaildale.calls.addresses import Address
from wagtaildale.calls.dialect import DEFAULT_DIALECT, Dialect
from wagtaildale.calls.http.callers import CallerLimits
from wagtaildale.calls.owner.owner import Identity
from wagtaildale.invariants import Invariants
from wagtaildale.routing.choice import Chooser
from wagtaildale.routing.view import ViewHolder
from wagtaildale.settings.model import MEMORY_MB, BoundSettings
from wagtaildale.suspects.snapshots import SuspectsHolder
from wagtaildale.telemetry.events import EventRecorder
from wagtaildale.telemetry.tallies import Tallies
from wagtaildale.types import DataCentre, NodeState, ServiceName


class CallsTaskDependencies(Struct, frozen=True, kw_only=True):
    """Parts that the task shares with the rest of the node.

    Attributes:
        identity: instance and incarnation of this process.
        view: configuration and instance records that calls are routed by.
        tallies: counters of calls.
        recorder: records events.
        invariants: checks that are made on each call.
        states: states of the node; the last one is current.
        suspects: requests during which backend servers have ended.
    """

    identity: Identity
    view: ViewHolder
    tallies: Tallies
    recorder: EventRecorder
    invariants: Invariants
    states: list[NodeState]
    suspects: SuspectsHolder


class CallsTaskSettings(Struct, frozen=True, kw_only=True):
    """Addresses that calls use, and how calls are carried.

    Attributes:
        service: service of the local backend server.
        data_centre: data centre of this node.
        entry_address: where the entry listens for callers.
        owner_address: where the owner listens for other nodes.
        ready_address: where the readiness endpoint listens; None disables it.
        backend_address: where the local backend server listens.
        slots: number of requests that the backend server runs at once, used
            until the instance list gives one.
        limits: limits on callers, used until a configuration has others.
        bounds: times and retry share that the platform's operators publish
            and hold nodes to.
        chooser: algorithm that chooses an upstream.
        dialect: header fields used with callers and backend servers.
        reserves: whether a non-idempotent request reserves a slot first.
        hedges: whether slow idempotent requests get a second attempt.
        line_mbps: bandwidth of the node's line, megabits per second; 0 if not
            known.
        memory_mb: memory of the process, megabytes.
    """

    service: ServiceName
    data_centre: DataCentre
    entry_address: Address
    owner_address: Address
    ready_address: Address | None = None
    backend_address: Address
    slots: int
    limits: CallerLimits
    bounds: BoundSettings = BoundSettings()
    chooser: Chooser
    dialect: Dialect = DEFAULT_DIALECT
    reserves: bool = True
    hedges: bool = True
    line_mbps: float = 0
    memory_mb: int = MEMORY_MB
