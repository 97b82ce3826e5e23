"""Makes the parts that a node is put together from."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, Final

from msgspec import Struct

from wagtaildale.calls.addresses import Address
from wagtaildale.calls.callers import CallerLimits
from wagtaildale.calls.owner import Identity
from wagtaildale.calls.task import CallFigures, CallsTask, CallSurroundings
from wagtaildale.distribution.tuning import TUNINGS, Tuning
from wagtaildale.integration import (
    OWN_INTEGRATION,
    Integration,
    make_part_reader,
)
from wagtaildale.invariants import Invariants
from wagtaildale.routing.choosers import make_chooser
from wagtaildale.routing.view import ViewHolder
from wagtaildale.settings.model import MOST_SLOTS, Settings
from wagtaildale.source.tasks import FetchTask, WatchTask
from wagtaildale.suspects.snapshots import SuspectsHolder
from wagtaildale.telemetry.tallies import Tallies
from wagtaildale.timers.inbox import Inbox
from wagtaildale.types import Incarnation, NodeState

if TYPE_CHECKING:
    from wagtaildale.telemetry.events import EventRecorder

MILLISECONDS: Final = 1000


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
        tuning: the figures of distribution.
        integration: how the platform is met.
        suspects: requests under which servers have ended.
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
    """Read the incarnation of a process that starts now.

    Returns:
        Milliseconds since the epoch: it rises with each start.
    """
    return Incarnation(round(time.time() * MILLISECONDS))


def make_parts(
    settings: Settings,
    *,
    recorder: EventRecorder,
    tuning: Tuning | None = None,
    integration: Integration = OWN_INTEGRATION,
) -> Parts:
    """Make what the parts of a node share.

    Args:
        settings: checked.
        recorder: gets events.
        tuning: the figures of distribution; those that the settings name
            if left out.
        integration: how the platform is met.

    Returns:
        The parts.
    """
    inbox: Inbox[Any] = Inbox()
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
        inbox=inbox,
        states=[NodeState.joining],
        tuning=tuning or TUNINGS[settings.distribution.spread],
        integration=integration,
        suspects=SuspectsHolder(inbox.put),
    )


def make_watches(parts: Parts) -> tuple[WatchTask, ...]:
    """Make the tasks that watch the platform.

    Args:
        parts: of the node.

    Returns:
        One for each feed.
    """
    return tuple(
        WatchTask(
            feed,
            outbox=parts.inbox,
            wait=parts.tuning.watch_seconds,
            first_cap=parts.tuning.backoff_seconds,
            gather=parts.tuning.gather_seconds,
        )
        for feed in parts.integration.make_feeds(parts.settings)
    )


def make_fetch(parts: Parts) -> FetchTask:
    """Make the task that reads the platform when asked.

    Args:
        parts: of the node.

    Returns:
        The task.
    """
    settings = parts.settings
    return FetchTask(
        parts.integration.make_feeds(settings),
        platform=make_part_reader(settings, parts.integration),
        outbox=parts.inbox,
    )


def make_calls(parts: Parts) -> CallsTask:
    """Make the task that carries calls.

    Args:
        parts: of the node.

    Returns:
        The task, its ports not yet open.
    """
    settings = parts.settings
    host = settings.host
    backend = settings.backend
    limits = settings.limits
    ready = settings.ready_port
    return CallsTask(
        CallFigures(
            service=settings.service,
            data_centre=settings.data_centre,
            entry=Address(host, settings.entry_port),
            owner=Address(host, settings.owner_port),
            ready=None if ready is None else Address(host, ready),
            backend=Address(backend.host, backend.port),
            slots=backend.slots if settings.calls.admits else MOST_SLOTS,
            limits=CallerLimits(
                head_bytes=limits.head_bytes,
                body_bytes=limits.body_bytes,
                connections=limits.connections,
            ),
            bounds=settings.bounds,
            chooser=make_chooser(settings.calls.choice),
            dialect=parts.integration.dialect,
            reserves=settings.calls.reserves,
            hedges=settings.calls.hedges,
        ),
        around=CallSurroundings(
            identity=parts.identity,
            view=parts.view,
            tallies=parts.tallies,
            recorder=parts.recorder,
            invariants=parts.invariants,
            states=parts.states,
            suspects=parts.suspects,
        ),
    )
