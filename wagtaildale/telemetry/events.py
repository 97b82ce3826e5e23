"""Typed events and the bounded ring each node keeps of them."""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import TYPE_CHECKING, Final, final

from msgspec import Struct

from wagtaildale.telemetry.clock import HybridClock, Stamp
from wagtaildale.types import Incarnation, InstanceId

if TYPE_CHECKING:
    from collections.abc import Callable

RING_SIZE: Final = 4096

# What decided something, by name.
Inputs = dict[str, str | int]


@final
class EventKind(Enum):
    """What happened."""

    node_started = 'node-started'
    node_ready = 'node-ready'
    node_leaving = 'node-leaving'
    node_stopped = 'node-stopped'
    woke_late = 'woke-late'
    version_applied = 'version-applied'
    version_refused = 'version-refused'
    version_ignored = 'version-ignored'
    instances_applied = 'instances-applied'
    entry_refused = 'entry-refused'
    lapsed_changed = 'lapsed-changed'
    platform_returned = 'platform-returned'
    reader_appointed = 'reader-appointed'
    reader_stepped_down = 'reader-stepped-down'
    source_failed = 'source-failed'
    source_recovered = 'source-recovered'
    peer_suspected = 'peer-suspected'
    peer_refuted = 'peer-refuted'
    peer_dead = 'peer-dead'
    peer_leaving = 'peer-leaving'
    push_unseen = 'push-unseen'
    message_refused = 'message-refused'
    call_answered = 'call-answered'
    call_failed = 'call-failed'
    call_refused = 'call-refused'
    call_retried = 'call-retried'
    call_redirected = 'call-redirected'
    call_hedged = 'call-hedged'
    attempt_begun = 'attempt-begun'
    connection_silent = 'connection-silent'
    connection_lost = 'connection-lost'
    run_ended = 'run-ended'
    run_refused = 'run-refused'
    upstream_ejected = 'upstream-ejected'
    upstream_restored = 'upstream-restored'
    upstream_leaving = 'upstream-leaving'
    server_denied = 'server-denied'
    server_named = 'server-named'
    server_unnamed = 'server-unnamed'
    server_ended = 'server-ended'
    server_down = 'server-down'
    server_up = 'server-up'
    server_limited = 'server-limited'
    server_unlimited = 'server-unlimited'
    server_leaving = 'server-leaving'
    server_word_refused = 'server-word-refused'
    request_suspected = 'request-suspected'
    request_cleared = 'request-cleared'
    backend_slow = 'backend-slow'
    backend_well = 'backend-well'
    settings_kept = 'settings-kept'
    invariant_broken = 'invariant-broken'


class Event(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One thing that happened on one node.

    Attributes:
        stamp: hybrid logical clock.
        node: the instance the node runs on.
        incarnation: the node's incarnation.
        kind: what happened.
        code: numbered result code, 0 where nothing is wrong.
        version: configuration version or list index it is about, else 0.
        subject: class, peer or service it is about.
        detail: anything more, for a person.
        request: id of the request that a decision touched.
        inputs: what decided it, with its age or version.
    """

    stamp: Stamp
    node: InstanceId
    incarnation: Incarnation
    kind: EventKind
    code: int = 0
    version: int = 0
    subject: str = ''
    detail: str = ''
    request: str = ''
    inputs: Inputs = {}


# Decisions that every call brings: they go to the log alone. The ring is for
# what is rarer, and would hold only a second of calls.
OF_EVERY_CALL: Final = frozenset(
    (
        EventKind.call_answered,
        EventKind.call_redirected,
        EventKind.call_hedged,
        EventKind.attempt_begun,
        EventKind.run_ended,
        EventKind.run_refused,
    ),
)


class EventRecorder:
    """Keeps the latest events in a ring and hands each to the log.

    Example:
        >>> recorder = EventRecorder(InstanceId('a'), Incarnation(1))
        >>> recorder.record(EventKind.node_started)
        >>> len(recorder.read_since(0))
        1
    """

    def __init__(
        self,
        node: InstanceId,
        incarnation: Incarnation,
        *,
        sink: Callable[[Event], None] | None = None,
    ) -> None:
        """Begin an empty ring.

        Args:
            node: the instance this node runs on.
            incarnation: of this process.
            sink: gets each event, as the log does.
        """
        self.clock = HybridClock()
        self._node = node
        self.incarnation = incarnation
        self._sink = sink
        self._ring: deque[Event] = deque(maxlen=RING_SIZE)

    def record(
        self,
        kind: EventKind,
        *,
        code: int = 0,
        version: int = 0,
        subject: str = '',
        detail: str = '',
        request: str = '',
        inputs: Inputs | None = None,
    ) -> None:
        """Record one event now.

        Args:
            kind: what happened.
            code: numbered result code, if something is wrong.
            version: the version it is about.
            subject: the request, peer or service it is about.
            detail: anything more, for a person.
            request: id of the request that a decision touched.
            inputs: what decided it, with its age or version.
        """
        event = Event(
            stamp=self.clock.tick(),
            node=self._node,
            incarnation=self.incarnation,
            kind=kind,
            code=code,
            version=version,
            subject=subject,
            detail=detail,
            request=request,
            inputs=inputs or {},
        )
        if kind not in OF_EVERY_CALL:
            self._ring.append(event)
        if self._sink is not None:
            self._sink(event)

    def read_since(self, stamp: int) -> list[Event]:
        """Give the events after a stamp, oldest first.

        Args:
            stamp: the last stamp already known; 0 for all.

        Returns:
            What the ring still holds of them.
        """
        return [event for event in tuple(self._ring) if event.stamp > stamp]
