"""The owner: the only way to the backend server beside this node."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.admission.gate import Gate
from wagtaildale.admission.messages import Admitted, Refused
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
from wagtaildale.errors.codes import Code
from wagtaildale.invariants import Invariant, Invariants
from wagtaildale.timers.service import read_clock
from wagtaildale.types import Incarnation, InstanceId, Outcome

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType

    from wagtaildale.calls.responses import Response

SERVER_ERROR: Final = 500
MICROSECONDS: Final = 1_000_000
MILLISECONDS: Final = 1000


class Identity(Struct, frozen=True, kw_only=True):
    """Which process of which instance this is."""

    instance: InstanceId
    incarnation: Incarnation


class Slot:
    """A slot at the backend server, given back when left."""

    def __init__(self, gate: Gate, admitted: Admitted) -> None:
        """Take the slot.

        Args:
            gate: where it goes back.
            admitted: the verdict.
        """
        self.failed = True
        self._gate = gate
        self._admitted = admitted
        self._since = read_clock()

    def __enter__(self) -> Slot:
        """Hold the slot.

        Returns:
            Itself; ``failed`` is to be cleared on success.
        """
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Give the slot back.

        Args:
            kind: of an error, if one ended the work.
            error: the error.
            trace: where it arose.
        """
        self._gate.leave(
            self._admitted,
            seconds=read_clock() - self._since,
            failed=self.failed,
        )


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
        self._invariants = invariants

    def run(
        self,
        call: Call,
        *,
        fields: CallFields,
        deliver: Callable[[Response, AnswerFields], None],
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
        slot = self._admit(call, fields)
        with slot:
            running = read_clock()
            response = exchange(
                call,
                pool=self._pool,
                address=self._backend,
                extra=(
                    (b'wagtaildale-request-id', fields.request_id.encode()),
                    (b'wagtaildale-deadline-ms', _write_rest(call)),
                ),
            )
            answer = self.describe(
                fields,
                owner_seconds=read_clock() - started,
                backend_seconds=read_clock() - running,
            )
            with response:
                deliver(response, answer)
            slot.failed = response.message.status >= SERVER_ERROR

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

    def _admit(self, call: Call, fields: CallFields) -> Slot:
        self._check_target(fields)
        verdict = self.gate.enter(
            within_ms=fields.within_ms,
            deadline=call.deadline,
        )
        if isinstance(verdict, Refused):
            raise CallFailed(verdict.code, outcome=Outcome.not_run)
        slot = Slot(self.gate, verdict)
        if fields.idempotent or self._ledger.note_run(fields.request_id):
            return slot
        # Failure: a run message comes twice and a booking is made twice.
        # The second one stops here; its outcome is that of the first.
        with slot:
            self._invariants.hold(
                Invariant.runs_once,
                holds=False,
                detail=fields.request_id,
            )
        raise CallFailed(Code.key_repeated, outcome=Outcome.unknown)

    def _check_target(self, fields: CallFields) -> None:
        # Failure: an address is reused by another instance, or this process
        # was replaced, and a call for the one that was there comes here.
        meant = fields.incarnation in {
            ANY_INCARNATION,
            self.identity.incarnation,
        }
        if fields.instance != self.identity.instance or not meant:
            raise CallFailed(Code.wrong_instance)


def _write_rest(call: Call) -> bytes:
    seconds = max(0, call.deadline - read_clock())
    return b'%d' % round(seconds * MILLISECONDS)
