"""Validates a whole version.

Every route needs a service and a class of the same version, no two routes may
match the same requests, and no two classes of a service may have one name.
"""

from __future__ import annotations

from functools import partial
from itertools import chain
from typing import TYPE_CHECKING

from msgspec import UNSET, Struct, structs
from result import Err, Ok, Result

from wagtaildale.configuration.compiled import decode_part
from wagtaildale.configuration.conflicts import (
    find_conflicting_routes,
    find_repeated_classes,
    find_unusable_splits,
    list_routes,
)
from wagtaildale.configuration.model import (
    LIMITS_ENTRY,
    PIECE_SEPARATOR,
    Part,
    PublishedLimits,
)
from wagtaildale.decoding.json_documents import decode_json
from wagtaildale.errors.codes import Code
from wagtaildale.errors.faults import Fault
from wagtaildale.types import ServiceName

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from wagtaildale.decoding.failures import DecodingFailure


class Configuration(Struct, frozen=True, kw_only=True):
    """All parts of one version, validated together.

    Attributes:
        parts: part of each service.
        limits: limits on callers; None if the version has none.
    """

    parts: dict[ServiceName, Part]
    limits: PublishedLimits | None = None


def check_parts(blobs: Mapping[str, bytes]) -> Result[Configuration, Fault]:
    """Validate all parts of a version together.

    Args:
        blobs: encoded parts by service name, or encoded pieces by piece
            name.

    Returns:
        The configuration, or the first fault.
    """
    limits = _decode_limits(blobs.get(LIMITS_ENTRY))
    if isinstance(limits, Err):
        return limits
    decoded = _decode_all(blobs)
    if isinstance(decoded, Err):
        return decoded
    parts = decoded.ok_value
    faults = chain(
        _find_missing_targets(parts),
        find_conflicting_routes(parts),
        find_repeated_classes(parts),
        find_unusable_splits(parts),
    )
    first = next(faults, None)
    if first is None:
        return Ok(Configuration(parts=parts, limits=limits.ok_value))
    return Err(first)


def _decode_all(
    blobs: Mapping[str, bytes],
) -> Result[dict[ServiceName, Part], Fault]:
    pieces: dict[ServiceName, list[Part]] = {}
    for name, blob in blobs.items():
        if name == LIMITS_ENTRY:
            continue
        piece = _decode(name, blob)
        if isinstance(piece, Err):
            return piece
        pieces.setdefault(piece.ok_value.service, []).append(piece.ok_value)
    return Ok(
        {
            service: _join_pieces(service_pieces)
            for service, service_pieces in pieces.items()
        }
    )


def _decode(name: str, blob: bytes) -> Result[Part, Fault]:
    decoded = decode_part(blob)
    if isinstance(decoded, Err):
        return Err(_describe_failure(decoded.err_value, name, 'a part'))
    part = decoded.ok_value
    if part.service != name.partition(PIECE_SEPARATOR)[0]:
        expected = f'the part of {name}'
        return Err(_make_fault(Code.part_corrupt, name, part.service, expected))
    return Ok(part)


def _join_pieces(pieces: list[Part]) -> Part:
    if len(pieces) == 1:
        return pieces[0]
    return structs.replace(
        pieces[0],
        classes=tuple(chain.from_iterable(piece.classes for piece in pieces)),
        routes=tuple(chain.from_iterable(piece.routes for piece in pieces)),
        connections=max(piece.connections for piece in pieces),
        health_path=max(piece.health_path for piece in pieces),
        slow_start=next(
            (piece.slow_start for piece in pieces if piece.slow_start), UNSET
        ),
    )


def _decode_limits(
    blob: bytes | None,
) -> Result[PublishedLimits | None, Fault]:
    if blob is None:
        return Ok(None)
    decoded = decode_json(blob, PublishedLimits, code=Code.part_corrupt)
    return decoded.map_err(
        partial(
            _describe_failure, name=LIMITS_ENTRY, expected='limits on callers'
        )
    )


def _find_missing_targets(parts: Mapping[ServiceName, Part]) -> Iterator[Fault]:
    classes = {
        name: {work_class.name for work_class in part.classes}
        for name, part in parts.items()
    }
    for route in list_routes(parts):
        missing = [name for name in route.list_services() if name not in parts]
        known = classes.get(route.service)
        if missing or known is None:
            yield _make_fault(
                Code.service_missing,
                route.path,
                ', '.join(missing) or route.service,
                'a service of this version',
            )
        elif route.work_class not in known:
            yield _make_fault(
                Code.class_missing,
                route.path,
                route.work_class,
                f'a class of {route.service}',
            )


def _describe_failure(
    failure: DecodingFailure, name: str, expected: str
) -> Fault:
    return _make_fault(failure.code, name, failure.detail, expected)


def _make_fault(code: Code, where: str, got: str, expected: str) -> Fault:
    return Fault(code=code, where=where, got=got, expected=expected)
