"""Documents of the administration API."""

from __future__ import annotations

from msgspec import Struct

from wagtaildale.configuration.comparison import Change
from wagtaildale.errors.faults import Fault
from wagtaildale.telemetry.events import Event


class DocumentState(Struct, frozen=True, kw_only=True):
    """State of a replicated document on a node.

    Attributes:
        version: version that the node holds.
        digest: digest of that version, hexadecimal.
        age_ms: time since the version was last confirmed by the platform; -1
            if it was never confirmed.
        refused: versions that failed validation, with the reason.
    """

    version: int
    digest: str
    age_ms: int
    refused: dict[str, str]


class ControlState(Struct, frozen=True, kw_only=True):
    """Counts of the traffic of distribution.

    Attributes:
        sent_bytes: bytes sent to other nodes.
        received_bytes: bytes received from other nodes.
        sent: number of messages sent.
        received: number of messages received.
        malformed: number of frames that could not be decoded.
        misdirected: number of messages for another instance.
        refused_peers: number of connections refused because of a missing
            key.
    """

    sent_bytes: int
    received_bytes: int
    sent: int
    received: int
    malformed: int
    misdirected: int
    refused_peers: int


class ClassState(Struct, frozen=True, kw_only=True):
    """Counts of the calls of one class that a node's entry has served.

    Attributes:
        name: service and class, separated by a slash.
        within_ms: time target of the class; 0 if the class is no longer in
            force.
        percent: percentage of calls that should meet the time target.
        total: number of all calls.
        answered: number of calls answered, in time or later.
        in_time: number of calls answered within the time target.
        not_run: number of calls refused that certainly did not run.
        unknown: number of calls that ended with an unknown outcome.
        retried: number of attempts after the first one of a call.
        hedged: number of attempts started while another one was in progress.
        codes: numbers of failures by result code.
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
    """State of the backend server beside a node, as known to its owner.

    Attributes:
        slots: concurrent requests that the backend server accepts.
        limit: current concurrency limit; at most ``slots``.
        running: number of requests that run.
        queued: number of requests that wait for a slot.
        draining: whether new requests are refused.
    """

    slots: int
    limit: int
    running: int
    queued: int
    draining: bool


class OutgoingLineState(Struct, frozen=True, kw_only=True):
    """State of the line out of a node, as its owner reports it to entries.

    Attributes:
        wait_ms: milliseconds until the large responses that wait, and those of
            the requests that run, have left.
        backlog_bytes: bytes of these responses.
    """

    wait_ms: int
    backlog_bytes: int


class NodeReport(Struct, frozen=True, kw_only=True):
    """State of one node.

    Attributes:
        instance: instance that the node runs on.
        incarnation: incarnation of its process.
        service: service of the backend server beside it.
        data_centre: data centre of the node.
        state: joining, ready or leaving.
        reader: whether the node watches the platform.
        documents: states of the replicated documents by kind.
        away: instances that the node considers unreachable.
        evacuated: data centres that the node knows to be evacuated.
        neighbours: nodes with which it exchanges digests.
        control: counts of the traffic of distribution.
        classes: counts of the calls that its entry has served, by class.
        backend: state of the backend server beside it.
        invariants_broken: number of broken invariants; any other value than
            0 is a defect.
        cpu_seconds: processor time of the process.
        resident_bytes: resident memory of the process.
        outgoing_line: state of the line out of the node; null if its
            bandwidth is not known or no class is bulk.
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
    evacuated: tuple[str, ...] = ()
    outgoing_line: OutgoingLineState | None = None


class Timeline(Struct, frozen=True, kw_only=True):
    """Events of a node after a stamp.

    Attributes:
        events: events, oldest first.
    """

    events: tuple[Event, ...]


class Explanation(Struct, frozen=True, kw_only=True):
    """Explanation of where a request would go.

    Attributes:
        method: method of the request.
        path: path of the request.
        version: version of the configuration that was used.
        found: whether a class matches the request.
        work_class: service and class, separated by a slash.
        template: path template that matched.
        idempotent: whether the request may be retried.
        bulk: whether responses of the class are large.
        within_ms: time target of the class.
        percent: percentage of calls that should meet the time target.
        deadline_ms: deadline of the class.
        upstreams: description of each listed instance of the service.
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
    bulk: bool = False


class ReportPart(Struct, frozen=True, kw_only=True):
    """Report of one node within the report on the fleet.

    Attributes:
        age_ms: time since the node sent its report.
        report: report of the node.
    """

    age_ms: int
    report: NodeReport


class FleetReport(Struct, frozen=True, kw_only=True):
    """State of the fleet as known to one node.

    Attributes:
        asked: instance of the node that answers.
        parts: reports of the nodes that have been polled, each with its age.
        unknown: listed instances without a report, because the node could not
            be reached or has not been polled yet.
    """

    asked: str
    parts: tuple[ReportPart, ...]
    unknown: tuple[str, ...]


class ProposalReport(Struct, frozen=True, kw_only=True):
    """Result of checking a proposed file.

    Attributes:
        version: version in force, with which the file was compared.
        faults: faults of the file.
        changes: changes that the file would make.
    """

    version: int
    faults: tuple[Fault, ...] = ()
    changes: tuple[Change, ...] = ()


class InstanceAddress(Struct, frozen=True, kw_only=True):
    """Administration address of an instance's node.

    Attributes:
        instance: instance that the node runs on.
        admin: host and port of the administration API.
    """

    instance: str
    admin: str


class InstanceAddresses(Struct, frozen=True, kw_only=True):
    """Administration addresses of all listed instances.

    Attributes:
        instances: addresses of the instances.
    """

    instances: tuple[InstanceAddress, ...]


class ReadyReport(Struct, frozen=True, kw_only=True):
    """Readiness of a node.

    Attributes:
        state: joining, ready or leaving.
    """

    state: str


class DrainReport(Struct, frozen=True, kw_only=True):
    """Confirmation that a planned stop has started.

    Attributes:
        in_flight: number of requests in progress.
    """

    in_flight: int


class SuspectState(Struct, frozen=True, kw_only=True):
    """State of a request during which backend servers have ended.

    Attributes:
        fingerprint: fingerprint of the request, hexadecimal.
        ends: number of backend servers that ended in succession.
        standing: ``clear`` if the request runs like others, ``trial`` if it
            runs alone, ``harmful`` if it is refused.
        seen_seconds_ago: time since the request last arrived, as known to
            the node.
    """

    fingerprint: str
    ends: int
    standing: str
    seen_seconds_ago: int


class SuspectsReport(Struct, frozen=True, kw_only=True):
    """Requests during which backend servers have ended.

    Attributes:
        suspects: states of the requests, most ended servers first.
    """

    suspects: tuple[SuspectState, ...]
