"""The pages of the administration API: one function for each.

A page is found by its path; ``openapi`` describes the same table.
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

if TYPE_CHECKING:
    from werkzeug.wrappers import Request

    from wagtaildale.admin.fleet import FleetReporter
    from wagtaildale.node import Node

LARGEST_PROPOSAL: Final = 1_000_000
LARGEST_FINGERPRINT: Final = 256


class Context(Struct, frozen=True, kw_only=True):
    """What a page is made from."""

    node: Any
    fleet: Any
    request: Any
    scope: Scope


def show_node(context: Context) -> NodeReport:
    """Show this node's state.

    Args:
        context: of the request.

    Returns:
        The report, with the classes that the token opens.
    """
    node: Node = context.node
    return _narrow(report_node(node), context)


def show_fleet(context: Context) -> FleetReport:
    """Show the fleet as far as this node can find out.

    Args:
        context: of the request.

    Returns:
        The report.
    """
    fleet: FleetReporter = context.fleet
    request: Request = context.request
    header = request.headers.get('Authorization', '')
    return fleet.report(token=header.removeprefix(BEARER) or None)


def show_timeline(context: Context) -> Timeline:
    """Show this node's events after a stamp.

    Args:
        context: of the request.

    Returns:
        The events; operators only.
    """
    _check_whole(context)
    node: Node = context.node
    since = context.request.args.get('since', 0, type=int)
    events = node.parts.recorder.read_since(since)
    return Timeline(events=tuple(events))


def show_explanation(context: Context) -> Explanation:
    """Explain where a request would go.

    Args:
        context: of the request.

    Returns:
        The explanation; none for another team's service.
    """
    node: Node = context.node
    arguments = context.request.args
    explanation = explain_request(
        node,
        method=arguments.get('method', 'GET'),
        path=arguments.get('path', '/'),
    )
    service = explanation.work_class.partition('/')[0]
    view = node.parts.view.current
    if explanation.found and not context.scope.covers(service, view=view):
        raise Forbidden
    return explanation


def show_instances(context: Context) -> InstanceAddresses:
    """List where all nodes are administered.

    Args:
        context: of the request.

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


def check_file(context: Context) -> ProposalReport:
    """Check a proposed file, sent as the body.

    Args:
        context: of the request.

    Returns:
        Faults or changes.
    """
    node: Node = context.node
    request: Request = context.request
    if (request.content_length or 0) > LARGEST_PROPOSAL:
        raise RequestEntityTooLarge
    text = request.get_data().decode('utf-8', errors='replace')
    view = node.parts.view.current
    return check_proposal(text, view=view, scope=context.scope)


def drain_node(context: Context) -> DrainReport:
    """Begin this node's planned stop, as SIGTERM does.

    Args:
        context: of the request.

    Returns:
        What is in flight; operators only.
    """
    _check_whole(context)
    node: Node = context.node
    node.drain_requested.set()
    return DrainReport(in_flight=node.stop.count_in_flight())


def show_ready(context: Context) -> ReadyReport:
    """Show whether this node is ready; needs no token.

    Args:
        context: of the request.

    Returns:
        Its state.
    """
    node: Node = context.node
    return ReadyReport(state=node.parts.states[-1].value)


def show_suspects(context: Context) -> SuspectsReport:
    """Show the requests under which servers have ended.

    Args:
        context: of the request.

    Returns:
        The report; operators only.
    """
    _check_whole(context)
    return report_suspects(context.node)


def clear_request(context: Context) -> SuspectsReport:
    """Let the request run again whose fingerprint is sent as the body.

    Args:
        context: of the request.

    Returns:
        What was known of it; operators only.
    """
    _check_whole(context)
    request: Request = context.request
    if (request.content_length or 0) > LARGEST_FINGERPRINT:
        raise RequestEntityTooLarge
    named = request.get_data().decode('latin-1').strip()
    return clear_suspect(context.node, named)


class Page(Struct, frozen=True, kw_only=True):
    """One page of the API.

    Attributes:
        method: HTTP method.
        path: of the page.
        make: makes its document.
        shape: of the document.
        summary: for people.
        query: names of its parameters.
    """

    method: str
    path: str
    make: Callable[[Context], Struct]
    shape: type[Struct]
    summary: str
    query: tuple[str, ...] = ()


def _check_whole(context: Context) -> None:
    if not context.scope.is_whole:
        raise Forbidden


def _narrow(report: NodeReport, context: Context) -> NodeReport:
    view = context.node.parts.view.current
    classes = tuple(
        state
        for state in report.classes
        if context.scope.covers(state.name.partition('/')[0], view=view)
    )
    return structs.replace(report, classes=classes)


PAGES: Final = (
    Page(
        method='GET',
        path='/v1/node',
        make=show_node,
        shape=NodeReport,
        summary='State of this node',
    ),
    Page(
        method='GET',
        path='/v1/fleet',
        make=show_fleet,
        shape=FleetReport,
        summary='State of the fleet, each part with its age',
    ),
    Page(
        method='GET',
        path='/v1/timeline',
        make=show_timeline,
        shape=Timeline,
        summary='Events of this node after a stamp',
        query=('since',),
    ),
    Page(
        method='GET',
        path='/v1/explain',
        make=show_explanation,
        shape=Explanation,
        summary='Class and upstreams of a request',
        query=('method', 'path'),
    ),
    Page(
        method='GET',
        path='/v1/instances',
        make=show_instances,
        shape=InstanceAddresses,
        summary='Where every node is administered',
    ),
    Page(
        method='POST',
        path='/v1/check',
        make=check_file,
        shape=ProposalReport,
        summary='Faults of a proposed file, or what it would change',
    ),
    Page(
        method='POST',
        path='/v1/drain',
        make=drain_node,
        shape=DrainReport,
        summary='Begin the planned stop of this node',
    ),
    Page(
        method='GET',
        path='/v1/suspects',
        make=show_suspects,
        shape=SuspectsReport,
        summary='Requests under which servers have ended',
    ),
    Page(
        method='POST',
        path='/v1/suspects/clear',
        make=clear_request,
        shape=SuspectsReport,
        summary='Let the request with the fingerprint in the body run again',
    ),
    Page(
        method='GET',
        path='/v1/ready',
        make=show_ready,
        shape=ReadyReport,
        summary='Whether this node is ready',
    ),
)
