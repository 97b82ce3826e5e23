"""The owner: the only way to the backend server beside this node."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from msgspec import Struct, structs

from wagtaildale.admission.gate import Gate
from wagtaildale.admission.messages import Refused, Verdict
from wagtaildale.admission.ledger import RunLedger
from wagtaildale.calls.addresses import Address
from wagtaildale.calls.connections import Pool
from wagtaildale.calls.exchange import Call, exchange
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.fields import (
    ANY_INCARNATION,
    AnswerFields,
    CallFields,
)
from wagtaildale.calls.keyed import Deliverable, KeyedRuns
from wagtaildale.calls.slots import Slot
from wagtaildale.errors.codes import Code
from wagtaildale.invariants import Invariant, Invariants
from wagtaildale.timers.service import read_clock
from wagtaildale.types import Incarnation, InstanceId, Outcome

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wagtaildale.calls.parsing import Header
    from wagtaildale.calls.responses import Response

MICROSECONDS: Final = 1_000_000
MILLISECONDS: Final = 1000
# Long enough for a run message over a slow line, short enough that a slot
# whose entry died is soon free again.
LEASE_SECONDS: Final = 0.5
# What ends an exchange before anything of it is sent.
BEFORE_SENDING: Final = frozenset(
    (Code.backend_unreachable, Code.past_deadline),
)

Deliver = Callable[[Deliverable, AnswerFields], None]


class Identity(Struct, frozen=True, kw_only=True):
    """Which process of which instance this is."""

    instance: InstanceId
    incarnation: Incarnation


class Owner:
    """Runs admitted requests at the backend server."""

    def __init__(
        self,
        identity: Identity,
        *,
        gate: Gate,
        backend: Address,
        invariants: Invariants,
    ) -> None:
        """Take charge of a backend server.

        Args:
            identity: of this process.
            gate: in front of the backend server.
            backend: where it listens.
            invariants: are checked on each call.
        """
        self.identity = identity
        self.gate = gate
        self._backend = backend
        self._pool = Pool()
        self._ledger = RunLedger()
        self._keyed = KeyedRuns()
        self.invariants = invariants

    def run(
        self,
        call: Call,
        *,
        fields: CallFields,
        deliver: Deliver,
    ) -> None:
        """Admit a request, run it and deliver its response.

        Args:
            call: the request.
            fields: what the entry told of it.
            deliver: passes the response on while the slot is held.

        Raises:
            CallFailed: with outcome ``not_run`` for every refusal.
            StreamCut: when the response breaks under way.
        """
        started = read_clock()
        if fields.idempotent:
            self._run_admitted(call, fields, deliver, started)
            return
        self._keyed.run(
            call,
            work=lambda: self._run_once(call, fields, deliver, started),
            replay=lambda kept: deliver(kept, self.describe(fields)),
        )

    def reserve(self, fields: CallFields, *, deadline: float) -> AnswerFields:
        """Hold a slot for a run message that is to come.

        Nothing runs by this, so whoever asked may still go elsewhere.

        Args:
            fields: what the entry told of the request.
            deadline: seconds on the clock.

        Returns:
            What goes along with the answer, the lease in it.

        Raises:
            CallFailed: with outcome ``not_run`` for every refusal.
        """
        self._check_target(fields)
        verdict = self.gate.enter(
            within_ms=fields.within_ms,
            deadline=deadline,
            lease_seconds=LEASE_SECONDS,
        )
        if isinstance(verdict, Refused):
            raise _describe_refusal(verdict)
        answer = self.describe(fields)
        return structs.replace(answer, lease=verdict.ticket)

    def describe(
        self,
        fields: CallFields,
        *,
        code: Code = Code.ok,
        outcome: Outcome = Outcome.answered,
        owner_seconds: float = 0,
        backend_seconds: float = 0,
    ) -> AnswerFields:
        """Describe this owner in an answer.

        Args:
            fields: of the call that is answered.
            code: numbered result code.
            outcome: whether the request ran.
            owner_seconds: spent here, waiting included.
            backend_seconds: spent at the backend server.

        Returns:
            What goes along with the answer.
        """
        state = self.gate.state
        return AnswerFields(
            request_id=fields.request_id,
            attempt=fields.attempt,
            code=code,
            outcome=outcome,
            instance=self.identity.instance,
            incarnation=self.identity.incarnation,
            in_flight=len(state.running),
            limit=int(state.limit),
            queued=len(state.queue),
            owner_us=round(owner_seconds * MICROSECONDS),
            backend_us=round(backend_seconds * MICROSECONDS),
        )

    def _run_once(
        self,
        call: Call,
        fields: CallFields,
        deliver: Deliver,
        started: float,
    ) -> Response:
        try:
            return self._run_admitted(call, fields, deliver, started)
        except CallFailed as failure:
            if failure.outcome is Outcome.not_run:
                self._ledger.forget(fields.request_id)
            raise

    def _run_admitted(
        self,
        call: Call,
        fields: CallFields,
        deliver: Deliver,
        started: float,
    ) -> Response:
        with self._admit(call, fields) as slot:
            running = read_clock()
            response = self._exchange(call, fields)
            answer = self.describe(
                fields,
                owner_seconds=read_clock() - started,
                backend_seconds=read_clock() - running,
            )
            with response:
                deliver(response, answer)
            slot.note_status(response.message.status)
            return response

    def _exchange(self, call: Call, fields: CallFields) -> Response:
        try:
            return exchange(
                call,
                pool=self._pool,
                address=self._backend,
                extra=_write_context(call, fields),
            )
        except CallFailed as failure:
            claims_not_run = failure.outcome is Outcome.not_run
            self.invariants.hold(
                Invariant.not_run_is_true,
                holds=not claims_not_run or failure.code in BEFORE_SENDING,
                detail=f'{fields.request_id} {failure.code.name}',
            )
            raise

    def _admit(self, call: Call, fields: CallFields) -> Slot:
        self._check_target(fields)
        verdict = self._ask_gate(call, fields)
        if isinstance(verdict, Refused):
            raise _describe_refusal(verdict)
        slot = Slot(self.gate, verdict)
        if fields.idempotent or self._ledger.note_run(fields.request_id):
            return slot
        # Failure: a run message comes twice and a booking is made twice.
        # The second one stops here; its outcome is that of the first.
        with slot:
            self.invariants.hold(
                Invariant.runs_once,
                holds=False,
                detail=fields.request_id,
            )
        raise CallFailed(Code.key_repeated, outcome=Outcome.unknown)

    def _ask_gate(self, call: Call, fields: CallFields) -> Verdict:
        if fields.lease:
            return self.gate.redeem(fields.lease)
        was_draining = self.gate.state.draining
        verdict = self.gate.enter(
            within_ms=fields.within_ms,
            deadline=call.deadline,
        )
        self.invariants.hold(
            Invariant.leaving_gets_none,
            holds=not was_draining or isinstance(verdict, Refused),
            detail=fields.request_id,
        )
        return verdict

    def _check_target(self, fields: CallFields) -> None:
        # Failure: an address is reused by another instance, or this process
        # was replaced, and a call for the one that was there comes here.
        meant = fields.incarnation in {
            ANY_INCARNATION,
            self.identity.incarnation,
        }
        if fields.instance != self.identity.instance or not meant:
            raise CallFailed(Code.wrong_instance)


def _describe_refusal(refused: Refused) -> CallFailed:
    return CallFailed(refused.code, retry_after=refused.retry_after)


def _write_context(call: Call, fields: CallFields) -> Sequence[Header]:
    """Write what a backend server copies onto the calls that it makes.

    Returns:
        The remaining time, the depth, and the retries left below.
    """
    rest = max(0, call.deadline - read_clock()) * MILLISECONDS
    return (
        (b'wagtaildale-request-id', fields.request_id.encode()),
        (b'wagtaildale-deadline-ms', b'%d' % rest),
        (b'wagtaildale-depth', b'%d' % (fields.depth + 1)),
        (b'wagtaildale-retries', b'%d' % fields.retries),
    )
