"""A replicated document: named entries, each a blob with a content hash.

The configuration and the instance list spread by the same means. Each is a
document of one kind: a version, and entries by name (a service's part, an
instance's record).
"""

from __future__ import annotations

from hashlib import blake2b
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.configuration.compiled import DIGEST_BYTES, hash_part
from wagtaildale.types import NO_VERSION, Digest, DocumentKind, Version

if TYPE_CHECKING:
    from collections.abc import Mapping

VERSION_BYTES: Final = 8
NO_DIGEST: Final = Digest(b'')


class Outline(Struct, frozen=True, kw_only=True):
    """A document's entries by content hash, without the blobs.

    Attributes:
        kind: which document.
        version: its version.
        entries: by name, the content hash.
    """

    kind: DocumentKind
    version: Version
    entries: dict[str, Digest]


class Delta(Struct, frozen=True, kw_only=True):
    """What turns one version of a document into a later one.

    Attributes:
        kind: which document.
        base_version: the version it starts from; 0 is the empty document.
        base_digest: that version's digest.
        version: the version it gives.
        digest: that version's digest.
        changed: by name, the new blob.
        removed: names that are gone.
    """

    kind: DocumentKind
    base_version: Version
    base_digest: Digest
    version: Version
    digest: Digest
    changed: dict[str, bytes]
    removed: tuple[str, ...] = ()


class Document(Struct, frozen=True, kw_only=True):
    """One whole version; never changed once made.

    Attributes:
        kind: which document.
        version: its version.
        digest: hash over version and entries.
        entries: by name, the content hash.
        blobs: by name, the bytes.
    """

    kind: DocumentKind
    version: Version
    digest: Digest
    entries: Mapping[str, Digest]
    blobs: Mapping[str, bytes]


def make_empty(kind: DocumentKind) -> Document:
    """Make the document that a new node holds.

    Args:
        kind: which document.

    Returns:
        Version 0, no entries.
    """
    return Document(
        kind=kind,
        version=NO_VERSION,
        digest=NO_DIGEST,
        entries=MappingProxyType({}),
        blobs=MappingProxyType({}),
    )


def make_document(
    kind: DocumentKind,
    *,
    version: Version,
    blobs: Mapping[str, bytes],
) -> Document:
    """Make a document from its blobs.

    Args:
        kind: which document.
        version: its version.
        blobs: by name, the bytes.

    Returns:
        The document with its digest.
    """
    entries = {name: hash_part(blob) for name, blob in blobs.items()}
    return assemble_document(
        Outline(kind=kind, version=version, entries=entries),
        blobs=blobs,
    )


def assemble_document(
    outline: Outline,
    *,
    blobs: Mapping[str, bytes],
) -> Document:
    """Join an outline with blobs whose hashes were checked before.

    Args:
        outline: the entries.
        blobs: by name, the bytes.

    Returns:
        The document with its digest.
    """
    return Document(
        kind=outline.kind,
        version=outline.version,
        digest=digest_outline(outline),
        entries=MappingProxyType(outline.entries),
        blobs=MappingProxyType(dict(blobs)),
    )


def digest_outline(outline: Outline) -> Digest:
    """Hash version and entries of a document.

    Args:
        outline: the entries.

    Returns:
        16 bytes; empty for the empty document.
    """
    if outline.version == NO_VERSION:
        return NO_DIGEST
    state = blake2b(digest_size=DIGEST_BYTES)
    state.update(outline.version.to_bytes(VERSION_BYTES))
    for name in sorted(outline.entries):
        state.update(name.encode())
        state.update(outline.entries[name])
    return Digest(state.digest())


def make_outline(document: Document) -> Outline:
    """Give a document's entries without the blobs.

    Args:
        document: whole.

    Returns:
        Its outline.
    """
    return Outline(
        kind=document.kind,
        version=document.version,
        entries=dict(document.entries),
    )


def make_delta(base: Document, *, target: Document) -> Delta:
    """Find what turns one version into another.

    Args:
        base: the earlier version.
        target: the later version.

    Returns:
        The delta.
    """
    return Delta(
        kind=target.kind,
        base_version=base.version,
        base_digest=base.digest,
        version=target.version,
        digest=target.digest,
        changed={
            name: target.blobs[name]
            for name, digest in target.entries.items()
            if base.entries.get(name) != digest
        },
        removed=tuple(base.entries.keys() - target.entries.keys()),
    )


def apply_delta(base: Document, *, delta: Delta) -> Document:
    """Apply a delta; the caller compares the digest with the delta's.

    Args:
        base: the version that the delta starts from.
        delta: what changes.

    Returns:
        The later version, by its own digest.
    """
    entries = dict(base.entries)
    blobs = dict(base.blobs)
    for name in delta.removed:
        entries.pop(name, None)
        blobs.pop(name, None)
    for name, blob in delta.changed.items():
        entries[name] = hash_part(blob)
        blobs[name] = blob
    return assemble_document(
        Outline(kind=delta.kind, version=delta.version, entries=entries),
        blobs=blobs,
    )
