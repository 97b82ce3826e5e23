"""Semantic checks of an operators' file whose shape is valid."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtaildale.configuration.paths import is_rest_last, normalise_template
from wagtaildale.configuration.shapes import Finding
from wagtaildale.errors.codes import Code

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wagtaildale.configuration.model import (
        ClassEntry,
        MeshEntry,
        RouteEntry,
        ServiceEntry,
    )
    from wagtaildale.configuration.positions import KeyPath


def check_semantics(mesh: MeshEntry) -> list[Finding]:
    """Check names, targets and routes of a whole file.

    Args:
        mesh: content of the file, with a valid shape.

    Returns:
        All faults found.
    """
    return [
        *_check_names(mesh),
        *_check_targets(mesh),
        *_check_route_targets(mesh),
        *_check_conflicts(mesh),
    ]


def _list_classes(
    mesh: MeshEntry,
) -> Iterator[tuple[KeyPath, ServiceEntry, ClassEntry]]:
    for number, service in enumerate(mesh.services):
        for index, entry in enumerate(service.classes):
            yield ('services', number, 'classes', index), service, entry


def _list_routes(
    mesh: MeshEntry,
) -> Iterator[tuple[KeyPath, ServiceEntry, RouteEntry]]:
    for number, service in enumerate(mesh.services):
        for index, entry in enumerate(service.routes):
            yield ('services', number, 'routes', index), service, entry


def _list_matches(
    mesh: MeshEntry,
) -> Iterator[tuple[KeyPath, ServiceEntry, ClassEntry | RouteEntry]]:
    yield from _list_classes(mesh)
    yield from _list_routes(mesh)


def _check_names(mesh: MeshEntry) -> Iterator[Finding]:
    seen: set[str] = set()
    for number, service in enumerate(mesh.services):
        path: KeyPath = ('services', number, 'name')
        yield from _check_unique(seen, service.name, path)
    for path, owner, entry in _list_classes(mesh):
        full_name = f'{owner.name}/{entry.name}'
        yield from _check_unique(seen, full_name, (*path, 'name'))


def _check_unique(
    seen: set[str], name: str, path: KeyPath
) -> Iterator[Finding]:
    if name in seen:
        yield Finding(
            code=Code.name_twice,
            path=path,
            got=f'{name} a second time',
            expected='a name that is not used yet',
        )
    seen.add(name)


def _check_targets(mesh: MeshEntry) -> Iterator[Finding]:
    for path, _service, entry in _list_classes(mesh):
        if entry.target.within_ms > entry.deadline_ms:
            yield Finding(
                code=Code.field_invalid,
                path=(*path, 'deadline_ms'),
                got=str(entry.deadline_ms),
                expected=f'at least within_ms, {entry.target.within_ms}',
            )


def _check_route_targets(mesh: MeshEntry) -> Iterator[Finding]:
    known = {
        service.name: {entry.name for entry in service.classes}
        for service in mesh.services
    }
    for path, owner, route in _list_routes(mesh):
        service = route.service or owner.name
        if service not in known:
            yield Finding(
                code=Code.service_missing,
                path=(*path, 'service'),
                got=service,
                expected='one of ' + ', '.join(sorted(known)),
            )
        elif route.work_class not in known[service]:
            yield Finding(
                code=Code.class_missing,
                path=(*path, 'work_class'),
                got=f'{service}/{route.work_class}',
                expected='one of ' + ', '.join(sorted(known[service])),
            )


def _check_conflicts(mesh: MeshEntry) -> Iterator[Finding]:
    taken: dict[str, str] = {}
    for path, owner, entry in _list_matches(mesh):
        if not is_rest_last(entry.path):
            yield Finding(
                code=Code.field_invalid,
                path=(*path, 'path'),
                got=entry.path,
                expected='{name*} as the last segment only',
            )
        for match in _list_match_keys(entry):
            other_service = taken.get(match)
            if other_service is not None:
                yield _describe_conflict(path, match, other_service)
            taken[match] = owner.name


def _list_match_keys(entry: ClassEntry | RouteEntry) -> list[str]:
    template = normalise_template(entry.path)
    return [f'{method} {template}' for method in entry.methods]


def _describe_conflict(
    path: KeyPath,
    match: str,
    other_service: str,
) -> Finding:
    return Finding(
        code=Code.route_conflict,
        path=(*path, 'path'),
        got=match,
        expected=f'a path that service {other_service} does not match',
    )
