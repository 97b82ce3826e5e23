"""Messages to a document store, and the effects that it returns."""

from __future__ import annotations

from msgspec import Struct

from wagtaildale.document.model import Delta, Document, Outline
from wagtaildale.errors.faults import Fault
from wagtaildale.types import Digest, DocumentKind, InstanceId, Version

# Peer that offered something; nothing if it was the platform.
Origin = InstanceId | None


class DeltaOffered(Struct, frozen=True, kw_only=True):
    """A delta was received."""

    delta: Delta
    origin: Origin = None


class OutlineOffered(Struct, frozen=True, kw_only=True):
    """The entries of a version were received, without the blobs."""

    outline: Outline
    origin: Origin = None


class BlobsOffered(Struct, frozen=True, kw_only=True):
    """Requested blobs were received."""

    kind: DocumentKind
    blobs: tuple[bytes, ...]
    origin: Origin = None


class Applied(Struct, frozen=True, kw_only=True):
    """The store has applied a later version.

    Attributes:
        before: version held until now.
        document: version held from now on.
        origin: sender of the last missing part.
    """

    before: Document
    document: Document
    origin: Origin = None


class Rejected(Struct, frozen=True, kw_only=True):
    """An offer was rejected; the held version stays.

    Attributes:
        kind: kind of the document.
        version: offered version.
        fault: reason; its code tells apart a version that fails or has failed
            validation, an older version, a reused version number and a delta
            with a wrong digest.
        should_report: whether the rejection is logged as a refused version;
            otherwise it is logged as an ignored one.
    """

    kind: DocumentKind
    version: Version
    fault: Fault
    should_report: bool = False


class OutlineWanted(Struct, frozen=True, kw_only=True):
    """The base of a delta is not held; the outline is to be requested."""

    kind: DocumentKind
    origin: Origin


class BlobsWanted(Struct, frozen=True, kw_only=True):
    """Blobs of a pending version are missing and to be requested."""

    kind: DocumentKind
    digests: tuple[Digest, ...]
    origin: Origin


StoreEffect = Applied | Rejected | OutlineWanted | BlobsWanted
