"""What a document store is told, and what it asks for."""

from __future__ import annotations

from msgspec import Struct

from wagtaildale.document.model import Delta, Document, Outline
from wagtaildale.errors.faults import Fault
from wagtaildale.types import Digest, InstanceId, DocumentKind, Version

# Who offered something: a peer, or nobody where it was the platform.
Origin = InstanceId | None


class DeltaOffered(Struct, frozen=True, kw_only=True):
    """A delta has come."""

    delta: Delta
    origin: Origin = None


class OutlineOffered(Struct, frozen=True, kw_only=True):
    """A version's entries have come, without blobs."""

    outline: Outline
    origin: Origin = None


class BlobsOffered(Struct, frozen=True, kw_only=True):
    """Blobs that were asked for have come."""

    kind: DocumentKind
    blobs: tuple[bytes, ...]
    origin: Origin = None


class Applied(Struct, frozen=True, kw_only=True):
    """The store has moved to a later version.

    Attributes:
        before: the version held until now.
        document: the version held from now on.
        origin: who gave what was last missing of it.
    """

    before: Document
    document: Document
    origin: Origin = None


class Rejected(Struct, frozen=True, kw_only=True):
    """An offer was not taken; the held version stays.

    Attributes:
        kind: which document.
        version: that was offered.
        fault: why; its code tells a refusal from an ignored older version.
        fresh: whether it is the first time this is said of that version.
    """

    kind: DocumentKind
    version: Version
    fault: Fault
    fresh: bool = False


class OutlineWanted(Struct, frozen=True, kw_only=True):
    """The delta's base is not held: ask for what leads here."""

    kind: DocumentKind
    origin: Origin


class BlobsWanted(Struct, frozen=True, kw_only=True):
    """These blobs are missing for a pending version."""

    kind: DocumentKind
    digests: tuple[Digest, ...]
    origin: Origin


StoreEffect = Applied | Rejected | OutlineWanted | BlobsWanted
