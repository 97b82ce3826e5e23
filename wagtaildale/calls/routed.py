"""A call with its class, and the parts of the node that carry it."""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.calls.budgets import RetryShare
from wagtaildale.calls.callers import CallerLimits
from wagtaildale.calls.dialect import Dialect
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.heads import KEY_FIELD, pass_on
from wagtaildale.calls.owner import Owner
from wagtaildale.calls.owner_listener import OwnerListener
from wagtaildale.calls.time_given import TimesGiven
from wagtaildale.calls.peer_pool import PeerPool
from wagtaildale.calls.peers import LocalPeer
from wagtaildale.errors.codes import Code
from wagtaildale.reactor.loop import Loop
from wagtaildale.routing.placement import Placement
from wagtaildale.routing.table import RETRIES_MOST, RouteMatch
from wagtaildale.routing.view import FleetView, ViewHolder
from wagtaildale.suspects.snapshots import SuspectsHolder
from wagtaildale.telemetry.events import EventRecorder
from wagtaildale.telemetry.tallies import Tallies
from wagtaildale.timers.service import read_clock
from wagtaildale.types import DataCentre, RequestId, ServiceName

if TYPE_CHECKING:
    from wagtaildale.calls.frames import HeaderPairs
    from wagtaildale.calls.parsing import Message

REQUEST_ID_BYTES: Final = 16
MILLISECONDS: Final = 1000
HOST_FIELD: Final = b'host'
LONGEST_KEY: Final = 200
LONGEST_ID: Final = 200
LONGEST_NUMBER: Final = 9
DEPTH_MOST: Final = 16
# A node holds a configuration 0.1 to 0.2 s after its start. Failure: a
# caller told to come back at once uses up its last try on a node that is
# still starting.
JOINING_SECONDS: Final = 0.2


class EntryParts(Struct, frozen=True, kw_only=True):
    """The parts of the node that the entry works with.

    Attributes:
        service: of the backend server beside the node.
        own_host: IP number of the node.
        data_centre: the node's own.
        loop: carries the calls.
        owner: of the backend server beside it.
        local: that owner, as an entry speaks to it.
        peers: connections to the other owners.
        listener: notes what owners say.
        view: what calls are routed by.
        tallies: counts of calls.
        recorder: gets events.
        placement: chooses upstreams.
        dialect: how callers are spoken to.
        times: that callers give.
        read_limits: gives what callers may send.
        read_retries: gives how many retries the entry may make.
        reserves: whether a non-idempotent request reserves a slot first.
        hedges: whether slow idempotent requests get a second attempt.
        suspects: requests under which servers have ended.
    """

    service: ServiceName
    own_host: str
    data_centre: DataCentre
    loop: Loop
    owner: Owner
    local: LocalPeer
    peers: PeerPool
    listener: OwnerListener
    view: ViewHolder
    tallies: Tallies
    recorder: EventRecorder
    placement: Placement
    dialect: Dialect
    times: TimesGiven
    suspects: SuspectsHolder
    read_limits: Callable[[], CallerLimits]
    read_retries: Callable[[], RetryShare]
    reserves: bool = True
    hedges: bool = True


class Routed(Struct, frozen=True, kw_only=True):
    """A call with its class.

    Attributes:
        match: its class.
        service: that it goes to.
        view: the snapshot that the whole call goes by.
        request_id: by which logs find it.
        headers: of the request, those that go on.
        deadline: seconds on the clock.
        due: when its target is missed, seconds on the clock.
        idempotency_key: the caller's own, of a non-idempotent request.
        depth: how many calls led to this one.
        retries: that are left to this call and those below.
    """

    match: RouteMatch
    service: ServiceName
    view: FleetView
    request_id: RequestId
    headers: HeaderPairs
    deadline: float
    due: float
    idempotency_key: str = ''
    depth: int = 0
    retries: int = RETRIES_MOST


def route_call(parts: EntryParts, message: Message) -> Routed:
    """Find the class of a request and prepare its call.

    Args:
        parts: of the node.
        message: the request.

    Returns:
        The call with its class.

    Raises:
        CallFailed: when there is no configuration or no route.
    """
    view = parts.view.current
    if view.table is None:
        raise CallFailed(
            Code.no_configuration,
            retry_after=JOINING_SECONDS,
        )
    match = _find_match(view, message)
    service = match.choose_service()
    given_ms = _find_number(
        message,
        parts.dialect.deadline_ms,
        default=match.work_class.deadline_ms,
        narrows=False,
    )
    within_ms = _find_within(parts, match, service, given_ms)
    now = read_clock()
    return Routed(
        match=match,
        service=service,
        view=view,
        request_id=_find_request_id(message, parts.dialect),
        headers=_write_headers(parts, message),
        deadline=now
        + min(given_ms, match.work_class.deadline_ms) / MILLISECONDS,
        due=now + within_ms / MILLISECONDS,
        idempotency_key=_find_key(message, match),
        depth=_find_depth(message, parts.dialect),
        retries=_find_number(
            message,
            parts.dialect.retries,
            default=match.retries,
        ),
    )


def _find_depth(message: Message, dialect: Dialect) -> int:
    depth = _find_number(message, dialect.depth, default=0, narrows=False)
    if depth > DEPTH_MOST:
        # Failure: services call each other in a circle.
        raise CallFailed(Code.too_deep, detail=f'{depth} calls deep')
    return depth


def _find_within(
    parts: EntryParts,
    match: RouteMatch,
    service: ServiceName,
    given_ms: int,
) -> int:
    within = match.work_class.within_ms
    if parts.dialect.counts_tries:
        name = f'{service}/{match.work_class.name}'
        within -= parts.times.find_used_ms(name, given_ms)
    return max(0, within)


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
    given = message.find(dialect.request_id)
    if dialect.takes_request_id and given:
        return RequestId(given[:LONGEST_ID].decode('latin-1'))
    return RequestId(os.urandom(REQUEST_ID_BYTES).hex())


def _write_headers(parts: EntryParts, message: Message) -> HeaderPairs:
    dialect = parts.dialect
    own = dialect.own_fields
    headers = [each for each in pass_on(message) if each[0] not in own]
    if dialect.caller_service is not None:
        headers.append((dialect.caller_service, parts.service.encode()))
    return tuple(headers)


def _find_key(message: Message, match: RouteMatch) -> str:
    if match.work_class.idempotent:
        return ''
    key = message.find(KEY_FIELD) or b''
    return key[:LONGEST_KEY].decode('latin-1')


def _find_number(
    message: Message,
    name: bytes | None,
    *,
    default: int,
    narrows: bool = True,
) -> int:
    # What a caller asks for only ever narrows what the class allows; the
    # depth of a call is the one number that a caller may raise.
    given = None if name is None else message.find(name)
    if given is None or not given.isdigit():
        return default
    number = int(given[:LONGEST_NUMBER])
    return min(default, number) if narrows else number
