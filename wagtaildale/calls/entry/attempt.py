"""One attempt of a call at one upstream, from the entry's side."""

from __future__ import annotations

from enum import Enum
from functools import singledispatch
from typing import TYPE_CHECKING, Final, Protocol, final

from msgspec import structs

from wagtaildale.calls.entry.call_descriptions import describe_start_limit
from wagtaildale.calls.entry.outgoing_request import (
    OutgoingBody,
    OutgoingRequest,
)
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.wire.frames import (
    Answered,
    BodyPiece,
    Failed,
    Granted,
    Reserve,
    ResponseAborted,
    Run,
    StartLimit,
    WindowUpdate,
)
from wagtaildale.errors.codes import Code
from wagtaildale.timers.service import read_clock
from wagtaildale.types import Outcome

if TYPE_CHECKING:
    from wagtaildale.calls.entry.peers import Peer
    from wagtaildale.calls.entry.targets import AttemptTarget
    from wagtaildale.calls.wire.fields import AnswerFields, CallFields
    from wagtaildale.calls.wire.frames import ToEntry

MILLISECONDS: Final = 1000


@final
class AttemptState(Enum):
    """Stage of an attempt.

    Attributes:
        reserving: a slot was requested; the request is not sent yet.
        sending: the body is being sent to an owner that runs the request only
            once all of it has arrived.
        running: the request is sent, or is the first message to be sent.
        answering: the response head has arrived, but not the whole body.
        over: the attempt has ended.
    """

    reserving = 'reserving'
    sending = 'sending'
    running = 'running'
    answering = 'answering'
    over = 'over'


# In these states the request cannot have run.
NOT_RUN_STATES: Final = frozenset(
    (AttemptState.reserving, AttemptState.sending)
)
SENDING_STATES: Final = frozenset((AttemptState.sending, AttemptState.running))


class AttemptReceiver(Protocol):
    """The call that an attempt belongs to, as the attempt uses it."""

    deadline: float

    @property
    def request(self) -> OutgoingRequest:
        """The request that the attempt sends."""

    def note_owner_state(self, attempt: Attempt, answer: AnswerFields) -> None:
        """Record the state that an owner reports with an answer.

        Args:
            attempt: attempt that was answered.
            answer: fields of the answer.
        """

    def on_answer(self, attempt: Attempt, frame: Answered) -> None:
        """Handle the upstream's response.

        Args:
            attempt: attempt that was answered.
            frame: response head with the whole body or its first piece.
        """

    def on_piece(self, attempt: Attempt, frame: BodyPiece) -> None:
        """Handle a further piece of the response body.

        Args:
            attempt: attempt that was answered.
            frame: the piece.
        """

    def on_attempt_silent(self, attempt: Attempt, failure: CallFailed) -> None:
        """Handle an owner that got the request and sends nothing for a while.

        Args:
            attempt: the attempt; it continues.
            failure: failure that the attempt would have if it were cancelled
                now.
        """

    def on_attempt_failed(self, attempt: Attempt, failure: CallFailed) -> None:
        """Handle the end of an attempt without a complete response.

        Args:
            attempt: the failed attempt.
            failure: failure of the attempt; its outcome is ``not_run`` only
                if that is certain.
        """


