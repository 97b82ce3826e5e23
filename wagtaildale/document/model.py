"""Replicated documents: named entries, each a blob with a content hash.

The configuration and the instance list are distributed in the same way. Each
is a document of its own kind, with a version and with named entries (the part
of a service, or the record of an instance).
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


class Outline(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Names and content hashes of a document's entries, without the blobs.

    Attributes:
        kind: kind of the document.
        version: version of the document.
        entries: content hashes, by name.
        is_whole: whether a reader has compared all entries with those of the
            platform; otherwise it applied changes to what it had, and may lack
            one.
    """

    kind: DocumentKind
    version: Version
    entries: dict[str, Digest]
    is_whole: bool = False


class Delta(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Difference between one version of a document and a later one.

    Attributes:
        kind: kind of the document.
        base_version: version that the delta applies to; 0 is the empty
            document.
        base_digest: digest of the base version.
        version: version that results.
        digest: digest of the resulting version.
        changed: new and changed blobs, by name.
        removed: names of removed entries.
        is_whole: whether the resulting version was read as a whole; see
            ``Outline``.
    """

    kind: DocumentKind
    base_version: Version
    base_digest: Digest
    version: Version
    digest: Digest
    changed: dict[str, bytes]
    removed: tuple[str, ...] = ()
    is_whole: bool = False


class Document(Struct, frozen=True, kw_only=True):
    """One complete version of a document; immutable.

    Attributes:
        kind: kind of the document.
        version: version of the document.
        digest: hash over version and entries.
        entries: content hashes, by name.
        blobs: contents, by name.
        is_whole: whether it was read as a whole; see ``Outline``.
    """

    kind: DocumentKind
    version: Version
    digest: Digest
    entries: Mapping[str, Digest]
    blobs: Mapping[str, bytes]
    is_whole: bool = False


def make_empty(kind: DocumentKind) -> Document:
    """Make the empty document that a new node holds.

    Args:
        kind: kind of the document.

    Returns:
        Version 0 without entries.
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
        kind: kind of the document.
        version: version of the document.
        blobs: contents, by name.

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
    """Build a document from an outline and blobs with verified hashes.

    Args:
        outline: version and entries.
        blobs: contents, by name.

    Returns:
        The document with its digest.
    """
    return Document(
        kind=outline.kind,
        version=outline.version,
        digest=digest_outline(outline),
        entries=MappingProxyType(outline.entries),
        blobs=MappingProxyType(dict(blobs)),
        is_whole=outline.is_whole,
    )


def digest_outline(outline: Outline) -> Digest:
    """Hash the version and entries of a document.

    Args:
        outline: version and entries.

    Returns:
        16-byte digest; empty for the empty document.
    """
    if outline.version == NO_VERSION:
        return NO_DIGEST
    hasher = blake2b(digest_size=DIGEST_BYTES)
    hasher.update(outline.version.to_bytes(VERSION_BYTES))
    for name in sorted(outline.entries):
        hasher.update(name.encode())
        hasher.update(outline.entries[name])
    return Digest(hasher.digest())


def is_superseded(
    held: Document, *, version: Version, digest: Digest, is_whole: bool
) -> bool:
    """Tell whether an offered version replaces the held one.

    Of two instance lists of one version, the one that was read as a whole is
    right: the other one lacks a change that its reader was never told. Numbers
    of configurations are given by operators, who may have used one twice.

    Args:
        held: version in force.
        version: offered version.
        digest: digest of the offered version.
        is_whole: whether the offered version was read as a whole.

    Returns:
        Whether the offered version is later, or corrects the held one.
    """
    if version != held.version:
        return version > held.version
    if held.kind is not DocumentKind.instances or digest == held.digest:
        return False
    return is_whole and not held.is_whole


def make_outline(document: Document) -> Outline:
    """Make the outline of a document.

    Args:
        document: complete document.

    Returns:
        Version and entries without the blobs.
    """
    return Outline(
        kind=document.kind,
        version=document.version,
        entries=dict(document.entries),
        is_whole=document.is_whole,
    )


def make_delta(base: Document, *, target: Document) -> Delta:
    """Compute the delta between two versions.

    Args:
        base: earlier version.
        target: later version.

    Returns:
        The delta from ``base`` to ``target``.
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
        is_whole=target.is_whole,
    )


def apply_delta(base: Document, *, delta: Delta) -> Document:
    """Apply a delta, without checking the resulting digest.

    The caller compares the digest of the result with that of the delta.

    Args:
        base: version that the delta applies to.
        delta: changed and removed entries.

    Returns:
        The resulting version, with a digest computed from its entries.
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
        Outline(
            kind=delta.kind,
            version=delta.version,
            entries=entries,
            is_whole=delta.is_whole,
        ),
        blobs=blobs,
    )
