"""What the administration API says."""

from __future__ import annotations

from msgspec import Struct

from wagtaildale.configuration.comparison import Change
from wagtaildale.errors.faults import Fault
from wagtaildale.telemetry.events import Event


class DocumentState(Struct, frozen=True, kw_only=True):
    """One replicated document as a node holds it.

    Attributes:
        version: held.
        digest: of it, hexadecimal.
        age_ms: since the platform was last confirmed; -1 for never.
        refused: versions that failed their check, with the reason.
    """

    version: int
    digest: str
    age_ms: int
    refused: dict[str, str]


class ControlState(Struct, frozen=True, kw_only=True):
    """What distribution has cost.

    Attributes:
        sent_bytes: to other nodes.
        received_bytes: from other nodes.
        sent: messages.
        received: messages.
        malformed: frames that were no message.
        misdirected: messages meant for another instance.
        refused_peers: connections refused for want of a key.
    """

    sent_bytes: int
    received_bytes: int
    sent: int
    received: int
    malformed: int
    misdirected: int
    refused_peers: int


class ClassState(Struct, frozen=True, kw_only=True):
    """One class of work as a node's entry has served it.

    Attributes:
        name: service and class.
        within_ms: its target; 0 if it is in force no longer.
        percent: its target.
        total: all calls.
        answered: of these, answered.
        in_time: of these, within the target.
        not_run: refused, and truly not run.
        unknown: ended with an unknown outcome.
        retried: attempts beyond the first.
        hedged: attempts begun while another was under way.
        codes: failures by code.
    """

    name: str
    within_ms: int
    percent: float
    total: int
    answered: int
    in_time: int
    not_run: int
    unknown: int
    retried: int
    hedged: int
    codes: dict[str, int]


class BackendState(Struct, frozen=True, kw_only=True):
    """The backend server beside a node, as its owner sees it."""

    slots: int
    limit: int
    running: int
    queued: int
    draining: bool


class NodeReport(Struct, frozen=True, kw_only=True):
    """The state of one node.

    Attributes:
        instance: it runs on.
        incarnation: of its process.
        service: of the backend server beside it.
        data_centre: where it stands.
        state: joining, ready or leaving.
        reader: whether it watches the platform.
        documents: by kind.
        away: instances that it takes for away.
        neighbours: with whom it swaps digests.
        control: what distribution has cost.
        classes: as its entry has served them.
        backend: the backend server beside it.
        invariants_broken: count; anything but 0 is a defect.
        cpu_seconds: processor time of the process.
        resident_bytes: memory of the process.
    """

    instance: str
    incarnation: int
    service: str
    data_centre: str
    state: str
    reader: bool
    documents: dict[str, DocumentState]
    away: tuple[str, ...]
    neighbours: tuple[str, ...]
    control: ControlState
    classes: tuple[ClassState, ...]
    backend: BackendState
    invariants_broken: int
    cpu_seconds: float
    resident_bytes: int


class Timeline(Struct, frozen=True, kw_only=True):
    """A node's events after a stamp."""

    events: tuple[Event, ...]


class Explanation(Struct, frozen=True, kw_only=True):
    """Where a request would go, and why.

    Attributes:
        method: of the request.
        path: of the request.
        version: of the configuration that says so.
        found: whether a class matches.
        work_class: service and class.
        template: the path template that matched.
        idempotent: whether it may be retried.
        within_ms: the class's target.
        percent: the class's target.
        deadline_ms: the class's deadline.
        upstreams: every listed instance of the service, with what is
            known of each.
    """

    method: str
    path: str
    version: int
    found: bool
    work_class: str = ''
    template: str = ''
    idempotent: bool = False
    within_ms: int = 0
    percent: float = 0
    deadline_ms: int = 0
    upstreams: tuple[str, ...] = ()


class ReportPart(Struct, frozen=True, kw_only=True):
    """One node's report within a fleet's.

    Attributes:
        age_ms: since the node said so.
        report: what it said.
    """

    age_ms: int
    report: NodeReport


class FleetReport(Struct, frozen=True, kw_only=True):
    """The fleet as one node could find out.

    Attributes:
        asked: the node that answers.
        parts: every node that is known, each with its age.
        unknown: listed instances that could not be asked, or not yet.
    """

    asked: str
    parts: tuple[ReportPart, ...]
    unknown: tuple[str, ...]


class ProposalReport(Struct, frozen=True, kw_only=True):
    """What came of checking a proposed file.

    Attributes:
        version: in force, which it was compared with.
        faults: what is wrong with it.
        changes: what it would change.
    """

    version: int
    faults: tuple[Fault, ...] = ()
    changes: tuple[Change, ...] = ()


class InstanceAddress(Struct, frozen=True, kw_only=True):
    """Where an instance's node is administered."""

    instance: str
    admin: str


class InstanceAddresses(Struct, frozen=True, kw_only=True):
    """All listed instances."""

    instances: tuple[InstanceAddress, ...]


class ReadyReport(Struct, frozen=True, kw_only=True):
    """Whether a node is ready."""

    state: str


class DrainReport(Struct, frozen=True, kw_only=True):
    """A planned stop has begun.

    Attributes:
        in_flight: requests that are still under way.
    """

    in_flight: int


class SuspectState(Struct, frozen=True, kw_only=True):
    """A request under which servers have ended.

    Attributes:
        fingerprint: by which it is known again, hexadecimal.
        ends: servers that ended one after the other.
        standing: ``clear`` where it runs like others, ``trial`` where it
            runs alone, ``harmful`` where it is refused.
        seen_seconds_ago: when it came last, as far as the node knows.
    """

    fingerprint: str
    ends: int
    standing: str
    seen_seconds_ago: int


class SuspectsReport(Struct, frozen=True, kw_only=True):
    """Requests under which servers have ended."""

    suspects: tuple[SuspectState, ...]
