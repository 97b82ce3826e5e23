"""What surrounds the distribution task: other parts, and its counts."""

from __future__ import annotations

from typing import Any

from msgspec import Struct

from wagtaildale.distribution.messages import Watch
from wagtaildale.invariants import Invariants
from wagtaildale.routing.view import ViewHolder
from wagtaildale.suspects.snapshots import SuspectsHolder
from wagtaildale.telemetry.events import EventRecorder
from wagtaildale.timers.inbox import Inbox
from wagtaildale.types import Kind, NodeState


class Counts(Struct, kw_only=True):
    """What the task has counted.

    Attributes:
        messages_in: messages taken.
        messages_out: messages sent.
        malformed: frames that were no message.
        misdirected: messages meant for another instance.
        unsent: messages that no connection took.
    """

    messages_in: int = 0
    messages_out: int = 0
    malformed: int = 0
    misdirected: int = 0
    unsent: int = 0


class Surroundings(Struct, kw_only=True):
    """The other parts of the node that this task talks to.

    Attributes:
        recorder: gets events.
        invariants: are checked when a version is swapped in.
        view: what calls are routed by.
        watches: inboxes of the watch tasks.
        fetches: inbox of the fetch task.
        states: the node's state, the latest last.
        suspects: which requests calls take for suspected.
    """

    recorder: EventRecorder
    invariants: Invariants
    view: ViewHolder
    watches: dict[Kind, Inbox[Watch | None]]
    fetches: Inbox[Any]
    states: list[NodeState]
    suspects: SuspectsHolder