class Attempt:
    """Sends the request of a call to one owner; acts as ``PeerReceiver``.

    While only a reservation is pending, or a part of the body is not sent that
    the owner waits for, cancelling is safe: the request has not run. The run
    message is sent once. Any end of the attempt after that leaves the outcome
    unknown, unless the owner states that the request did not run.

    Attributes:
        target: upstream of the attempt.
        state: stage of the attempt.
        started_at: start time, seconds on the monotonic clock.
        is_run_sent: whether the owner may have what it needs to run the
            request.
        was_silent: whether the owner has been silent for a while since the
            run message; stays set when it sends something again.
    """

    def __init__(
        self,
        call: AttemptReceiver,
        *,
        target: AttemptTarget,
        peer: Peer,
    ) -> None:
        """Open a call to the owner; ``start`` sends the first message.

        Args:
            call: call that the attempt belongs to.
            target: upstream of the attempt.
            peer: connection to the owner at the target.
        """
        self.target = target
        self.state = AttemptState.running
        self.started_at = read_clock()
        self.is_run_sent = False
        self.was_silent = False
        self._call = call
        self._peer = peer
        self._number = peer.open_call(self)
        self._body = OutgoingBody(
            call.request.body, is_collected=peer.collects_bodies
        )

    @property
    def has_sent_body(self) -> bool:
        """Whether all of the request's body was sent."""
        return self._body.is_sent

    def start(self) -> None:
        """Send the first message."""
        self.target.upstream.note_begun(read_clock())
        if self._body.is_collected:
            self.state = AttemptState.sending
            self._send_run(self.target.fields)
        elif self._call.request.needs_reservation:
            self.state = AttemptState.reserving
            self._peer.send(Reserve(self._number, self.target.fields))
        else:
            self._run(self.target.fields)

    def cancel(self) -> None:
        """Cancel the attempt; the owner stops work on the call."""
        self._end(cancelled=True)

    def limit_start(self, latest_start: float) -> None:
        """Tell the owner when the run may start at the latest.

        Args:
            latest_start: latest start, seconds on the monotonic clock.
        """
        limits_it = self._peer.accepts_start_limits
        if limits_it and self.state is not AttemptState.answering:
            start_within_ms = describe_start_limit(
                latest_start, now=read_clock()
            )
            self._peer.send(StartLimit(self._number, start_within_ms))

    def send_body(self) -> None:
        """Send the available body pieces that the send window allows."""
        if self.state not in SENDING_STATES:
            return
        while self._body.may_send:
            piece = self._take_piece()
            if not piece and not self._body.is_sent:
                return
            more = not self._body.is_sent
            self._peer.send(BodyPiece(self._number, piece, more))

    def send_credit(self, size: int) -> None:
        """Allow the owner to send more of the response body.

        Args:
            size: number of response bytes that the caller has accepted.
        """
        if self.state is AttemptState.answering:
            self._peer.send(WindowUpdate(self._number, size))

    def on_frame(self, frame: ToEntry) -> None:
        """Handle a message from the owner; see ``PeerReceiver``.

        Args:
            frame: the message.
        """
        dispatch_frame(frame, self)

    def on_granted(self, frame: Granted) -> None:
        """Send the run message, now that a slot is reserved.

        Args:
            frame: message with the lease.
        """
        if self.state is not AttemptState.reserving:
            return
        if not self._accept_answer(frame.fields):
            return
        self._call.note_owner_state(self, frame.fields)
        # A lease is valid only in the process that granted it, so the run
        # message names the incarnation.
        self._run(
            structs.replace(
                self.target.fields,
                lease=frame.fields.lease,
                incarnation=frame.fields.incarnation,
                remaining_ms=self._compute_remaining_ms(),
            ),
        )

    def on_failed(self, frame: Failed) -> None:
        """Fail the attempt: the owner rejected or failed the request.

        Args:
            frame: message with the failure and the outcome.
        """
        if not self._accept_answer(frame.fields):
            return
        answer = frame.fields
        self._call.note_owner_state(self, answer)
        failure = CallFailed(
            answer.code,
            outcome=answer.outcome,
            detail=frame.detail,
            retry_after=answer.retry_ms / MILLISECONDS,
            was_rejected_by_server=answer.was_rejected_by_server,
        )
        failure.crash_count = answer.ends
        self._fail(failure, cancelled=False)

    def on_answered(self, frame: Answered) -> None:
        """Forward the response.

        Args:
            frame: response head with the whole body or its first piece.
        """
        if self.state is not AttemptState.running:
            return
        if not self._accept_answer(frame.fields):
            return
        self._call.note_owner_state(self, frame.fields)
        self.state = AttemptState.answering
        if not frame.more:
            self._end(cancelled=False)
        self._call.on_answer(self, frame)

    def on_piece(self, frame: BodyPiece) -> None:
        """Forward a further piece of the response body.

        Args:
            frame: the piece.
        """
        if self.state is not AttemptState.answering:
            return
        if not frame.more:
            self._end(cancelled=False)
        self._call.on_piece(self, frame)

    def on_window_update(self, frame: WindowUpdate) -> None:
        """Send more of the request body.

        Args:
            frame: message with the number of bytes that the owner has
                forwarded.
        """
        self._body.add_credit(frame.count)
        self.send_body()

    def on_response_aborted(self) -> None:
        """Fail the attempt: the response ended before it was complete."""
        failure = CallFailed(Code.backend_cut, outcome=Outcome.unknown)
        self._fail(failure, cancelled=False)

    def on_peer_silent(self, failure: CallFailed) -> None:
        """Handle a silent connection; see ``PeerReceiver``.

        Args:
            failure: failure that the attempt would have if it were cancelled
                now.
        """
        if self.state in NOT_RUN_STATES:
            failure.outcome = Outcome.not_run
            self._fail(failure, cancelled=True)
        elif self.state is AttemptState.running:
            self.was_silent = True
            self._call.on_attempt_silent(self, failure)
        elif read_clock() >= self._call.deadline:
            # The call's own timeout no longer applies once a response has
            # started. If the owner hangs then, nothing else would end the
            # call, and a node that stops would wait for it without limit.
            self._fail(failure, cancelled=True)

    def on_peer_lost(self, failure: CallFailed) -> None:
        """Handle a lost connection; see ``PeerReceiver``.

        Args:
            failure: reason for the loss.
        """
        if self.state in NOT_RUN_STATES:
            failure.outcome = Outcome.not_run
        self._fail(failure, cancelled=False)

    def _run(self, fields: CallFields) -> None:
        self.state = AttemptState.running
        self.is_run_sent = True
        self._send_run(fields)
        self.send_body()

    def _send_run(self, fields: CallFields) -> None:
        request = self._call.request
        piece = self._take_piece()
        self._peer.send(
            Run(
                self._number,
                fields,
                request.method,
                request.target,
                request.headers,
                piece,
                more=not self._body.is_sent,
                length=request.body.length,
            ),
        )

    def _take_piece(self) -> bytes:
        piece = self._body.take_piece()
        if self._body.is_sent and self.state is AttemptState.sending:
            self.state = AttemptState.running
            self.is_run_sent = True
        return piece

    def _accept_answer(self, answer: AnswerFields) -> bool:
        # Answers may arrive late or mixed up. One is accepted only if it names
        # this request and this attempt, so that no caller gets the response
        # to another caller's request.
        fields = self.target.fields
        if answer.request_id == fields.request_id:
            if answer.attempt == fields.attempt:
                return True
        has_not_run = self.state in NOT_RUN_STATES
        failure = CallFailed(
            Code.answer_mismatched,
            outcome=Outcome.not_run if has_not_run else Outcome.unknown,
        )
        self._fail(failure, cancelled=True)
        return False

    def _compute_remaining_ms(self) -> int:
        remaining = self._call.deadline - read_clock()
        return max(0, int(remaining * MILLISECONDS))

    def _fail(self, failure: CallFailed, *, cancelled: bool) -> None:
        if self.state is AttemptState.over:
            return
        self._end(cancelled=cancelled)
        self._call.on_attempt_failed(self, failure)

    def _end(self, *, cancelled: bool) -> None:
        if self.state is AttemptState.over:
            return
        self.state = AttemptState.over
        self.target.upstream.note_ended()
        self._peer.close_call(self._number, cancelled=cancelled)


@singledispatch
def dispatch_frame(frame: object, attempt: Attempt) -> None:
    """Dispatch an owner's message to the handler of an attempt.

    Args:
        frame: the message.
        attempt: attempt that the message is addressed to.

    Raises:
        TypeError: if no handler exists for the type of the message.
    """
    raise TypeError(f'got {frame!r}, expected a message from an owner')


@dispatch_frame.register
def _dispatch_granted(frame: Granted, attempt: Attempt) -> None:
    attempt.on_granted(frame)


@dispatch_frame.register
def _dispatch_failed(frame: Failed, attempt: Attempt) -> None:
    attempt.on_failed(frame)


@dispatch_frame.register
def _dispatch_answered(frame: Answered, attempt: Attempt) -> None:
    attempt.on_answered(frame)


@dispatch_frame.register
def _dispatch_piece(frame: BodyPiece, attempt: Attempt) -> None:
    attempt.on_piece(frame)


@dispatch_frame.register
def _dispatch_window_update(frame: WindowUpdate, attempt: Attempt) -> None:
    attempt.on_window_update(frame)


@dispatch_frame.register
def _dispatch_response_aborted(
    frame: ResponseAborted, attempt: Attempt
) -> None:
    attempt.on_response_aborted()
