"""Creates the tasks of a node and the objects that they share."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, Final

from msgspec import Struct

from wagtaildale.calls.addresses import Address
from wagtaildale.calls.http.callers import CallerLimits
from wagtaildale.calls.owner.owner import Identity
from wagtaildale.calls.task import CallsTask
from wagtaildale.calls.task_settings import (
    CallsTaskDependencies,
    CallsTaskSettings,
)
from wagtaildale.distribution.tuning import Tuning, choose_tuning
from wagtaildale.integration import (
    OWN_INTEGRATION,
    Integration,
    make_part_reader,
)
from wagtaildale.invariants import Invariants
from wagtaildale.routing.choosers import make_chooser
from wagtaildale.routing.view import ViewHolder
from wagtaildale.settings.model import MAX_SLOTS, Settings
from wagtaildale.source.pacing import RetryPacing
from wagtaildale.source.tasks import FetchTask, WatchTask
from wagtaildale.suspects.snapshots import SuspectsHolder
from wagtaildale.telemetry.tallies import Tallies
from wagtaildale.timers.inbox import Inbox
from wagtaildale.types import Incarnation, NodeState

if TYPE_CHECKING:
    from wagtaildale.telemetry.events import EventRecorder

MILLISECONDS: Final = 1000


class NodeParts(Struct, kw_only=True):
    """Objects that several tasks of a node share.

    Attributes:
        settings: settings of this daemon.
        identity: instance and incarnation of this process.
        recorder: recorder of events.
        invariants: checker of invariants.
        view: holder of the routing view that calls use.
        tallies: counters of calls.
        inbox: inbox of the distribution task.
        states: states of the node, the latest last.
        tuning: parameters of the distribution.
        integration: adapter for the platform.
        suspects: requests that may have crashed backend servers.
    """

    settings: Settings
    identity: Identity
    recorder: EventRecorder
    invariants: Invariants
    view: ViewHolder
    tallies: Tallies
    inbox: Inbox[Any]
    states: list[NodeState]
    tuning: Tuning
    integration: Integration
    suspects: SuspectsHolder


def read_incarnation() -> Incarnation:
    """Give the incarnation of a process that starts now.

    Returns:
        Milliseconds since the epoch, so that it rises with each start.
    """
    return Incarnation(round(time.time() * MILLISECONDS))


def make_parts(
    settings: Settings,
    *,
    recorder: EventRecorder,
    tuning: Tuning | None = None,
    integration: Integration = OWN_INTEGRATION,
) -> NodeParts:
    """Create the objects that the tasks of a node share.

    Args:
        settings: checked settings.
        recorder: recorder of events.
        tuning: parameters of the distribution; those named in the settings
            if left out.
        integration: adapter for the platform.

    Returns:
        The shared objects.
    """
    inbox: Inbox[Any] = Inbox()
    return NodeParts(
        settings=settings,
        identity=Identity(
            instance=settings.instance,
            incarnation=recorder.incarnation,
        ),
        recorder=recorder,
        invariants=Invariants(recorder),
        view=ViewHolder(),
        tallies=Tallies(),
        inbox=inbox,
        states=[NodeState.joining],
        tuning=tuning
        or choose_tuning(
            settings.distribution.spread,
            apply_seconds=settings.bounds.apply_seconds,
        ),
        integration=integration,
        suspects=SuspectsHolder(inbox.put),
    )


def make_watches(parts: NodeParts) -> tuple[WatchTask, ...]:
    """Create the tasks that watch the platform.

    Args:
        parts: shared objects of the node.

    Returns:
        One task for each feed.
    """
    return tuple(
        WatchTask(
            feed,
            outbox=parts.inbox,
            wait=parts.tuning.watch_seconds,
            pacing=RetryPacing(
                first_cap_seconds=parts.tuning.backoff_seconds,
                rank_cap_seconds=parts.tuning.rank_backoff_seconds,
            ),
            gather_seconds=parts.tuning.gather_seconds,
        )
        for feed in parts.integration.make_feeds(parts.settings)
    )


def make_fetch(parts: NodeParts) -> FetchTask:
    """Create the task that reads the platform on request.

    Args:
        parts: shared objects of the node.

    Returns:
        The task.
    """
    settings = parts.settings
    return FetchTask(
        parts.integration.make_feeds(settings),
        platform=make_part_reader(settings, parts.integration),
        outbox=parts.inbox,
    )


def make_calls(parts: NodeParts) -> CallsTask:
    """Create the task that carries calls.

    Args:
        parts: shared objects of the node.

    Returns:
        The task; its ports are not open yet.
    """
    settings = parts.settings
    host = settings.host
    backend = settings.backend
    limits = settings.limits
    ready = settings.ready_port
    return CallsTask(
        CallsTaskSettings(
            service=settings.service,
            data_centre=settings.data_centre,
            entry_address=Address(host, settings.entry_port),
            owner_address=Address(host, settings.owner_port),
            ready_address=None if ready is None else Address(host, ready),
            backend_address=Address(backend.host, backend.port),
            slots=backend.slots if settings.calls.admits else MAX_SLOTS,
            limits=CallerLimits(
                max_head_bytes=limits.head_bytes,
                max_body_bytes=limits.body_bytes,
                max_connections=limits.connections,
            ),
            bounds=settings.bounds,
            chooser=make_chooser(settings.calls.choice),
            dialect=parts.integration.dialect,
            reserves=settings.calls.reserves,
            hedges=settings.calls.hedges,
            line_mbps=limits.line_mbps,
            memory_mb=limits.memory_mb,
        ),
        dependencies=CallsTaskDependencies(
            identity=parts.identity,
            view=parts.view,
            tallies=parts.tallies,
            recorder=parts.recorder,
            invariants=parts.invariants,
            states=parts.states,
            suspects=parts.suspects,
        ),
    )
