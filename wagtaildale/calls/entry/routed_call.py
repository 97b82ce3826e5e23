"""Routes a request: finds its class, service, deadline and limits."""

from __future__ import annotations

import os
from collections.abc import Callable
from hashlib import blake2b
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.calls.dialect import Dialect
from wagtaildale.calls.entry.budgets import RetryLimits
from wagtaildale.calls.entry.caller_retries import CallerRetries, CallerTry
from wagtaildale.calls.entry.local_peer import LocalPeer
from wagtaildale.calls.entry.owner_listener import OwnerListener
from wagtaildale.calls.entry.peer_pool import PeerPool
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.http.callers import CallerLimits
from wagtaildale.calls.http.heads import (
    IDEMPOTENCY_KEY_HEADER,
    select_forwarded_headers,
)
from wagtaildale.calls.owner.owner import Owner
from wagtaildale.errors.codes import Code
from wagtaildale.reactor.loop import Loop
from wagtaildale.routing.placement import Placement
from wagtaildale.routing.table import DEFAULT_RETRIES, RouteMatch
from wagtaildale.routing.view import FleetView, ViewHolder
from wagtaildale.suspects.snapshots import SuspectsHolder
from wagtaildale.telemetry.events import EventRecorder
from wagtaildale.telemetry.tallies import Tallies
from wagtaildale.timers.service import read_clock
from wagtaildale.types import DataCentre, RequestId, ServiceName

if TYPE_CHECKING:
    from wagtaildale.calls.http.parsing import Message
    from wagtaildale.calls.wire.frames import HeaderPairs

REQUEST_ID_BYTES: Final = 16
MILLISECONDS: Final = 1000
HOST_FIELD: Final = b'host'
# Longer values from callers are truncated to this size.
MAX_IDEMPOTENCY_KEY_BYTES: Final = 200
MAX_REQUEST_ID_BYTES: Final = 200
MAX_NUMBER_DIGITS: Final = 9
MAX_CALL_DEPTH: Final = 16
# Retry delay for callers while the node waits for its first configuration,
# which it usually receives 0.1 to 0.2 s after its start. After a shorter delay,
# callers may use up their last retry on a node that is still starting.
STARTUP_RETRY_SECONDS: Final = 0.2


class EntryParts(Struct, frozen=True, kw_only=True):
    """The components of the node that the entry uses.

    Attributes:
        service: service of the backend server beside the node.
        own_host: IP address of the node.
        data_centre: data centre of the node.
        loop: event loop that runs the calls.
        owner: owner of the backend server beside the node.
        local_peer: in-process connection to that owner.
        peers: connections to the other owners.
        listener: receiver of the state that owners report.
        view: configuration and instance list that calls are routed by.
        tallies: counters of calls by class.
        recorder: recorder of events.
        placement: selection of upstreams.
        dialect: names of header fields and options of the calls.
        caller_retries: failed requests of callers that may come back.
        suspects: requests during which servers crashed.
        read_limits: function that returns the limits on requests.
        read_retry_limits: function that returns the limits on the entry's
            retries.
        reserves: whether a non-idempotent request reserves a slot first.
        hedges: whether slow idempotent requests are hedged.
    """

    service: ServiceName
    own_host: str
    data_centre: DataCentre
    loop: Loop
    owner: Owner
    local_peer: LocalPeer
    peers: PeerPool
    listener: OwnerListener
    view: ViewHolder
    tallies: Tallies
    recorder: EventRecorder
    placement: Placement
    dialect: Dialect
    caller_retries: CallerRetries
    suspects: SuspectsHolder
    read_limits: Callable[[], CallerLimits]
    read_retry_limits: Callable[[], RetryLimits]
    reserves: bool = True
    hedges: bool = True


class RoutedCall(Struct, frozen=True, kw_only=True):
    """A call with its route and class.

    Attributes:
        match: matching route and class.
        service: service that is called.
        view: snapshot of configuration and instance list for the whole call.
        request_id: id of the request in logs.
        headers: request headers that are forwarded.
        deadline: time at which the call fails, seconds on the monotonic
            clock.
        latency_target_at: time at which the latency target is missed, seconds
            on the monotonic clock.
        caller_try: the caller's try, for recognising its next one.
        idempotency_key: key that the caller sent with a non-idempotent
            request; empty if none.
        depth: number of calls in the chain that led to this one.
        retries: retries left to this call and to the calls that it causes
            downstream.
    """

    match: RouteMatch
    service: ServiceName
    view: FleetView
    request_id: RequestId
    headers: HeaderPairs
    deadline: float
    latency_target_at: float
    caller_try: CallerTry
    idempotency_key: str = ''
    depth: int = 0
    retries: int = DEFAULT_RETRIES


