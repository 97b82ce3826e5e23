"""Runs one request at the backend server and forwards the response."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Final, Protocol

from msgspec import structs

from wagtaildale.calls.backend.server_end_detector import InterruptedRun
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.owner.backend_messages import (
    MISDIRECTED_STATUS,
    build_request,
    find_not_run_evidence,
    keep_identity,
)
from wagtaildale.calls.owner.idempotency_guard import IdempotencyGuard
from wagtaildale.calls.owner.server_feedback import (
    parse_feedback,
    parse_instance,
)
from wagtaildale.errors.codes import Code
from wagtaildale.invariants import Invariant
from wagtaildale.types import Outcome

if TYPE_CHECKING:
    from wagtaildale.admission.replay_cache import StoredAnswer
    from wagtaildale.calls.backend.backend_connection import BackendConnection
    from wagtaildale.calls.http.parsing import Message
    from wagtaildale.calls.owner.call_times import CallTimes
    from wagtaildale.calls.owner.owner import Owner
    from wagtaildale.calls.owner.replies import ReplyWriter
    from wagtaildale.calls.owner.response_flow import FlowReceiver, ResponseFlow
    from wagtaildale.calls.owner.response_sender import PacedResponse
    from wagtaildale.calls.owner.server_listing import ServerListing
    from wagtaildale.calls.wire.frames import BodyPiece, Run

# A response up to this size is received completely before any of it is
# forwarded, so that an interrupted one becomes an error instead of a truncated
# answer.
MAX_BUFFERED_BYTES: Final = 65_536
SERVER_ERROR_STATUS: Final = 500


class RunReceiver(Protocol):
    """The call that a run belongs to."""

    def on_run_sent(self) -> None:
        """Handle that the request is being sent to the backend server."""

    def open_flow(
        self, message: Message, *, receiver: FlowReceiver
    ) -> ResponseFlow:
        """Begin to receive the response.

        Args:
            message: its head.
            receiver: the run.

        Returns:
            The flow of the response, charged to the call.
        """

    def on_run_read(self, status: int) -> None:
        """Handle that a response was read to its end before it was sent.

        Its delivery goes on.

        Args:
            status: HTTP status.
        """

    def on_run_unread(self) -> None:
        """Cut a response that its caller does not read."""

    def on_run_finished(self, status: int) -> None:
        """Handle the end of a run whose whole response was forwarded.

        Args:
            status: HTTP status.
        """

    def on_run_replayed(self) -> None:
        """Handle a run answered with the stored answer of an earlier run."""

    def on_run_failed(
        self,
        failure: CallFailed,
        *,
        is_duplicate: bool = False,
    ) -> None:
        """Handle a run without a complete answer.

        Args:
            failure: the cause, with outcome ``not_run`` only if that is
                certain.
            is_duplicate: whether the request is a duplicate; the first request
                then decides what is recorded for both.
        """


class BackendRun:
    """Runs a request and forwards its answer.

    A ``BackendReceiver``, a ``FlowReceiver``, and a ``PieceWriter`` of a paced
    response.
    """

    def __init__(
        self,
        call: RunReceiver,
        run: Run,
        *,
        owner: Owner,
        replies: ReplyWriter,
        times: CallTimes,
    ) -> None:
        """Prepare the run; ``begin`` sends the request.

        Args:
            call: call that the run belongs to.
            run: run message with the request.
            owner: owner of the backend server.
            replies: writer of the replies to the entry.
            times: times of the call.
        """
        self._call = call
        # What identifies the request stays; its body goes once it is sent.
        self._run_message = keep_identity(run)
        self._body = run.body
        self._owner = owner
        self._replies = replies
        self._paced = replies.paced
        self._times = times
        self._idempotency = IdempotencyGuard(self._run_message, owner.replays)
        self._connection: BackendConnection | None = None
        self._flow: ResponseFlow | None = None
        self._target = run.fields.instance
        self._listing: ServerListing | None = None
        self._unacknowledged_bytes = 0
        self._known_server_ends = 0
        self._stored_answer: StoredAnswer | None = None
        self._head: StoredAnswer | None = None
        self._is_read = False
        self._is_over = False

    @property
    def is_answering(self) -> bool:
        """Whether the head of the answer was forwarded."""
        if self._paced is not None:
            return self._paced.is_started
        return self._flow is not None and self._flow.response.is_started

    @property
    def listing(self) -> ServerListing | None:
        """How the server was listed when the request was sent to it."""
        return self._listing

    def begin(self) -> None:
        """Start the run, unless its idempotency key has a stored answer.

        A request suspected of ending servers waits until the server is up and
        until it is its turn. A stored answer is sent instead of a run.
        """
        owner = self._owner
        if owner.trials.is_suspected(self._run_message):
            # The server may be restarting after this request ended it.
            owner.pool.watch.wait_until_up(self._start)
        else:
            self._start()

    def send_piece(self, piece: BodyPiece) -> None:
        """Send another piece of the request's body to the server.

        Args:
            piece: piece of the body.
        """
        if self._connection is not None:
            self._connection.send_piece(piece.body, more=piece.more)
            self._unacknowledged_bytes += len(piece.body)
            if not self._connection.is_full:
                self.on_writable()

    def note_forwarded(self, count: int) -> None:
        """Send more of the response, now that the entry has forwarded some.

        Args:
            count: number of bytes that the entry has forwarded.
        """
        if self._paced is not None:
            self._paced.note_acknowledged(count)
        elif self._flow is not None:
            self._flow.response.add_credit(count)
            self._forward()

    def check_progress(self) -> bool:
        """Tell whether more of the response was sent since the last check.

        Returns:
            Whether a piece was sent; since the beginning, at the first check.
        """
        if self._paced is not None:
            return self._paced.check_progress()
        flow = self._flow
        return flow is not None and flow.response.check_progress()

    def close(self) -> None:
        """Stop the run and ignore everything that arrives later.

        What was received and not sent is dropped.
        """
        self._is_over = True
        if self._flow is not None:
            self._flow.close()
            self._flow = None
        self._paced = None
        self._owner.trials.release(self._run_message)
        connection = self._connection
        self._connection = None
        if connection is not None:
            # Closing the connection makes the server drop the request.
            connection.close()

    def update_duplicate_records(self, failure: CallFailed) -> None:
        """Update the records that keep a request from running twice.

        Args:
            failure: how the run ended.
        """
        if failure.outcome is Outcome.not_run:
            self._owner.ledger.forget(self._run_message.fields.request_id)
            self._idempotency.forget()
        else:
            self._idempotency.settle(None)

    def on_head(self, message: Message) -> None:
        """Handle the head of the backend server's response.

        Args:
            message: the response.
        """
        self._flow = self._call.open_flow(message, receiver=self)
        if message.status != MISDIRECTED_STATUS:
            owner = self._owner
            owner.targets.apply_feedback(
                parse_feedback(message, owner.dialect),
                instance=self._target,
                begun_at=self._times.run_started_at,
            )

    def on_body(self) -> None:
        """Buffer the received part of the body and forward it when ready."""
        if self._flow is None:
            return
        response = self._flow.response
        response.receive()
        is_complete = response.message.is_complete
        if is_complete:
            # The pool has reused or closed the connection.
            self._connection = None
        if (
            is_complete
            or response.is_started
            or len(response.buffer) > MAX_BUFFERED_BYTES
        ):
            self._forward()

    def on_failed(self, failure: CallFailed) -> None:
        """End the run without a complete response.

        Args:
            failure: cause of the failure.
        """
        self._connection = None
        self._owner.invariants.check(
            Invariant.not_run_is_true,
            holds=failure.outcome is not Outcome.not_run
            or failure.code is Code.backend_unreachable,
            detail=f'{self._run_message.fields.request_id} {failure.code.name}',
        )
        if failure.code is Code.backend_cut:
            owner = self._owner
            owner.trials.end_detector.add(
                InterruptedRun(
                    instance=self._target,
                    fingerprint=owner.trials.compute_run_fingerprint(
                        self._run_message
                    ),
                    ends=self._known_server_ends,
                    is_leaving=owner.targets.leaving.is_leaving(self._target),
                    on_resolved=partial(
                        self._on_interruption_resolved, failure
                    ),
                ),
                pool=owner.pool,
            )
        else:
            self._call.on_run_failed(failure)

    def on_writable(self) -> None:
        """Acknowledge to the entry what the backend server has read."""
        if self._unacknowledged_bytes:
            self._replies.send_window_update(self._unacknowledged_bytes)
            self._unacknowledged_bytes = 0

    def write_piece(self, piece: bytes, *, more: bool) -> None:
        """Send the next piece of a paced response; see ``PieceWriter``.

        Args:
            piece: bytes of the body.
            more: whether more of the body follows.
        """
        head = self._head
        if head is None:
            self._replies.send_body(piece, more=more)
            return
        self._head = None
        assert self._flow is not None
        self._replies.send_response(
            self._run_message.fields,
            structs.replace(head, body=piece),
            more=more,
            length=self._flow.response.message.length,
        )

    def on_delivered(self) -> None:
        """End the run of a paced response; see ``PieceWriter``."""
        assert self._flow is not None
        self._call.on_run_finished(self._flow.response.message.status)

    def set_reading(self, *, is_wanted: bool) -> None:
        """Resume or pause reading of the response; see ``FlowReceiver``.

        Args:
            is_wanted: whether to read.
        """
        if is_wanted:
            self._times.pauses.end()
        else:
            self._times.pauses.begin()
        if self._connection is not None:
            self._connection.set_reading(is_wanted=is_wanted)

    def on_read(self) -> None:
        """Free the slot; see ``FlowReceiver``."""
        assert self._flow is not None
        self._note_read(self._flow.response.message)

    def on_sent(self) -> None:
        """End the run; see ``FlowReceiver``."""
        assert self._flow is not None
        if not self._is_read:
            self._owner.trials.note_answered(self._run_message)
        self._call.on_run_finished(self._flow.response.message.status)

    def on_unread(self) -> None:
        """Cut the response; see ``FlowReceiver``."""
        self._call.on_run_unread()

    def on_room(self) -> None:
        """Continue to read the response; see ``PieceWriter``."""
        if self._connection is not None:
            self._connection.set_reading(is_wanted=True)

    def _start(self) -> None:
        if self._is_over:
            return
        try:
            is_admitted = self._admit()
        except CallFailed as failure:
            self._call.on_run_failed(failure)
            return
        if self._stored_answer is not None:
            self._replies.replay(self._run_message.fields, self._stored_answer)
            self._call.on_run_replayed()
        elif is_admitted:
            self._run_now()

    def _admit(self) -> bool:
        # The data centre may have been evacuated, or the server have announced
        # that it leaves, while a suspected request waited.
        self._owner.targets.check(self._run_message.fields)
        ends = self._owner.trials.admit(
            self._run_message,
            up_seconds=self._owner.pool.watch.up_seconds,
            on_retry=self.begin,
        )
        if ends is None:
            return False
        self._known_server_ends = ends
        self._stored_answer = self._idempotency.begin()
        return True

    def _on_interruption_resolved(self, failure: CallFailed, ends: int) -> None:
        if ends:
            failure.code = Code.backend_ended
            failure.crash_count = ends
        self._call.on_run_failed(failure)

    def _abort(self, failure: CallFailed) -> None:
        if not (self._is_over or self._is_read or self.is_answering):
            self._call.on_run_failed(failure)

    def _run_now(self) -> None:
        if self._times.is_past_deadline:
            # The process may have been paused since admission. Checking the
            # deadline just before the send avoids running a request whose
            # caller has given up.
            self._call.on_run_failed(CallFailed(Code.past_deadline))
        elif self._register_run():
            self._send()
        else:
            failure = CallFailed(Code.key_repeated, outcome=Outcome.unknown)
            self._call.on_run_failed(failure, is_duplicate=True)

    def _register_run(self) -> bool:
        # A run message that arrives twice would run a non-idempotent request
        # twice. The second one is refused here with outcome ``unknown``.
        fields = self._run_message.fields
        owner = self._owner
        return owner.invariants.check(
            Invariant.runs_once,
            holds=fields.idempotent or owner.ledger.note_run(fields.request_id),
            detail=fields.request_id,
        )

    def _send(self) -> None:
        self._times.start_run()
        self._target = self._owner.targets.resolve_target(
            self._run_message.fields
        )
        self._listing = self._owner.targets.find_listing(
            self._target, is_sent=True
        )
        request = build_request(
            self._owner,
            structs.replace(self._run_message, body=self._body),
            deadline=self._times.deadline,
            instance=self._target,
        )
        if not self._known_server_ends:
            self._owner.trials.note_begun(
                self._run_message, abandon=self._abort
            )
        self._call.on_run_sent()
        self._connection = self._owner.pool.send_request(request, self)
        self._acknowledge_begin()

    def _acknowledge_begin(self) -> None:
        # What arrived before the run counts for the entry's window as well.
        if self._run_message.more:
            self._unacknowledged_bytes += len(self._body)
            if self._connection is not None and not self._connection.is_full:
                self.on_writable()
        self._body = b''

    def _forward(self) -> None:
        flow = self._flow
        if flow is None or self._is_over:
            return
        response = flow.response
        if self._paced is not None and not self._is_refusal(flow):
            self._forward_paced(flow, self._paced)
            return
        if response.is_started:
            flow.send_piece()
        elif find_not_run_evidence(self._owner, response.message) is None:
            response.is_started = True
            self._start_answer(flow)
        else:
            self._forward_refusal(response.message)
            return
        flow.read_on()

    def _is_refusal(self, flow: ResponseFlow) -> bool:
        response = flow.response
        if response.is_started:
            return False
        return find_not_run_evidence(self._owner, response.message) is not None

    def _forward_paced(self, flow: ResponseFlow, paced: PacedResponse) -> None:
        if self._is_read:
            return
        response = flow.response
        message = response.message
        if not response.is_started:
            response.is_started = True
            self._begin_paced(flow, paced)
        if message.is_complete:
            self._note_read(message)
        piece = bytes(response.buffer)
        response.buffer.clear()
        if piece or message.is_complete:
            paced.add(piece, more=not message.is_complete)
        if self._connection is not None and not self._is_over:
            self._connection.set_reading(is_wanted=paced.request_room())

    def _note_read(self, message: Message) -> None:
        self._is_read = True
        self._connection = None
        self._owner.trials.note_answered(self._run_message)
        self._owner.trials.release(self._run_message)
        self._call.on_run_read(message.status)

    def _begin_paced(self, flow: ResponseFlow, paced: PacedResponse) -> None:
        response = flow.response
        message = response.message
        self._head = response.build_answer(b'')
        answer = structs.replace(self._head, body=bytes(response.buffer))
        self._idempotency.settle(answer if message.is_complete else None)
        paced.begin(
            self,
            length=message.length,
            is_error=message.status >= SERVER_ERROR_STATUS,
        )

    def _start_answer(self, flow: ResponseFlow) -> None:
        response = flow.response
        answer = response.build_answer(response.take_piece())
        is_whole = response.is_exhausted
        self._idempotency.settle(answer if is_whole else None)
        self._replies.send_response(
            self._run_message.fields,
            answer,
            more=not is_whole,
            length=response.message.length,
        )

    def _forward_refusal(self, message: Message) -> None:
        code = Code.backend_shed
        if message.status == MISDIRECTED_STATUS:
            code = Code.wrong_instance
            self._owner.targets.note_denied(
                self._target,
                reported=parse_instance(message, self._owner.dialect),
            )
        if not message.is_complete and self._connection is not None:
            self._connection.close()
        self._connection = None
        failure = CallFailed(
            code,
            detail=f'status {message.status}',
            was_rejected_by_server=True,
        )
        self._call.on_run_failed(failure)
