"""One request at the backend server: sent if it may run, and answered."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Final, Protocol

from wagtaildale.admission.replays import KeptAnswer
from wagtaildale.calls.backend_messages import (
    MISDIRECTED_STATUS,
    BackendResponse,
    build_request,
    find_refusal,
)
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.heads import pass_on
from wagtaildale.calls.idempotency_guard import IdempotencyGuard
from wagtaildale.calls.server_end_detector import InterruptedRun
from wagtaildale.calls.server_feedback import parse_feedback
from wagtaildale.errors.codes import Code
from wagtaildale.invariants import Invariant
from wagtaildale.types import Outcome

if TYPE_CHECKING:
    from wagtaildale.calls.backend_connection import BackendConnection
    from wagtaildale.calls.call_times import CallTimes
    from wagtaildale.calls.frames import Piece, Run
    from wagtaildale.calls.owner import Owner
    from wagtaildale.calls.parsing import Message
    from wagtaildale.calls.replies import Replies

# A response up to this size is whole before any of it goes on: one that is
# cut is then an error of its own, and never a short answer.
MAX_BUFFERED_BYTES: Final = 65_536


class RunReceiver(Protocol):
    """The call that a run belongs to."""

    def on_run_finished(self, status: int) -> None:
        """Learn that the whole answer of the backend server was passed on.

        Args:
            status: HTTP status.
        """

    def on_run_repeated(self) -> None:
        """Learn that the answer of an earlier run was given."""

    def on_run_failed(
        self,
        failure: CallFailed,
        *,
        repeated: bool = False,
    ) -> None:
        """Learn that there is no whole answer.

        Args:
            failure: with outcome ``not_run`` only where that is certain.
            repeated: whether the request came a second time; what is known
                of it is then the first one's.
        """


class BackendRun:
    """Runs a request and passes its answer on; a ``BackendReceiver``."""

    def __init__(
        self,
        call: RunReceiver,
        run: Run,
        *,
        owner: Owner,
        replies: Replies,
        times: CallTimes,
    ) -> None:
        """Prepare; ``begin`` sends the request.

        Args:
            call: that the run belongs to.
            run: the request.
            owner: of the backend server.
            replies: to the entry.
            times: of the call.
        """
        self._call = call
        self._run = run
        self._owner = owner
        self._replies = replies
        self._times = times
        self._idempotency = IdempotencyGuard(run, owner.replays)
        self._connection: BackendConnection | None = None
        self._response: BackendResponse | None = None
        self._target = run.fields.instance
        self._unacknowledged_bytes = 0
        self._known_ends = 0
        self._stored_answer: KeptAnswer | None = None
        self._is_over = False

    @property
    def is_answering(self) -> bool:
        """Whether the beginning of the answer was passed on."""
        return self._response is not None and self._response.is_started

    def begin(self) -> None:
        """Send the request, or give the answer kept for its key."""
        owner = self._owner
        if owner.trials.may_end(self._run):
            # The server that ended under it may be back in a moment.
            owner.pool.watch.wait_until_up(self._start)
        else:
            self._start()

    def add(self, piece: Piece) -> None:
        """Pass more of the request's body on.

        Args:
            piece: of the body.
        """
        if self._connection is not None:
            self._connection.add(piece.body, more=piece.more)
            self._unacknowledged_bytes += len(piece.body)
            if not self._connection.is_full:
                self.on_writable()

    def note_taken(self, count: int) -> None:
        """Send more of the response.

        Args:
            count: bytes that the entry has passed on.
        """
        if self._response is not None:
            self._response.window.note_taken(count)
            self._forward()

    def close(self) -> None:
        """Stop; what comes after this is dropped."""
        self._is_over = True
        self._owner.trials.release(self._run)
        connection = self._connection
        self._connection = None
        if connection is not None:
            # The backend server drops a request whose connection closes.
            connection.close()

    def settle_run_once(self, failure: CallFailed) -> None:
        """Settle what is kept of a request that must not run twice.

        Args:
            failure: how it ended.
        """
        if failure.outcome is Outcome.not_run:
            self._owner.ledger.forget(self._run.fields.request_id)
            self._idempotency.forget()
        else:
            self._idempotency.settle(None)

    def on_head(self, message: Message) -> None:
        """Take the head of the backend server's response.

        Args:
            message: the response.
        """
        self._response = BackendResponse(message)
        if message.status != MISDIRECTED_STATUS:
            owner = self._owner
            owner.server.apply_feedback(
                parse_feedback(message, owner.dialect),
                instance=self._target,
                begun_at=self._times.run_started_at,
            )

    def on_body(self) -> None:
        """Take what has come of the response."""
        response = self._response
        if response is None:
            return
        response.buffer += response.message.take_body()
        is_complete = response.message.is_complete
        if is_complete:
            # The connection is free for another request, or closed.
            self._connection = None
        if (
            is_complete
            or response.is_started
            or len(response.buffer) > MAX_BUFFERED_BYTES
        ):
            self._forward()

    def on_failed(self, failure: CallFailed) -> None:
        """End the run: the backend server gives no whole response.

        Args:
            failure: why.
        """
        self._connection = None
        self._owner.invariants.hold(
            Invariant.not_run_is_true,
            holds=failure.outcome is not Outcome.not_run
            or failure.code is Code.backend_unreachable,
            detail=f'{self._run.fields.request_id} {failure.code.name}',
        )
        if failure.code is Code.backend_cut:
            owner = self._owner
            owner.trials.ends.hold(
                InterruptedRun(
                    instance=self._target,
                    fingerprint=owner.trials.identify(self._run),
                    ends=self._known_ends,
                    is_leaving=owner.server.leaving.is_leaving(self._target),
                    on_resolved=partial(self._on_cut_resolved, failure),
                ),
                pool=owner.pool,
            )
        else:
            self._call.on_run_failed(failure)

    def on_writable(self) -> None:
        """Learn that the backend server has taken what was sent."""
        if self._unacknowledged_bytes:
            self._replies.acknowledge(self._unacknowledged_bytes)
            self._unacknowledged_bytes = 0

    def _start(self) -> None:
        if self._is_over:
            return
        try:
            is_admitted = self._admit()
        except CallFailed as failure:
            self._call.on_run_failed(failure)
            return
        if self._stored_answer is not None:
            self._replies.repeat(self._run.fields, self._stored_answer)
            self._call.on_run_repeated()
        elif is_admitted:
            self._run_now()

    def _admit(self) -> bool:
        ends = self._owner.trials.admit(
            self._run,
            up_seconds=self._owner.pool.watch.up_seconds,
            on_turn=self.begin,
        )
        if ends is None:
            return False
        self._known_ends = ends
        self._stored_answer = self._idempotency.begin()
        return True

    def _on_cut_resolved(self, failure: CallFailed, ends: int) -> None:
        if ends:
            failure.code = Code.backend_ended
            failure.ends = ends
        self._call.on_run_failed(failure)

    def _abort(self, failure: CallFailed) -> None:
        if not (self._is_over or self.is_answering):
            self._call.on_run_failed(failure)

    def _run_now(self) -> None:
        if self._times.is_past_deadline:
            # Failure: a paused process wakes and sends what nobody waits
            # for. The deadline is looked at last thing before the send.
            self._call.on_run_failed(CallFailed(Code.past_deadline))
        elif self._may_run():
            self._send()
        else:
            failure = CallFailed(Code.key_repeated, outcome=Outcome.unknown)
            self._call.on_run_failed(failure, repeated=True)

    def _may_run(self) -> bool:
        # Failure: a run message comes twice and a booking is made twice. The
        # second one stops here; its outcome is the first's.
        fields = self._run.fields
        owner = self._owner
        return owner.invariants.hold(
            Invariant.runs_once,
            holds=fields.idempotent or owner.ledger.note_run(fields.request_id),
            detail=fields.request_id,
        )

    def _send(self) -> None:
        self._times.start_run()
        self._target = self._owner.server.resolve_target(self._run.fields)
        request = build_request(
            self._owner,
            self._run,
            deadline=self._times.deadline,
            instance=self._target,
        )
        if not self._known_ends:
            self._owner.trials.note_begun(self._run, give_up=self._abort)
        self._connection = self._owner.pool.send_request(request, self)

    def _forward(self) -> None:
        response = self._response
        if response is None or self._is_over:
            return
        message = response.message
        if response.is_started:
            self._forward_piece(response)
        elif find_refusal(self._owner, message) is None:
            response.is_started = True
            self._start_answer(response)
        else:
            self._forward_refusal(message)
            return
        if message.is_complete and not response.buffer:
            self._connection = None
            self._owner.trials.note_answered(self._run)
            self._call.on_run_finished(message.status)
        elif self._connection is not None:
            self._connection.read_more(wanted=response.window.is_open)

    def _forward_piece(self, response: BackendResponse) -> None:
        complete = response.message.is_complete
        if response.window.is_open and (response.buffer or complete):
            self._replies.add(response.drain_buffer(), more=not complete)

    def _start_answer(self, response: BackendResponse) -> None:
        message = response.message
        answer = KeptAnswer(
            status=message.status,
            headers=tuple(pass_on(message)),
            body=response.drain_buffer(),
        )
        self._idempotency.settle(answer if message.is_complete else None)
        self._replies.answer(
            self._run.fields,
            answer,
            more=not message.is_complete,
            length=message.length,
        )

    def _forward_refusal(self, message: Message) -> None:
        code = Code.backend_shed
        if message.status == MISDIRECTED_STATUS:
            code = Code.wrong_instance
            self._owner.server.note_denied(self._target)
        if not message.is_complete and self._connection is not None:
            self._connection.close()
        self._connection = None
        failure = CallFailed(
            code,
            detail=f'status {message.status}',
            has_arrived=True,
        )
        self._call.on_run_failed(failure)
