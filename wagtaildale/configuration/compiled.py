"""Compiles operators' files to what is published, and reads it back."""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b
from pathlib import Path
from typing import TYPE_CHECKING, Final

from msgspec import Struct, json
from result import Err, Ok, Result

from wagtaildale.configuration.model import (
    ClassEntry,
    Manifest,
    Part,
    Route,
    ServiceEntry,
    WorkClass,
)
from wagtaildale.errors.codes import Code
from wagtaildale.errors.faults import Fault, Faults
from wagtaildale.types import ClassName, Digest, ServiceName, TeamName

if TYPE_CHECKING:
    from wagtaildale.configuration.model import MeshEntry

MANIFEST_NAME: Final = 'manifest.json'
PARTS_FOLDER: Final = 'parts'
LARGEST_PART: Final = 1_000_000
DIGEST_BYTES: Final = 16
# Parts and pieces whose decoded form is kept: two versions of 2,000 rules in
# pieces, or of 2,000 services.
DECODED_PARTS: Final = 4096

PartDecoder = json.Decoder(Part)


class Compiled(Struct, frozen=True, kw_only=True):
    """A manifest and the parts that it names.

    Attributes:
        manifest: the version.
        parts: by service, the part's bytes.
    """

    manifest: Manifest
    parts: dict[ServiceName, bytes]


def hash_part(blob: bytes) -> Digest:
    """Give the content hash by which a part is named.

    Args:
        blob: the part's bytes.

    Returns:
        16 bytes of BLAKE2b: enough that no two parts share it by chance.
    """
    return Digest(blake2b(blob, digest_size=DIGEST_BYTES).digest())


@lru_cache(maxsize=DECODED_PARTS)
def decode_part(blob: bytes) -> Part:
    """Decode a part; each content is decoded once.

    Args:
        blob: the part's bytes.

    Returns:
        The part.

    Raises:
        ValidationError: of msgspec, when the bytes are no part.
    """
    return PartDecoder.decode(blob)


def compile_mesh(
    mesh: MeshEntry,
    *,
    version: int,
) -> Result[Compiled, Faults]:
    """Compile a checked file to a manifest and its parts.

    Args:
        mesh: the operators' file.
        version: above each version published before.

    Returns:
        What to publish, or faults.
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
        if len(blob) > LARGEST_PART
    )
    if faults:
        return Err(faults)
    digests = {str(name): hash_part(part).hex() for name, part in parts.items()}
    manifest = Manifest(version=version, name=mesh.name, parts=digests)
    return Ok(Compiled(manifest=manifest, parts=parts))


def decode_parts(compiled: Compiled) -> dict[ServiceName, Part]:
    """Decode what was compiled.

    Args:
        compiled: manifest and parts.

    Returns:
        The parts by service.
    """
    return {name: decode_part(blob) for name, blob in compiled.parts.items()}


def write_compiled(compiled: Compiled, *, folder: Path) -> None:
    """Write a manifest and its parts, the manifest last.

    A publisher that stops half-way then leaves no manifest that names a
    part which is not there.

    Args:
        compiled: what to write.
        folder: made where it is missing.
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
    )


def _build_class(entry: ClassEntry) -> WorkClass:
    return WorkClass(
        name=ClassName(entry.name),
        idempotent=entry.idempotent,
        within_ms=entry.target.within_ms,
        percent=entry.target.percent,
        deadline_ms=entry.deadline_ms,
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
        expected='1 or more, above each version published before',
    )


def _describe_size(name: ServiceName, size: int) -> Fault:
    return Fault(
        code=Code.too_large,
        where=f'service {name}',
        got=f'{size} bytes',
        expected=f'at most {LARGEST_PART}: split the service',
    )
