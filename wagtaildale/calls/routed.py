"""A call with its class, and the parts of the node that carry it."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.calls.bodies import RequestBody
from wagtaildale.calls.exchange import Call
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.heads import pass_on
from wagtaildale.calls.owner import Owner
from wagtaildale.calls.report import CallReport
from wagtaildale.errors.codes import Code
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
    """

    data_centre: DataCentre
    owner: Owner
    view: ViewHolder
    book: UpstreamBook
    tallies: Tallies
    recorder: EventRecorder
    body_bytes: int


class Routed(Struct, frozen=True, kw_only=True):
    """A call with its class.

    Attributes:
        call: the request.
        match: its class.
        view: the snapshot that the whole call goes by.
        request_id: 128 random bits, hexadecimal.
        report: says how it ended.
    """

    call: Call
    match: RouteMatch
    view: FleetView
    request_id: RequestId
    report: CallReport


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
    )


def _find_path(target: bytes) -> str:
    path = target.partition(b'?')[0].decode('latin-1')
    if path.startswith('/') or '://' not in path:
        return path
    return '/{0}'.format(path.partition('://')[2].partition('/')[2])


def _find_deadline(message: Message, match: RouteMatch) -> float:
    milliseconds = match.work_class.deadline_ms
    given = message.find(DEADLINE_FIELD)
    if given is not None and given.isdigit():
        milliseconds = min(milliseconds, int(given))
    return read_clock() + milliseconds / MILLISECONDS
