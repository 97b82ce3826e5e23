"""Compiles operators' files to a manifest and parts, and decodes parts."""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b
from pathlib import Path
from typing import TYPE_CHECKING, Final

from msgspec import UNSET, Struct, json
from result import Err, Ok, Result

from wagtaildale.configuration.model import (
    ClassEntry,
    Manifest,
    Part,
    Route,
    ServiceEntry,
    WorkClass,
)
from wagtaildale.decoding.json_documents import decode_json
from wagtaildale.errors.codes import Code
from wagtaildale.errors.faults import Fault, Faults
from wagtaildale.types import ClassName, Digest, ServiceName, TeamName

if TYPE_CHECKING:
    from wagtaildale.configuration.model import MeshEntry
    from wagtaildale.decoding.failures import DecodingFailure

MANIFEST_NAME: Final = 'manifest.json'
PARTS_FOLDER: Final = 'parts'
LARGEST_PART_BYTES: Final = 1_000_000
DIGEST_BYTES: Final = 16
# Decoded parts and pieces in the cache: enough for two versions of 2,000 rules
# in pieces, or of 2,000 services.
DECODE_CACHE_SIZE: Final = 4096


class Compiled(Struct, frozen=True, kw_only=True):
    """A manifest and the parts that it names.

    Attributes:
        manifest: manifest of the version.
        parts: encoded part of each service.
    """

    manifest: Manifest
    parts: dict[ServiceName, bytes]


def hash_part(blob: bytes) -> Digest:
    """Compute the content hash that names a part.

    Args:
        blob: encoded part.

    Returns:
        BLAKE2b hash of 16 bytes, which makes collisions practically
        impossible.
    """
    return Digest(blake2b(blob, digest_size=DIGEST_BYTES).digest())


@lru_cache(maxsize=DECODE_CACHE_SIZE)
def decode_part(blob: bytes) -> Result[Part, DecodingFailure]:
    """Decode a part; decoded parts are cached by content.

    Args:
        blob: encoded part.

    Returns:
        The part, or why the bytes are not a valid part.
    """
    return decode_json(blob, Part, code=Code.part_corrupt)


def compile_mesh(
    mesh: MeshEntry,
    *,
    version: int,
) -> Result[Compiled, Faults]:
    """Compile a checked file to a manifest and its parts.

    Args:
        mesh: content of the operators' file.
        version: version to publish, greater than all published before.

    Returns:
        The manifest and parts to publish, or the faults.
    """
    if version < 1:
        return Err((_describe_version(version),))
    parts = {
        ServiceName(service.name): json.encode(_build_part(service))
        for service in mesh.services
    }
    faults = tuple(
        _describe_size(name, len(blob))
        for name, blob in parts.items()
        if len(blob) > LARGEST_PART_BYTES
    )
    if faults:
        return Err(faults)
    digests = {str(name): hash_part(part).hex() for name, part in parts.items()}
    manifest = Manifest(version=version, name=mesh.name, parts=digests)
    return Ok(Compiled(manifest=manifest, parts=parts))


def decode_parts(compiled: Compiled) -> dict[ServiceName, Part]:
    """Decode the parts of a compiled version.

    Args:
        compiled: manifest and encoded parts.

    Returns:
        The part of each service.
    """
    return {
        name: decode_part(blob).unwrap()
        for name, blob in compiled.parts.items()
    }


def write_compiled(compiled: Compiled, *, folder: Path) -> None:
    """Write a manifest and its parts, the manifest last.

    If the publisher stops half-way, no manifest names a part that is missing.

    Args:
        compiled: manifest and parts to write.
        folder: target folder; created if missing.
    """
    parts_folder = folder / PARTS_FOLDER
    parts_folder.mkdir(parents=True, exist_ok=True)
    for blob in compiled.parts.values():
        name = hash_part(blob).hex()
        (parts_folder / f'{name}.json').write_bytes(blob)
    encoded = json.encode(compiled.manifest)
    (folder / MANIFEST_NAME).write_bytes(encoded)


def _build_part(service: ServiceEntry) -> Part:
    return Part(
        service=ServiceName(service.name),
        team=TeamName(service.team),
        classes=tuple(_build_class(entry) for entry in service.classes),
        routes=(*_build_own_routes(service), *_build_further_routes(service)),
        slow_start=service.slow_start,
    )


def _build_class(entry: ClassEntry) -> WorkClass:
    return WorkClass(
        name=ClassName(entry.name),
        idempotent=entry.idempotent,
        within_ms=entry.target.within_ms,
        percent=entry.target.percent,
        deadline_ms=entry.deadline_ms,
        bulk=entry.bulk or UNSET,
    )


def _build_own_routes(service: ServiceEntry) -> tuple[Route, ...]:
    return tuple(
        Route(
            methods=entry.methods,
            path=entry.path,
            service=ServiceName(service.name),
            work_class=ClassName(entry.name),
        )
        for entry in service.classes
    )


def _build_further_routes(service: ServiceEntry) -> tuple[Route, ...]:
    return tuple(
        Route(
            methods=entry.methods,
            path=entry.path,
            service=ServiceName(entry.service or service.name),
            work_class=ClassName(entry.work_class),
        )
        for entry in service.routes
    )


def _describe_version(version: int) -> Fault:
    return Fault(
        code=Code.version_invalid,
        where='--version',
        got=str(version),
        expected='at least 1, and greater than all published versions',
    )


def _describe_size(name: ServiceName, size: int) -> Fault:
    return Fault(
        code=Code.too_large,
        where=f'service {name}',
        got=f'{size} bytes',
        expected=f'at most {LARGEST_PART_BYTES} bytes; split the service',
    )
