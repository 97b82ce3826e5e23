"""Typed events of a node and a bounded ring buffer of the latest ones."""

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

# Values that a decision was based on, by name.
Inputs = dict[str, str | int]


@final
class EventKind(Enum):
    """Kind of an event."""

    node_started = 'node-started'
    node_ready = 'node-ready'
    node_leaving = 'node-leaving'
    node_stopped = 'node-stopped'
    woke_late = 'woke-late'
    version_applied = 'version-applied'
    version_refused = 'version-refused'
    version_ignored = 'version-ignored'
    instances_applied = 'instances-applied'
    instance_leaving = 'instance-leaving'
    entry_refused = 'entry-refused'
    lapsed_changed = 'lapsed-changed'
    platform_returned = 'platform-returned'
    reader_appointed = 'reader-appointed'
    reader_stepped_down = 'reader-stepped-down'
    source_failed = 'source-failed'
    source_recovered = 'source-recovered'
    source_contradicted = 'source-contradicted'
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
    slow_start_began = 'slow-start-began'
    slow_start_ended = 'slow-start-ended'
    evacuation_began = 'evacuation-began'
    evacuation_ended = 'evacuation-ended'
    server_word_refused = 'server-word-refused'
    request_suspected = 'request-suspected'
    request_cleared = 'request-cleared'
    backend_slow = 'backend-slow'
    backend_well = 'backend-well'
    pace_contradicted = 'pace-contradicted'
    pace_confirmed = 'pace-confirmed'
    settings_kept = 'settings-kept'
    admin_failed = 'admin-failed'
    invariant_broken = 'invariant-broken'


class Event(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One event on one node.

    Attributes:
        stamp: time of the event on the hybrid logical clock.
        node: instance that the node runs on.
        incarnation: incarnation of the node's process.
        kind: kind of the event.
        code: numbered result code; 0 if nothing is wrong.
        version: configuration version or list index concerned, otherwise 0.
        subject: class, peer or service concerned.
        detail: further information for readers.
        request: id of the request that a decision affected.
        inputs: values that the decision was based on, with age or version.
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


# Kinds that every call produces go to the log only: together with them the
# ring buffer would cover no more than a second of calls, and the rarer events
# would be overwritten.
PER_CALL_KINDS: Final = frozenset(
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
    """Keeps the latest events in a ring buffer and passes each to the log.

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
        """Create a recorder without events.

        Args:
            node: instance that this node runs on.
            incarnation: incarnation of this process.
            sink: function that is called with each event, such as the log.
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
        """Record an event that happens now.

        Args:
            kind: kind of the event.
            code: numbered result code; 0 if nothing is wrong.
            version: version concerned.
            subject: request, peer or service concerned.
            detail: further information for readers.
            request: id of the request that a decision affected.
            inputs: values that the decision was based on, with age or
                version.
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
        if kind not in PER_CALL_KINDS:
            self._ring.append(event)
        if self._sink is not None:
            self._sink(event)

    def read_since(self, stamp: int) -> list[Event]:
        """Read the events after a stamp.

        Args:
            stamp: last stamp that the reader has seen; 0 for all events.

        Returns:
            Events after the stamp that are still in the ring buffer, oldest
            first.
        """
        return [event for event in tuple(self._ring) if event.stamp > stamp]
