"""What the distribution task is told, and what it does."""

from __future__ import annotations

from msgspec import Struct

from wagtaildale.distribution.wire import Body, Envelope
from wagtaildale.document.eras import Era
from wagtaildale.document.messages import Origin, Rejected
from wagtaildale.document.model import Document, Outline
from wagtaildale.errors.codes import Code
from wagtaildale.membership.decisions import NewsTaken
from wagtaildale.membership.records import InstanceRecord
from wagtaildale.suspects.snapshots import Suspects
from wagtaildale.suspects.records import Suspicion
from wagtaildale.types import Digest, InstanceId, Kind, NodeState, Version


class Received(Struct, frozen=True, kw_only=True):
    """A message from another node."""

    envelope: Envelope


class SourceRead(Struct, frozen=True, kw_only=True):
    """The platform gave a version.

    Attributes:
        outline: the entries it names.
        blobs: those that came along.
    """

    outline: Outline
    blobs: tuple[bytes, ...] = ()


class SourceConfirmed(Struct, frozen=True, kw_only=True):
    """The platform's watch ended with nothing new.

    Attributes:
        kind: which document.
        version: that the platform gave last.
    """

    kind: Kind
    version: Version


class SourceBlobs(Struct, frozen=True, kw_only=True):
    """The platform gave blobs that were asked for.

    Attributes:
        kind: of which document.
        blobs: what it had.
        missing: what it did not have.
    """

    kind: Kind
    blobs: tuple[bytes, ...]
    missing: tuple[Digest, ...] = ()


class SourceFailed(Struct, frozen=True, kw_only=True):
    """The platform did not answer, or refused."""

    kind: Kind
    code: Code
    detail: str


class EntryRefused(Struct, frozen=True, kw_only=True):
    """The platform gave something that cannot be read; the rest stands.

    Both what a reader tells and what is done about it: it is noted.
    """

    kind: Kind
    code: Code
    detail: str


class Leave(Struct, frozen=True, kw_only=True):
    """This node begins its planned stop."""


class Wake(Struct, frozen=True, kw_only=True):
    """Time has passed: resend what is due."""


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

    kind: Kind
    appointed: bool
    rank: int


class ReadSource(Struct, frozen=True, kw_only=True):
    """Read one document from the platform once."""

    kind: Kind


class ReadBlobs(Struct, frozen=True, kw_only=True):
    """Read blobs from the platform.

    Attributes:
        kind: of which document.
        digests: which blobs.
        foremost: whether this node is its data centre's first reader, who
            reads faster than the others.
    """

    kind: Kind
    digests: tuple[Digest, ...]
    foremost: bool


class Moved(Struct, frozen=True, kw_only=True):
    """A document moved to a later version here.

    Attributes:
        before: the version held until now.
        document: the version held from now on.
        origin: who gave what was last missing of it; nobody where it was
            the platform.
    """

    before: Document
    document: Document
    origin: Origin = None


class LapsedChanged(Struct, frozen=True, kw_only=True):
    """This node goes by the list with other exceptions than before.

    Attributes:
        kept: those that are in use though the list lacks them.
        held: those that take no new work though the list says so.
    """

    kept: tuple[InstanceRecord, ...]
    held: tuple[InstanceRecord, ...] = ()


class PlatformReturned(Struct, frozen=True, kw_only=True):
    """The platform has come back from an older copy.

    Attributes:
        era: that began with it.
        revision: of its first list.
    """

    era: Era
    revision: int


class FleetChanged(Struct, frozen=True, kw_only=True):
    """News changed who is away."""

    taken: tuple[NewsTaken, ...]


class StateChanged(Struct, frozen=True, kw_only=True):
    """This node joined, became ready or leaves."""

    state: NodeState


class Refused(Struct, frozen=True, kw_only=True):
    """An offered version was not taken."""

    rejected: Rejected


class SourceChanged(Struct, frozen=True, kw_only=True):
    """The platform began to fail, answers again, or lacks a part.

    Attributes:
        kind: of the document that was read.
        code: ``ok`` when it answers again.
        detail: for a person.
    """

    kind: Kind
    code: Code
    detail: str


class PeerBehind(Struct, frozen=True, kw_only=True):
    """A push was not seen: its receiver's children are served instead."""

    peer: InstanceId
    version: Version


class SuspectsChanged(Struct, frozen=True, kw_only=True):
    """Requests are suspected, or cleared, that were not before.

    Attributes:
        suspects: all of them now.
        learned: what is new.
        origin: who told; nobody where it was learned here.
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
    | Moved
    | LapsedChanged
    | PlatformReturned
    | FleetChanged
    | StateChanged
    | Refused
    | PeerBehind
    | SourceChanged
    | EntryRefused
)
