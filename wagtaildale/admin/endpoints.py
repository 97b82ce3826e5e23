"""Endpoints of the administration API, with a function for each.

The server routes requests by the table ``ENDPOINTS``, and the OpenAPI
description is generated from it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Final

from msgspec import Struct, structs
from werkzeug.exceptions import Forbidden, RequestEntityTooLarge

from wagtaildale.admin.model import (
    DrainReport,
    Explanation,
    FleetReport,
    InstanceAddress,
    InstanceAddresses,
    NodeReport,
    ProposalReport,
    ReadyReport,
    SuspectsReport,
    Timeline,
)
from wagtaildale.admin.proposals import check_proposal
from wagtaildale.admin.reports import explain_request, report_node
from wagtaildale.admin.scopes import BEARER, Scope
from wagtaildale.admin.suspects import clear_suspect, report_suspects
from wagtaildale.configuration.qualified_names import find_service

if TYPE_CHECKING:
    from werkzeug.wrappers import Request

    from wagtaildale.admin.fleet import FleetReporter
    from wagtaildale.node import Node

MAX_PROPOSAL_BYTES: Final = 1_000_000
MAX_FINGERPRINT_BYTES: Final = 256


class RequestContext(Struct, frozen=True, kw_only=True):
    """Data that an endpoint uses to answer a request."""

    node: Any
    fleet: Any
    request: Any
    scope: Scope


def show_node(context: RequestContext) -> NodeReport:
    """Show this node's state.

    Args:
        context: context of the request.

    Returns:
        Report with the classes that the token's scope allows.
    """
    node: Node = context.node
    return _restrict_classes(report_node(node), context)


def show_fleet(context: RequestContext) -> FleetReport:
    """Show the state of the fleet as known to this node.

    Args:
        context: context of the request.

    Returns:
        Report on the fleet.
    """
    fleet: FleetReporter = context.fleet
    request: Request = context.request
    header = request.headers.get('Authorization', '')
    return fleet.report(token=header.removeprefix(BEARER) or None)


def show_timeline(context: RequestContext) -> Timeline:
    """Show this node's events after a stamp.

    Args:
        context: context of the request.

    Returns:
        The events; only for operators.
    """
    _require_unrestricted(context)
    node: Node = context.node
    since = context.request.args.get('since', 0, type=int)
    events = node.parts.recorder.read_since(since)
    return Timeline(events=tuple(events))


def show_explanation(context: RequestContext) -> Explanation:
    """Explain where a request would go.

    Args:
        context: context of the request.

    Returns:
        The explanation.

    Raises:
        Forbidden: if the service belongs to another team.
    """
    node: Node = context.node
    arguments = context.request.args
    explanation = explain_request(
        node,
        method=arguments.get('method', 'GET'),
        path=arguments.get('path', '/'),
    )
    service = find_service(explanation.work_class)
    view = node.parts.view.current
    if explanation.found and not context.scope.covers(service, view=view):
        raise Forbidden
    return explanation


def show_instances(context: RequestContext) -> InstanceAddresses:
    """List the administration addresses of all nodes.

    Args:
        context: context of the request.

    Returns:
        The addresses.
    """
    node: Node = context.node
    view = node.parts.view.current
    return InstanceAddresses(
        instances=tuple(
            InstanceAddress(
                instance=record.instance,
                admin=f'{record.host}:{record.admin_port}',
            )
            for record in view.list_records()
        ),
    )


def check_file(context: RequestContext) -> ProposalReport:
    """Check a proposed file that is sent as the body.

    Args:
        context: context of the request.

    Returns:
        Faults of the file, or the changes that it would make.

    Raises:
        RequestEntityTooLarge: if the body is over ``MAX_PROPOSAL_BYTES``.
    """
    node: Node = context.node
    request: Request = context.request
    if (request.content_length or 0) > MAX_PROPOSAL_BYTES:
        raise RequestEntityTooLarge
    text = request.get_data().decode('utf-8', errors='replace')
    view = node.parts.view.current
    return check_proposal(text, view=view, scope=context.scope)


def drain_node(context: RequestContext) -> DrainReport:
    """Start this node's planned stop, as SIGTERM does.

    Args:
        context: context of the request.

    Returns:
        Number of requests in flight; only for operators.
    """
    _require_unrestricted(context)
    node: Node = context.node
    node.drain_requested.set()
    return DrainReport(in_flight=node.stop.count_in_flight())


def show_ready(context: RequestContext) -> ReadyReport:
    """Show whether this node is ready; needs no token.

    Args:
        context: context of the request.

    Returns:
        State of the node.
    """
    node: Node = context.node
    return ReadyReport(state=node.parts.states[-1].value)


def show_suspects(context: RequestContext) -> SuspectsReport:
    """Show the requests during which backend servers have ended.

    Args:
        context: context of the request.

    Returns:
        The report; only for operators.
    """
    _require_unrestricted(context)
    return report_suspects(context.node)


def clear_request(context: RequestContext) -> SuspectsReport:
    """Let the request run again whose fingerprint is sent as the body.

    Args:
        context: context of the request.

    Returns:
        State of the request before it was cleared; only for operators.

    Raises:
        RequestEntityTooLarge: if the body is over ``MAX_FINGERPRINT_BYTES``.
    """
    _require_unrestricted(context)
    request: Request = context.request
    if (request.content_length or 0) > MAX_FINGERPRINT_BYTES:
        raise RequestEntityTooLarge
    fingerprint_text = request.get_data().decode('latin-1').strip()
    return clear_suspect(context.node, fingerprint_text)


class Endpoint(Struct, frozen=True, kw_only=True):
    """One endpoint of the API.

    Attributes:
        method: HTTP method.
        path: path of the endpoint.
        build_document: function that builds the document of the response.
        document_type: type of that document.
        summary: description for readers.
        query: names of the query parameters.
    """

    method: str
    path: str
    build_document: Callable[[RequestContext], Struct]
    document_type: type[Struct]
    summary: str
    query: tuple[str, ...] = ()


def _require_unrestricted(context: RequestContext) -> None:
    if not context.scope.is_unrestricted:
        raise Forbidden


def _restrict_classes(
    report: NodeReport, context: RequestContext
) -> NodeReport:
    view = context.node.parts.view.current
    classes = tuple(
        state
        for state in report.classes
        if context.scope.covers(state.name.partition('/')[0], view=view)
    )
    return structs.replace(report, classes=classes)


ENDPOINTS: Final = (
    Endpoint(
        method='GET',
        path='/v1/node',
        build_document=show_node,
        document_type=NodeReport,
        summary='State of this node',
    ),
    Endpoint(
        method='GET',
        path='/v1/fleet',
        build_document=show_fleet,
        document_type=FleetReport,
        summary='State of the fleet, each part with its age',
    ),
    Endpoint(
        method='GET',
        path='/v1/timeline',
        build_document=show_timeline,
        document_type=Timeline,
        summary='Events of this node after a stamp',
        query=('since',),
    ),
    Endpoint(
        method='GET',
        path='/v1/explain',
        build_document=show_explanation,
        document_type=Explanation,
        summary='Class and upstreams of a request',
        query=('method', 'path'),
    ),
    Endpoint(
        method='GET',
        path='/v1/instances',
        build_document=show_instances,
        document_type=InstanceAddresses,
        summary='Administration addresses of all nodes',
    ),
    Endpoint(
        method='POST',
        path='/v1/check',
        build_document=check_file,
        document_type=ProposalReport,
        summary='Faults of a proposed file, or what it would change',
    ),
    Endpoint(
        method='POST',
        path='/v1/drain',
        build_document=drain_node,
        document_type=DrainReport,
        summary='Begin the planned stop of this node',
    ),
    Endpoint(
        method='GET',
        path='/v1/suspects',
        build_document=show_suspects,
        document_type=SuspectsReport,
        summary='Requests during which backend servers have ended',
    ),
    Endpoint(
        method='POST',
        path='/v1/suspects/clear',
        build_document=clear_request,
        document_type=SuspectsReport,
        summary='Let the request with the fingerprint in the body run again',
    ),
    Endpoint(
        method='GET',
        path='/v1/ready',
        build_document=show_ready,
        document_type=ReadyReport,
        summary='Whether this node is ready',
    ),
)
