"""The owner: the only way to the backend server beside this node."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.admission.ledger import RunLedger
from wagtaildale.admission.replay_cache import ReplayCache
from wagtaildale.calls.backend_pool import BackendPool
from wagtaildale.calls.dialect import OWN_DIALECT, Dialect
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.fields import (
    AnswerFields,
    CallFields,
    decode_rate,
)
from wagtaildale.calls.load_teller import LoadTeller
from wagtaildale.calls.server_targets import ServerTargets
from wagtaildale.calls.server_words import ServerWords
from wagtaildale.errors.codes import Code
from wagtaildale.telemetry.events import EventKind
from wagtaildale.types import (
    ANY_INCARNATION,
    Incarnation,
    InstanceId,
    Outcome,
    ServiceName,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.admission.gate import Gate
    from wagtaildale.calls.addresses import Address
    from wagtaildale.calls.trials import Trials
    from wagtaildale.invariants import Invariants
    from wagtaildale.membership.records import InstanceRecord
    from wagtaildale.reactor.loop import Loop
    from wagtaildale.telemetry.events import EventRecorder, Inputs

MICROSECONDS: Final = 1_000_000


class Identity(Struct, frozen=True, kw_only=True):
    """Which process of which instance this is."""

    instance: InstanceId
    incarnation: Incarnation


class Owner:
    """What all calls to one backend server share.

    Attributes:
        identity: of this process.
        gate: in front of the backend server.
        pool: connections to it.
        ledger: non-idempotent requests that were let through.
        replays: answers kept for repeated idempotency keys.
        invariants: are checked on each call.
        dialect: how the backend server is spoken to.
        loop: carries the calls.
        strays: responses that named another request.
        teller: tells entries unasked what they are to know.
        server: which instance the backend server is.
        trials: which suspected requests may run there.
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
        dialect: Dialect = OWN_DIALECT,
        find_record: Callable[[InstanceId], InstanceRecord | None],
        trials: Trials,
    ) -> None:
        """Take charge of a backend server.

        Args:
            identity: of this process.
            service: of the backend server.
            loop: carries the calls.
            gate: in front of the backend server.
            backend: where it listens.
            invariants: are checked on each call.
            recorder: gets an event for each call that ends.
            dialect: how it is spoken to.
            find_record: gives what is listed of an instance.
            trials: which suspected requests may run there.
        """
        self.identity = identity
        self.loop = loop
        self.gate = gate
        self.invariants = invariants
        self.dialect = dialect
        self.ledger = RunLedger()
        self.replays = ReplayCache()
        self.strays = 0
        self.teller = LoadTeller(
            gate,
            instance=identity.instance,
            recorder=recorder,
        )
        self.pool = BackendPool(
            loop,
            address=backend,
            request_id_field=dialect.request_id,
            note_stray=self._note_stray,
            recorder=recorder,
        )
        self.server = ServerTargets(
            service,
            find_record=find_record,
            recorder=recorder,
            words=ServerWords(gate, recorder=recorder),
        )
        self.server.leaving.listeners.append(self.teller.tell_leaving)
        self.pool.watch.listeners.append(self._note_watch)
        self.trials = trials
        trials.ends.listeners.append(self.server.words.note_started)
        trials.ends.listeners.append(self.pool.watch.note_down)
        self._find_record = find_record
        self._recorder = recorder

    def check_target(self, fields: CallFields) -> None:
        """Check that a call is meant for this owner, and take its word.

        Failure guarded here: an address is reused by another instance, or
        this process was replaced, and a call for the one that was there
        comes here. Or an entry has not heard yet that the instance leaves,
        and sends it new work; its owner has. Or the server has said that it
        is another instance, and would turn the request away once more.

        Args:
            fields: what the entry told.

        Raises:
            CallFailed: with outcome ``not_run``, when it is not.
        """
        known = fields.incarnation in {
            ANY_INCARNATION,
            self.identity.incarnation,
        }
        if not known or not self._serves(fields.instance):
            raise CallFailed(Code.wrong_instance)
        self.server.check(fields)
        brought = decode_rate(fields.rate_milli)
        if brought is not None:
            self.server.words.note_brought(brought, instance=fields.instance)

    def describe(
        self,
        fields: CallFields,
        *,
        code: Code = Code.ok,
        outcome: Outcome = Outcome.answered,
        owner_seconds: float = 0,
        backend_seconds: float = 0,
        retry_ms: int = 0,
        has_arrived: bool = False,
    ) -> AnswerFields:
        """Describe this owner in an answer.

        Args:
            fields: of the call that is answered.
            code: numbered result code.
            outcome: whether the request ran.
            owner_seconds: spent here, waiting included.
            backend_seconds: spent at the backend server.
            retry_ms: after which asking again is worth it.
            has_arrived: whether the backend server turned it away.

        Returns:
            What goes along with the answer.
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
            has_arrived=has_arrived,
            rate_milli=self.teller.describe_rate(),
            share=self.teller.describe_share(),
            leaving=self.server.leaving.find_leaver(self.server.name(fields)),
        )

    def note_end(
        self,
        kind: EventKind,
        fields: CallFields,
        *,
        inputs: Inputs,
        code: int = 0,
        detail: str = '',
    ) -> None:
        """Record how a call ended here.

        Args:
            kind: whether it ran or was refused.
            fields: what the entry told of it.
            inputs: times and outcome.
            code: numbered result code, if something is wrong.
            detail: anything more, for a person.
        """
        state = self.gate.state
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
        # The backend server itself refuses what is meant for another; this
        # process learns who is beside it from the list alone, and late.
        record = self._find_record(instance)
        return record is None or record.node_id == self.identity.instance

    def _note_stray(self) -> None:
        self.strays += 1

    def _note_watch(self) -> None:
        is_up = self.pool.watch.is_up
        if is_up:
            self.server.leaving.note_started()
            self.server.words.note_started()
        self.teller.tell_up(is_up=is_up)


def _to_us(seconds: float) -> int:
    return round(seconds * MICROSECONDS)
