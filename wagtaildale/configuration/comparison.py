"""What changes between two operators' files, in operators' words."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Any, final

from msgspec import Struct, structs

if TYPE_CHECKING:
    from wagtaildale.configuration.model import MeshEntry


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


def compare_meshes(old: MeshEntry, *, new: MeshEntry) -> list[Change]:
    """List what changes from one file to another.

    Args:
        old: as in force.
        new: as proposed.

    Returns:
        Changes, ordered by subject; none if nothing changes.
    """
    before = _flatten(old)
    after = _flatten(new)
    changes = [
        _compare_subject(subject, before.get(subject), after.get(subject))
        for subject in sorted(before.keys() | after.keys())
        if before.get(subject) != after.get(subject)
    ]
    return [change for change in changes if not _is_implied(change, changes)]


def _flatten(mesh: MeshEntry) -> dict[str, str]:
    flat: dict[str, str] = {}
    for service in mesh.services:
        flat[service.name] = 'service'
        flat[f'{service.name}.team'] = service.team
        flat[f'{service.name}.routes'] = repr(service.routes)
        for entry in service.classes:
            subject = f'{service.name}/{entry.name}'
            flat[subject] = 'class'
            _flatten_fields(flat, subject, structs.asdict(entry))
    return flat


def _flatten_fields(
    flat: dict[str, str],
    subject: str,
    fields: dict[str, Any],
) -> None:
    for key, held in fields.items():
        if isinstance(held, Struct):
            _flatten_fields(flat, subject, structs.asdict(held))
        elif key != 'name':
            flat[f'{subject}.{key}'] = str(held)


def _compare_subject(subject: str, old: str | None, new: str | None) -> Change:
    if old is None:
        return Change(kind=ChangeKind.added, subject=subject, new=new or '')
    if new is None:
        return Change(kind=ChangeKind.removed, subject=subject, old=old)
    return Change(kind=ChangeKind.changed, subject=subject, old=old, new=new)


def _is_implied(change: Change, changes: list[Change]) -> bool:
    owner = change.subject.rpartition('.')[0]
    return any(
        other.subject == owner and other.kind is change.kind
        for other in changes
        if other.kind is not ChangeKind.changed
    )
