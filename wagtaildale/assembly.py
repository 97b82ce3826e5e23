"""Makes the parts that a node is put together from."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, Final

from msgspec import Struct

from wagtaildale.admission.gate import Gate
from wagtaildale.admission.state import make_admission
from wagtaildale.calls.addresses import Address
from wagtaildale.calls.owner import Identity, Owner
from wagtaildale.calls.routed import EntryParts
from wagtaildale.distribution.tuning import TUNINGS, Tuning
from wagtaildale.invariants import Invariants
from wagtaildale.routing.book import UpstreamBook
from wagtaildale.routing.choosers import make_chooser
from wagtaildale.routing.view import ViewHolder
from wagtaildale.settings.model import MOST_SLOTS, Settings
from wagtaildale.source.http import HttpPlatform
from wagtaildale.source.tasks import WatchTask
from wagtaildale.telemetry.tallies import Tallies
from wagtaildale.timers.inbox import Inbox
from wagtaildale.types import Incarnation, Kind, NodeState

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
) -> Parts:
    """Make what the parts of a node share.

    Args:
        settings: checked.
        recorder: gets events.
        tuning: the figures of distribution; those that the settings name
            if left out.

    Returns:
        The parts.
    """
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
        tuning=tuning or TUNINGS[settings.distribution.spread],
    )


def make_watches(parts: Parts) -> dict[Kind, WatchTask]:
    """Make the tasks that watch the platform.

    Args:
        parts: of the node.

    Returns:
        By kind of document.
    """
    settings = parts.settings
    return {
        kind: WatchTask(
            kind,
            platform=HttpPlatform(settings.platform),
            outbox=parts.inbox,
            wait=parts.tuning.watch_seconds,
        )
        for kind in Kind
    }


def make_owner(parts: Parts) -> Owner:
    """Make the owner of the backend server beside the node.

    Args:
        parts: of the node.

    Returns:
        The owner, its gate open.
    """
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


def make_entry_parts(parts: Parts, *, owner: Owner) -> EntryParts:
    """Make what the entry works with.

    Args:
        parts: of the node.
        owner: of the backend server beside it.

    Returns:
        The entry's parts.
    """
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
