"""Other parts of the node that the distribution task uses, and its counts."""

from __future__ import annotations

from typing import Any

from msgspec import Struct

from wagtaildale.distribution.messages import Watch
from wagtaildale.invariants import Invariants
from wagtaildale.routing.view import ViewHolder
from wagtaildale.suspects.snapshots import SuspectsHolder
from wagtaildale.telemetry.events import EventRecorder
from wagtaildale.timers.inbox import Inbox
from wagtaildale.types import DocumentKind, NodeState


class Counts(Struct, kw_only=True):
    """Message counts of the task.

    Attributes:
        messages_in: messages received and processed.
        messages_out: messages sent, ``unsent`` ones included.
        malformed: received frames that cannot be decoded.
        misdirected: received messages that are addressed to another instance.
        unsent: messages that no connection accepted.
        refused_entries: entries of the platform that were skipped, since
            they cannot be read.
        contradictions: answers of the platform that contradict others, so
            that all was read again.
        defects: messages whose handling ended by an unexpected error.
    """

    messages_in: int = 0
    messages_out: int = 0
    malformed: int = 0
    misdirected: int = 0
    unsent: int = 0
    refused_entries: int = 0
    contradictions: int = 0
    defects: int = 0


class TaskDependencies(Struct, kw_only=True):
    """Other parts of the node that the distribution task uses.

    Attributes:
        recorder: recorder of log events.
        invariants: checks that run before a version is applied.
        view: routing view that calls use.
        watches: inboxes of the watch tasks, by kind of document.
        fetches: inbox of the fetch task.
        states: states of the node so far, the current one last.
        suspects: holder of the suspected requests that calls check.
    """

    recorder: EventRecorder
    invariants: Invariants
    view: ViewHolder
    watches: dict[DocumentKind, Inbox[Watch | None]]
    fetches: Inbox[Any]
    states: list[NodeState]
    suspects: SuspectsHolder
