"""A call with its class, and the parts of the node that carry it."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.calls.attempts import RETRIES_MOST
from wagtaildale.calls.bodies import RequestBody
from wagtaildale.calls.exchange import Call
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.heads import KEY_FIELD, pass_on
from wagtaildale.calls.owner import Owner
from wagtaildale.calls.report import CallReport
from wagtaildale.errors.codes import Code
from wagtaildale.routing.choice import Chooser
from wagtaildale.routing.book import UpstreamBook
from wagtaildale.routing.table import RouteMatch
from wagtaildale.routing.view import FleetView, ViewHolder
from wagtaildale.telemetry.events import EventRecorder
from wagtaildale.telemetry.tallies import Tallies
from wagtaildale.timers.service import read_clock
from wagtaildale.types import DataCentre, RequestId

if TYPE_CHECKING:
    from wagtaildale.calls.connections import Connection
    from wagtaildale.calls.parsing import Message

REQUEST_ID_BYTES: Final = 16
MILLISECONDS: Final = 1000
DEADLINE_FIELD: Final = b'wagtaildale-deadline-ms'
DEPTH_FIELD: Final = b'wagtaildale-depth'
RETRIES_FIELD: Final = b'wagtaildale-retries'
LONGEST_KEY: Final = 200
LONGEST_NUMBER: Final = 9
DEPTH_MOST: Final = 16


class EntryParts(Struct, frozen=True, kw_only=True):
    """The parts of the node that the entry works with.

    Attributes:
        data_centre: the node's own.
        owner: of the backend server beside it.
        view: what calls are routed by.
        book: what is known of upstreams.
        tallies: counts of calls.
        recorder: gets events.
        body_bytes: largest request body.
        chooser: of upstreams.
        reserves: whether a non-idempotent request reserves a slot first.
        hedges: whether slow idempotent requests get a second attempt.
    """

    data_centre: DataCentre
    owner: Owner
    view: ViewHolder
    book: UpstreamBook
    tallies: Tallies
    recorder: EventRecorder
    body_bytes: int
    chooser: Chooser
    reserves: bool = True
    hedges: bool = True


class Routed(Struct, frozen=True, kw_only=True):
    """A call with its class.

    Attributes:
        call: the request.
        match: its class.
        view: the snapshot that the whole call goes by.
        request_id: 128 random bits, hexadecimal.
        report: says how it ended.
        idempotency_key: the caller's own, of a non-idempotent request.
        depth: how many calls led to this one.
        retries: that are left to this call and those below.
    """

    call: Call
    match: RouteMatch
    view: FleetView
    request_id: RequestId
    report: CallReport
    idempotency_key: str = ''
    depth: int = 0
    retries: int = RETRIES_MOST


def route_call(
    parts: EntryParts,
    *,
    caller: Connection,
    message: Message,
    report: CallReport,
) -> Routed:
    """Find the class of a request and prepare its call.

    Args:
        parts: of the node.
        caller: on which the request came.
        message: the request.
        report: is told the class.

    Returns:
        The call with its class.

    Raises:
        CallFailed: when there is no configuration or no route.
    """
    view = parts.view.current
    if view.table is None:
        raise CallFailed(Code.no_configuration)
    method = message.method.decode()
    path = _find_path(message.target)
    match = view.table.find(method, path)
    if match is None:
        raise CallFailed(Code.no_route, detail=f'{method} {path}')
    report.name_class(match)
    depth = _find_number(message, DEPTH_FIELD, default=0)
    if depth > DEPTH_MOST:
        # Failure: services call each other in a circle.
        raise CallFailed(Code.too_deep, detail=f'{depth} calls deep')
    call = Call(
        caller=caller,
        method=message.method,
        target=message.target,
        headers=pass_on(message),
        body=RequestBody(
            caller,
            message=message,
            limit=parts.body_bytes,
        ),
        deadline=_find_deadline(message, match),
    )
    return Routed(
        call=call,
        match=match,
        view=view,
        request_id=RequestId(os.urandom(REQUEST_ID_BYTES).hex()),
        report=report,
        idempotency_key=_find_key(message, match),
        depth=depth,
        retries=_find_number(message, RETRIES_FIELD, default=RETRIES_MOST),
    )


def _find_path(target: bytes) -> str:
    path = target.partition(b'?')[0].decode('latin-1')
    if path.startswith('/') or '://' not in path:
        return path
    return '/{0}'.format(path.partition('://')[2].partition('/')[2])


def _find_deadline(message: Message, match: RouteMatch) -> float:
    most = match.work_class.deadline_ms
    given = _find_number(message, DEADLINE_FIELD, default=most)
    return read_clock() + given / MILLISECONDS


def _find_key(message: Message, match: RouteMatch) -> str:
    if match.work_class.idempotent:
        return ''
    key = message.find(KEY_FIELD) or b''
    return key[:LONGEST_KEY].decode('latin-1')


def _find_number(message: Message, name: bytes, *, default: int) -> int:
    # What a caller asks for only ever narrows what the class allows; the
    # depth of a call is the one number that a caller may raise.
    given = message.find(name)
    if given is None or not given.isdigit():
        return default
    number = int(given[:LONGEST_NUMBER])
    return number if name == DEPTH_FIELD else min(default, number)
