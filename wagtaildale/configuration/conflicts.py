"""Finds routes and classes of one version that conflict or are unusable."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from wagtaildale.configuration.paths import is_rest_last, normalise_template
from wagtaildale.configuration.qualified_names import qualify_class
from wagtaildale.errors.codes import Code
from wagtaildale.errors.faults import Fault

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from wagtaildale.configuration.model import Part, Route
    from wagtaildale.types import ServiceName


def list_routes(parts: Mapping[ServiceName, Part]) -> Iterator[Route]:
    """List the routes of a version.

    Args:
        parts: part of each service.

    Yields:
        Each route.
    """
    for part in parts.values():
        yield from part.routes


def find_conflicting_routes(
    parts: Mapping[ServiceName, Part],
) -> Iterator[Fault]:
    """Find routes that match the same requests as another one.

    Args:
        parts: part of each service.

    Yields:
        A fault for each such route, and for each path that is malformed.
    """
    used: set[tuple[str, str]] = set()
    for route in list_routes(parts):
        matches = _list_matches(route)
        if used & matches or not is_rest_last(route.path):
            yield Fault(
                code=Code.route_conflict,
                where=route.path,
                got=qualify_class(route.service, route.work_class),
                expected='a path that no other route matches',
            )
        used |= matches


def find_repeated_classes(
    parts: Mapping[ServiceName, Part],
) -> Iterator[Fault]:
    """Find names that several classes of a service have.

    Args:
        parts: part of each service.

    Yields:
        A fault for each such name.
    """
    for service, part in parts.items():
        uses = Counter(work_class.name for work_class in part.classes)
        for name, count in uses.items():
            if count > 1:
                yield Fault(
                    code=Code.name_twice,
                    where=qualify_class(service, name),
                    got=f'{count} classes of that name',
                    expected='one class of each name',
                )


def find_unusable_splits(
    parts: Mapping[ServiceName, Part],
) -> Iterator[Fault]:
    """Find split routes all of whose services have the weight 0.

    Args:
        parts: part of each service.

    Yields:
        A fault for each such route.
    """
    for route in list_routes(parts):
        if route.split and not any(share.weight for share in route.split):
            yield Fault(
                code=Code.field_invalid,
                where=route.path,
                got='a split without any weight',
                expected='a weight above 0 of one of its services',
            )


def _list_matches(route: Route) -> set[tuple[str, str]]:
    if route.host:
        return {(route.host, route.path)}
    template = normalise_template(route.path)
    return {(method, template) for method in route.methods}
