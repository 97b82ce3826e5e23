"""The owner: the only access to the backend server beside this node."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.admission.incoming_line import make_incoming_line
from wagtaildale.admission.ledger import RunLedger
from wagtaildale.admission.outgoing_line import make_outgoing_line
from wagtaildale.admission.replay_cache import ReplayCache
from wagtaildale.calls.backend.backend_pool import BackendPool
from wagtaildale.calls.dialect import DEFAULT_DIALECT, Dialect
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.owner.body_collector import BodyCollector
from wagtaildale.calls.owner.load_notifier import LoadNotifier
from wagtaildale.calls.owner.idle_review import IdleReview
from wagtaildale.calls.owner.response_flow import WaitingFlows
from wagtaildale.calls.owner.response_sender import ResponseSender
from wagtaildale.calls.owner.server_feedback import FeedbackTracker
from wagtaildale.calls.owner.server_targets import ServerTargets
from wagtaildale.calls.wire.fields import (
    AnswerFields,
    CallFields,
    decode_rate,
)
from wagtaildale.errors.codes import Code
from wagtaildale.telemetry.events import EventKind
from wagtaildale.timers.service import read_clock
from wagtaildale.types import (
    UNKNOWN_INCARNATION,
    Incarnation,
    InstanceId,
    Outcome,
    ServiceName,
)

if TYPE_CHECKING:
    from wagtaildale.admission.memory import MemoryAccount
    from collections.abc import Callable

    from wagtaildale.admission.gate import Gate
    from wagtaildale.admission.incoming_line import LineState
    from wagtaildale.calls.addresses import Address
    from wagtaildale.calls.owner.server_targets import ServerConditions
    from wagtaildale.calls.owner.suspect_trials import SuspectTrials
    from wagtaildale.invariants import Invariants
    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.reactor.loop import Loop
    from wagtaildale.routing.leaving_servers import LeavingServer
    from wagtaildale.telemetry.events import EventRecorder, Inputs

MICROSECONDS: Final = 1_000_000


class Identity(Struct, frozen=True, kw_only=True):
    """Instance and incarnation of this process.

    Attributes:
        instance: id of the instance.
        incarnation: number of its current start.
    """

    instance: InstanceId
    incarnation: Incarnation


class Owner:
    """State shared by all calls to one backend server.

    Attributes:
        identity: instance and incarnation of this process.
        gate: admission control of the backend server.
        pool: connections to the backend server.
        ledger: ids of the non-idempotent requests that were admitted.
        replays: answers stored for repeated idempotency keys.
        invariants: invariants checked on each call.
        dialect: header fields that the backend server uses.
        loop: event loop of the calls.
        load_notifier: sender of load updates to the connected entries.
        targets: resolver of the instance that runs a request.
        trials: admission of requests suspected of ending servers.
        collector: receiver of request bodies that come in pieces.
        memory: account of what the process holds for callers.
        waiting_flows: responses that keep a slot until they are read.
    """

    def __init__(
        self,
        identity: Identity,
        *,
        service: ServiceName,
        loop: Loop,
        gate: Gate,
        backend: Address,
        invariants: Invariants,
        recorder: EventRecorder,
        dialect: Dialect = DEFAULT_DIALECT,
        find_record: Callable[[InstanceId], InstanceRecord | None],
        trials: SuspectTrials,
        conditions: ServerConditions,
        memory: MemoryAccount,
        line_mbps: float = 0,
    ) -> None:
        """Create the owner of a backend server.

        Args:
            identity: instance and incarnation of this process.
            service: service of the backend server.
            loop: event loop of the calls.
            gate: admission control of the backend server.
            backend: address on which the backend server listens.
            invariants: invariants checked on each call.
            recorder: recorder of an event for each call that ends.
            dialect: header fields that the backend server uses.
            find_record: lookup of an instance's record in the list.
            trials: admission of requests suspected of ending servers.
            conditions: conditions under which the server gets requests.
            memory: account of what the process holds for callers.
            line_mbps: bandwidth of the node's line, megabits per second; 0 if
                not known.
        """
        self.identity = identity
        self.loop = loop
        self.gate = gate
        self.invariants = invariants
        self.dialect = dialect
        self.memory = memory
        self.waiting_flows = WaitingFlows()
        self.ledger = RunLedger()
        self.replays = ReplayCache()
        self._stray_count = 0
        self.load_notifier = LoadNotifier(
            gate,
            instance=identity.instance,
            recorder=recorder,
            find_leaving=self._find_leaving_server,
            read_lines=self._read_lines,
        )
        self.pool = BackendPool(
            loop,
            address=backend,
            request_id_field=dialect.request_id,
            on_stray_response=self._count_stray_response,
            recorder=recorder,
        )
        self.targets = ServerTargets(
            service,
            find_record=find_record,
            recorder=recorder,
            feedback=FeedbackTracker(gate, recorder=recorder),
            conditions=conditions,
        )
        self.targets.feedback.load_listeners.append(
            self.load_notifier.notify_changes
        )
        self.targets.leaving.listeners.append(self.load_notifier.notify_leaving)
        self.pool.watch.listeners.append(self._on_watch_changed)
        self._idle_review = IdleReview(
            self.targets.slow_start,
            rate=gate.state.rate,
            find_contact=self.pool.find_contact,
        )
        self.collector = BodyCollector(
            make_incoming_line(line_mbps), alarms=loop.alarms
        )
        self._response_sender = ResponseSender(
            make_outgoing_line(line_mbps), alarms=loop.alarms
        )
        self.trials = trials
        trials.end_detector.listeners.append(self.targets.feedback.note_started)
        trials.end_detector.listeners.append(self.pool.watch.note_down)
        self._find_record = find_record
        self._recorder = recorder

    @property
    def response_sender(self) -> ResponseSender:
        """Sender of the large responses of this node."""
        return self._response_sender

    @property
    def stray_count(self) -> int:
        """Number of responses that named another request."""
        return self._stray_count

    def check_target(self, fields: CallFields) -> None:
        """Check that a call is meant for this owner and apply its rate limit.

        Rejects calls that would reach the wrong server: the address may be
        reused by another instance, or this process may have replaced the one
        that the call names. It also rejects new work when the owner already
        knows that the instance is leaving but the entry does not, and when
        the server has identified itself as another instance and would refuse
        the request again. A server that may have restarted unnoticed counts as
        cold from now on.

        Args:
            fields: fields of the call.

        Raises:
            CallFailed: with outcome ``not_run``, if the call is not meant
                for this owner.
        """
        is_known = fields.incarnation in {
            UNKNOWN_INCARNATION,
            self.identity.incarnation,
        }
        if not is_known or not self._serves(fields.instance):
            raise CallFailed(Code.wrong_instance)
        self.targets.check(fields)
        forwarded_limit = decode_rate(fields.rate_milli)
        if forwarded_limit is not None:
            self.targets.feedback.apply_forwarded_limit(
                forwarded_limit,
                instance=fields.instance,
            )
        self._idle_review.run()

    def build_answer_fields(
        self,
        fields: CallFields,
        *,
        code: Code = Code.ok,
        outcome: Outcome = Outcome.answered,
        owner_seconds: float = 0,
        backend_seconds: float = 0,
        retry_ms: int = 0,
        was_rejected_by_server: bool = False,
    ) -> AnswerFields:
        """Build the fields of an answer, with the state of this owner.

        Args:
            fields: fields of the call that is answered.
            code: numbered result code.
            outcome: whether the request ran.
            owner_seconds: time spent at the owner, including the queue.
            backend_seconds: time spent at the backend server.
            retry_ms: time after which a retry is useful, in milliseconds.
            was_rejected_by_server: whether the backend server itself, not the
                owner, refused the request.

        Returns:
            Fields that go with the answer.
        """
        state = self.gate.state
        usual = state.find_run_times(fields.work_class)
        return AnswerFields(
            request_id=fields.request_id,
            attempt=fields.attempt,
            code=code,
            outcome=outcome,
            instance=fields.instance,
            incarnation=self.identity.incarnation,
            in_flight=len(state.running),
            limit=int(state.limit),
            queued=len(state.queue),
            owner_us=_to_us(owner_seconds),
            backend_us=_to_us(backend_seconds),
            retry_ms=retry_ms,
            slot_us=_to_us(state.slot_seconds),
            class_us=_to_us(usual.recent),
            class_usual_us=_to_us(usual.reliable_mean),
            was_rejected_by_server=was_rejected_by_server,
            rate_milli=self.load_notifier.encode_rate_limit(),
            share=self.load_notifier.describe_share(),
            pace_percent=state.pace.encode(read_clock()),
            line=self.collector.line.describe(),
            outgoing_line=self._response_sender.line_state,
            leaving=self.targets.leaving.find_announcement(
                self.targets.resolve_target(fields),
            ),
        )

    def record_end(
        self,
        kind: EventKind,
        fields: CallFields,
        *,
        inputs: Inputs,
        code: int = 0,
        detail: str = '',
    ) -> None:
        """Record an event for a call that ended at this owner.

        Args:
            kind: kind of the event: the call ran or was refused.
            fields: fields of the call.
            inputs: times and outcome of the call.
            code: numbered result code; 0 if the call succeeded.
            detail: further text for operators.
        """
        state = self.gate.state
        pace_percent = state.pace.encode(read_clock())
        if pace_percent:
            inputs = {'pace_percent': pace_percent, **inputs}
        self._recorder.record(
            kind,
            code=code,
            subject=fields.work_class,
            detail=detail,
            request=fields.request_id,
            inputs={
                'upstream': fields.instance,
                'attempt': fields.attempt,
                'running': len(state.running),
                'waiting': len(state.queue),
                'limit': int(state.limit),
                **inputs,
            },
        )

    def _serves(self, instance: InstanceId) -> bool:
        if self.dialect.expected_instance is None:
            return instance == self.identity.instance
        # The backend server itself refuses requests for another instance.
        # This process knows its server only from the list, which lags.
        record = self._find_record(instance)
        return record is None or record.node_id == self.identity.instance

    def _find_leaving_server(self) -> LeavingServer | None:
        return self.targets.leaving.find_last_announcement()

    def _read_lines(self) -> tuple[LineState | None, LineState | None]:
        return self.collector.line.describe(), self._response_sender.line_state

    def _count_stray_response(self) -> None:
        self._stray_count += 1

    def _on_watch_changed(self) -> None:
        is_up = self.pool.watch.is_up
        if is_up:
            self.pool.note_contact()
            self.targets.leaving.note_started()
            self.targets.feedback.note_started()
            self.targets.slow_start.note_started()
        self.load_notifier.notify_reachability(is_up=is_up)


def _to_us(seconds: float) -> int:
    return round(seconds * MICROSECONDS)
