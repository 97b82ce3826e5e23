"""Checks a proposed operators' file against the version in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err

from wagtaildale.admin.model import ProposalReport
from wagtaildale.configuration.comparison import compare_parts
from wagtaildale.configuration.compiled import compile_mesh, decode_parts
from wagtaildale.configuration.files import parse_mesh
from wagtaildale.types import ServiceName

if TYPE_CHECKING:
    from wagtaildale.admin.scopes import Scope
    from wagtaildale.configuration.model import Part
    from wagtaildale.routing.view import FleetView


def check_proposal(
    text: str,
    *,
    view: FleetView,
    scope: Scope,
) -> ProposalReport:
    """Check a file and list the changes that it would make.

    Args:
        text: text of the proposed file, TOML.
        view: view with the version in force.
        scope: scope of the request; a team sees the changes of its services.

    Returns:
        Faults of the file, or its changes to the version in force.
    """
    mesh = parse_mesh(text, name='proposal')
    if isinstance(mesh, Err):
        return ProposalReport(version=view.version, faults=mesh.err_value)
    compiled = compile_mesh(mesh.ok_value, version=view.version + 1)
    if isinstance(compiled, Err):
        return ProposalReport(version=view.version, faults=compiled.err_value)
    parts = decode_parts(compiled.ok_value)
    visible = _list_visible({**view.parts, **parts}, scope)
    return ProposalReport(
        version=view.version,
        changes=tuple(
            change
            for change in compare_parts(view.parts, new=parts)
            if _find_service(change.subject) in visible
        ),
    )


def _list_visible(
    parts: dict[ServiceName, Part],
    scope: Scope,
) -> set[ServiceName]:
    return {
        name
        for name, part in parts.items()
        if scope.is_unrestricted or part.team == scope.team
    }


def _find_service(subject: str) -> ServiceName:
    return ServiceName(subject.partition('/')[0].partition('.')[0])
