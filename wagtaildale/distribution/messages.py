"""Messages to the distribution task, and effects of its decisions."""

from __future__ import annotations

from msgspec import Struct

from wagtaildale.distribution.wire import Body, Envelope
from wagtaildale.document.eras import Era
from wagtaildale.document.messages import Origin, Rejected
from wagtaildale.document.model import Document, Outline
from wagtaildale.errors.codes import Code
from wagtaildale.membership.decisions import AcceptedNews
from wagtaildale.membership.records import InstanceRecord
from wagtaildale.suspects.records import Suspicion
from wagtaildale.suspects.snapshots import Suspects
from wagtaildale.types import (
    Digest,
    DocumentKind,
    InstanceId,
    NodeState,
    Version,
)


class Received(Struct, frozen=True, kw_only=True):
    """A message from another node was received."""

    envelope: Envelope


class SourceRead(Struct, frozen=True, kw_only=True):
    """A version was read from the platform.

    Attributes:
        outline: names and content hashes of its entries.
        blobs: contents that the platform sent with it.
    """

    outline: Outline
    blobs: tuple[bytes, ...] = ()


class SourceConfirmed(Struct, frozen=True, kw_only=True):
    """A watch of the platform ended without a new version.

    Attributes:
        kind: kind of the document.
        version: latest version at the platform.
    """

    kind: DocumentKind
    version: Version


class SourceBlobs(Struct, frozen=True, kw_only=True):
    """Requested blobs were read from the platform.

    Attributes:
        kind: kind of the document.
        blobs: contents that the platform has.
        missing: content hashes of blobs that the platform lacks.
    """

    kind: DocumentKind
    blobs: tuple[bytes, ...]
    missing: tuple[Digest, ...] = ()


class SourceFailed(Struct, frozen=True, kw_only=True):
    """A read from the platform failed: no answer, or a refusal."""

    kind: DocumentKind
    code: Code
    detail: str


class EntryRefused(Struct, frozen=True, kw_only=True):
    """An entry at the platform cannot be decoded; the others are used.

    This is both a message to the task and the effect that logs it.
    """

    kind: DocumentKind
    code: Code
    detail: str


class SourceContradicted(Struct, frozen=True, kw_only=True):
    """Answers of the platform contradict each other; it is read again.

    This is both a message to the task and the effect that logs it.

    Attributes:
        version: version of the instance list that was read again.
        detail: what the answers differ in.
    """

    version: Version
    detail: str


class Leave(Struct, frozen=True, kw_only=True):
    """This node begins its planned stop and leaves the fleet."""


class DeadlineReached(Struct, frozen=True, kw_only=True):
    """A deadline has passed, for example that of an unacknowledged push."""


class Send(Struct, frozen=True, kw_only=True):
    """Send a message to a node."""

    to: InstanceId
    body: Body


class SendSeed(Struct, frozen=True, kw_only=True):
    """Send a message to an address from the settings."""

    address: str
    body: Body


class Watch(Struct, frozen=True, kw_only=True):
    """Watch the platform for one document, or stop watching."""

    kind: DocumentKind
    appointed: bool
    rank: int


class ReadSource(Struct, frozen=True, kw_only=True):
    """Read a document from the platform once."""

    kind: DocumentKind


class ReadBlobs(Struct, frozen=True, kw_only=True):
    """Read blobs from the platform.

    Attributes:
        kind: kind of the document.
        digests: content hashes of the blobs.
        is_first_reader: whether this node is the first reader of its data
            centre, which has a higher rate limit than the others.
    """

    kind: DocumentKind
    digests: tuple[Digest, ...]
    is_first_reader: bool


class DocumentUpdated(Struct, frozen=True, kw_only=True):
    """This node switched to a later version of a document.

    Attributes:
        before: previous version.
        document: new version.
        origin: peer that sent the last missing part; None for the platform.
    """

    before: Document
    document: Document
    origin: Origin = None


class LapsedChanged(Struct, frozen=True, kw_only=True):
    """The exceptions to the platform's instance list changed.

    Attributes:
        retained: records of instances that stay in use although the list
            lacks them.
        departed: records of instances that receive no new work although they
            are listed as live.
    """

    retained: tuple[InstanceRecord, ...]
    departed: tuple[InstanceRecord, ...] = ()


class PlatformReturned(Struct, frozen=True, kw_only=True):
    """The platform came back from an older copy.

    Attributes:
        era: era that began with the return.
        revision: revision of the first list of the era.
    """

    era: Era
    revision: int


class FleetChanged(Struct, frozen=True, kw_only=True):
    """Members of the fleet became unavailable or available again.

    Attributes:
        changes: membership news that made the difference.
    """

    changes: tuple[AcceptedNews, ...]


class StateChanged(Struct, frozen=True, kw_only=True):
    """The state of this node changed to ready or leaving."""

    state: NodeState


class VersionRefused(Struct, frozen=True, kw_only=True):
    """An offered version was rejected."""

    rejected: Rejected


class SourceChanged(Struct, frozen=True, kw_only=True):
    """Reads from the platform began to fail, recovered, or lack a part.

    Attributes:
        kind: kind of the document that was read.
        code: reason of the failure; ``ok`` after a recovery.
        detail: text for the log.
        failed_reads: number of reads that failed before a recovery.
    """

    kind: DocumentKind
    code: Code
    detail: str
    failed_reads: int = 0


class PeerBehind(Struct, frozen=True, kw_only=True):
    """A push was not acknowledged; the peer's children receive it instead."""

    peer: InstanceId
    version: Version


class SuspectsChanged(Struct, frozen=True, kw_only=True):
    """The set of suspected requests changed.

    Attributes:
        suspects: snapshot of all suspected requests.
        learned: new suspicions and clearings.
        origin: peer that sent them; None if they arose at this node.
    """

    suspects: Suspects
    learned: tuple[Suspicion, ...] = ()
    origin: Origin = None


Effect = (
    SuspectsChanged
    | Send
    | SendSeed
    | Watch
    | ReadSource
    | ReadBlobs
    | DocumentUpdated
    | LapsedChanged
    | PlatformReturned
    | FleetChanged
    | StateChanged
    | VersionRefused
    | PeerBehind
    | SourceChanged
    | EntryRefused
    | SourceContradicted
)