def route_call(parts: EntryParts, message: Message) -> RoutedCall:
    """Find the route and class of a request.

    Args:
        parts: components of the node that the entry uses.
        message: the request.

    Returns:
        The call with its route and class.

    Raises:
        CallFailed: if the node holds no configuration, no route matches, or
            the chain of calls is too deep.
    """
    view = parts.view.current
    if view.table is None:
        raise CallFailed(
            Code.no_configuration,
            retry_after=STARTUP_RETRY_SECONDS,
        )
    match = _find_match(view, message)
    service = match.choose_service()
    caller_timeout_ms = _find_number(
        message,
        parts.dialect.deadline_ms,
        default=match.work_class.deadline_ms,
        lowers_only=False,
    )
    now = read_clock()
    caller_try = parts.caller_retries.recognise(
        _identify_request(message),
        timeout_seconds=caller_timeout_ms / MILLISECONDS,
        now=now,
    )
    latency_target_at = now + match.work_class.within_ms / MILLISECONDS
    if parts.dialect.deadline_spans_retries:
        latency_target_at -= caller_try.elapsed_seconds
    return RoutedCall(
        match=match,
        service=service,
        view=view,
        request_id=_find_request_id(message, parts.dialect),
        headers=_build_forwarded_headers(parts, message),
        deadline=now
        + min(caller_timeout_ms, match.work_class.deadline_ms) / MILLISECONDS,
        latency_target_at=max(now, latency_target_at),
        caller_try=caller_try,
        idempotency_key=_find_idempotency_key(message, match),
        depth=_find_depth(message, parts.dialect),
        retries=_find_number(
            message,
            parts.dialect.retries,
            default=match.retries,
        ),
    )


def _find_depth(message: Message, dialect: Dialect) -> int:
    depth = _find_number(message, dialect.depth, default=0, lowers_only=False)
    if depth > MAX_CALL_DEPTH:
        # Ends chains in which services call each other in a circle.
        raise CallFailed(
            Code.too_deep,
            detail=f'call depth {depth} exceeds the limit',
        )
    return depth


def _identify_request(message: Message) -> bytes:
    host = message.find(HOST_FIELD) or b''
    line = b' '.join((message.method, host, message.target))
    return blake2b(line, digest_size=REQUEST_ID_BYTES).digest()


def _find_match(view: FleetView, message: Message) -> RouteMatch:
    method = message.method.decode()
    path = _find_path(message.target)
    host = (message.find(HOST_FIELD) or b'').decode('latin-1')
    assert view.table is not None
    match = view.table.find(method, path, host=host)
    if match is None:
        raise CallFailed(Code.no_route, detail=f'{method} {host} {path}')
    return match


def _find_path(target: bytes) -> str:
    path = target.partition(b'?')[0].decode('latin-1')
    if path.startswith('/') or '://' not in path:
        return path
    return '/{0}'.format(path.partition('://')[2].partition('/')[2])


def _find_request_id(message: Message, dialect: Dialect) -> RequestId:
    given = message.find_all(dialect.request_id)
    if dialect.accepts_request_id and given:
        return RequestId(_check_request_id(given).decode('latin-1'))
    return RequestId(os.urandom(REQUEST_ID_BYTES).hex())


def _check_request_id(given: list[bytes]) -> bytes:
    # The answer names the id, so that a changed one would match no answer.
    if len(given) > 1 or not 0 < len(given[0]) <= MAX_REQUEST_ID_BYTES:
        raise CallFailed(
            Code.request_malformed,
            detail=(
                f'got {len(given)} request ids, the first of {len(given[0])} '
                f'bytes; expected one of 1 to {MAX_REQUEST_ID_BYTES}'
            ),
        )
    return given[0]


def _build_forwarded_headers(
    parts: EntryParts, message: Message
) -> HeaderPairs:
    dialect = parts.dialect
    rewritten = dialect.rewritten_fields
    headers = [
        each
        for each in select_forwarded_headers(
            message, kept=frozenset((HOST_FIELD, dialect.request_id))
        )
        if each[0] not in rewritten
    ]
    if dialect.caller_service is not None:
        headers.append((dialect.caller_service, parts.service.encode()))
    return tuple(headers)


def _find_idempotency_key(message: Message, match: RouteMatch) -> str:
    if match.work_class.idempotent:
        return ''
    key = message.find(IDEMPOTENCY_KEY_HEADER) or b''
    return key[:MAX_IDEMPOTENCY_KEY_BYTES].decode('latin-1')


def _find_number(
    message: Message,
    name: bytes | None,
    *,
    default: int,
    lowers_only: bool = True,
) -> int:
    # A caller may only lower what its class allows. The depth of a call is the
    # exception; a timeout is limited in ``route_call``.
    given = None if name is None else message.find(name)
    if given is None or not given.isdigit():
        return default
    number = int(given[:MAX_NUMBER_DIGITS])
    return min(default, number) if lowers_only else number
