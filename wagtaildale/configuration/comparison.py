"""Compares two versions in the terms of operators' files."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, final

from msgspec import UNSET, Struct, structs

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wagtaildale.configuration.model import Part
    from wagtaildale.types import ServiceName


@final
class ChangeKind(Enum):
    """What became of a service, class or key."""

    added = 'added'
    removed = 'removed'
    changed = 'changed'


class Change(Struct, frozen=True, kw_only=True):
    """One difference.

    Attributes:
        kind: what became of it.
        subject: service, ``service/class`` or ``service/class.key``.
        old: what stood there before, empty if added.
        new: what stands there now, empty if removed.
    """

    kind: ChangeKind
    subject: str
    old: str = ''
    new: str = ''


def compare_parts(
    old: Mapping[ServiceName, Part],
    *,
    new: Mapping[ServiceName, Part],
) -> list[Change]:
    """List what changes from one version to another.

    Args:
        old: parts of the version in use, by service.
        new: parts of the proposed version, by service.

    Returns:
        Changes, ordered by subject.
    """
    before = _flatten(old)
    after = _flatten(new)
    changes = [
        _compare_subject(subject, before.get(subject), after.get(subject))
        for subject in sorted(before.keys() | after.keys())
        if before.get(subject) != after.get(subject)
    ]
    whole = {
        (change.subject, change.kind)
        for change in changes
        if change.kind is not ChangeKind.changed
    }
    return [
        change
        for change in changes
        if (change.subject.rpartition('.')[0], change.kind) not in whole
    ]


def _flatten(parts: Mapping[ServiceName, Part]) -> dict[str, str]:
    flat: dict[str, str] = {}
    for name, part in parts.items():
        flat[name] = 'service'
        flat[f'{name}.team'] = part.team
        for work_class in part.classes:
            subject = f'{name}/{work_class.name}'
            flat[subject] = 'class'
            for key, setting in structs.asdict(work_class).items():
                if setting is not UNSET:
                    flat[f'{subject}.{key}'] = str(setting)
        _flatten_routes(flat, part)
    return flat


def _flatten_routes(flat: dict[str, str], part: Part) -> None:
    for route in part.routes:
        target = f'{route.service}/{route.work_class}'
        methods = ' '.join(route.methods)
        flat[f'{part.service}.route {methods} {route.path}'] = target


def _compare_subject(subject: str, old: str | None, new: str | None) -> Change:
    if old is None:
        return Change(kind=ChangeKind.added, subject=subject, new=new or '')
    if new is None:
        return Change(kind=ChangeKind.removed, subject=subject, old=old)
    return Change(kind=ChangeKind.changed, subject=subject, old=old, new=new)
