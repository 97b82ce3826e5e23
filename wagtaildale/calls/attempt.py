"""One attempt of a call at one upstream, as its entry sees it."""

from __future__ import annotations

from enum import Enum
from functools import singledispatch
from typing import TYPE_CHECKING, Final, Protocol, final

from msgspec import structs

from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.frames import (
    Answered,
    ResponseAborted,
    Failed,
    Granted,
    BodyPiece,
    Reserve,
    Run,
    WindowUpdate,
)
from wagtaildale.calls.windows import SendWindow
from wagtaildale.errors.codes import Code
from wagtaildale.timers.service import read_clock
from wagtaildale.types import Outcome

if TYPE_CHECKING:
    from wagtaildale.calls.bodies import RequestBody
    from wagtaildale.calls.fields import AnswerFields, CallFields
    from wagtaildale.calls.frames import HeaderPairs, ToEntry
    from wagtaildale.calls.peers import Peer
    from wagtaildale.calls.targets import Target

MILLISECONDS: Final = 1000


@final
class AttemptState(Enum):
    """Where an attempt stands."""

    reserving = 'reserving'
    running = 'running'
    answering = 'answering'
    over = 'over'


class AttemptOwner(Protocol):
    """The call that an attempt belongs to."""

    deadline: float

    @property
    def request(self) -> RequestParts:
        """What is sent."""

    def note_answer(self, attempt: Attempt, answer: AnswerFields) -> None:
        """Take what an owner says of itself with an answer.

        Args:
            attempt: that was answered.
            answer: the owner's word.
        """

    def on_answer(self, attempt: Attempt, frame: Answered) -> None:
        """Take the upstream's response.

        Args:
            attempt: whose.
            frame: head and body, or its beginning.
        """

    def on_piece(self, attempt: Attempt, frame: BodyPiece) -> None:
        """Take more of the response's body.

        Args:
            attempt: whose.
            frame: the piece.
        """

    def on_attempt_silent(self, attempt: Attempt, failure: CallFailed) -> None:
        """Learn that nothing is heard of an owner that was sent the request.

        Args:
            attempt: which; it goes on.
            failure: that it has if it is given up now.
        """

    def on_attempt_failed(self, attempt: Attempt, failure: CallFailed) -> None:
        """Learn that an attempt ends without a whole response.

        Args:
            attempt: which.
            failure: with outcome ``not_run`` only where that is certain.
        """


class RequestParts:
    """What every attempt of a call sends."""

    def __init__(
        self,
        *,
        method: bytes,
        target: bytes,
        headers: HeaderPairs,
        body: RequestBody,
        reserves: bool,
    ) -> None:
        """Gather the parts.

        Args:
            method: HTTP method.
            target: path and query as they came.
            headers: those that go on.
            body: of the request.
            reserves: whether a slot is reserved before the request runs.
        """
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.reserves = reserves


class Attempt:
    """Speaks to one owner for one call; a ``PeerReceiver``.

    While only a reservation is out, giving up is safe and the request has
    not run. The run message goes out once. Whatever ends the attempt after
    it leaves the outcome unknown, unless the owner says that nothing ran.

    Attributes:
        target: where it goes.
        state: where it stands.
        started_at: seconds on the clock.
        was_run: whether the run message went out.
        is_silent: whether nothing was heard of the owner for a while.
    """

    def __init__(
        self,
        call: AttemptOwner,
        *,
        target: Target,
        peer: Peer,
    ) -> None:
        """Prepare.

        Args:
            call: that it belongs to.
            target: where it goes.
            peer: the owner there.
        """
        self.target = target
        self.state = AttemptState.running
        self.started_at = read_clock()
        self.was_run = False
        self.is_silent = False
        self._call = call
        self._peer = peer
        self._number = peer.open_call(self)
        self._window = SendWindow()
        self._has_sent_all = False

    def begin(self) -> None:
        """Send the first message."""
        self.target.upstream.note_begun(read_clock())
        if self._call.request.reserves:
            self.state = AttemptState.reserving
            self._peer.send(Reserve(self._number, self.target.fields))
        else:
            self._run(self.target.fields)

    def cancel(self) -> None:
        """Give up: the owner stops what it does for the call."""
        self._end(cancelled=True)

    def send_body(self) -> None:
        """Send what has come of the body, as far as the owner takes it."""
        body = self._call.request.body
        if self.state is not AttemptState.running or body.is_replayable:
            return
        while self._window.is_open and not self._has_sent_all:
            piece = body.take()
            self._has_sent_all = body.is_exhausted
            if not piece and not self._has_sent_all:
                return
            self._window.note_sent(len(piece))
            more = not self._has_sent_all
            self._peer.send(BodyPiece(self._number, piece, more))

    def note_taken(self, size: int) -> None:
        """Tell the owner that the caller has taken a part of the response.

        Args:
            size: of it, bytes.
        """
        if self.state is AttemptState.answering:
            self._peer.send(WindowUpdate(self._number, size))

    def on_frame(self, frame: ToEntry) -> None:
        """Take a message of the owner; see ``PeerReceiver``.

        Args:
            frame: the message.
        """
        take_frame(frame, self)

    def on_granted(self, frame: Granted) -> None:
        """Send the run message: a slot is held for it.

        Args:
            frame: with the lease.
        """
        if self.state is not AttemptState.reserving:
            return
        if not self._is_mine(frame.answer):
            return
        self._call.note_answer(self, frame.answer)
        # A lease holds in the process that gave it, in no other: the run
        # message names its incarnation.
        self._run(
            structs.replace(
                self.target.fields,
                lease=frame.answer.lease,
                incarnation=frame.answer.incarnation,
                remaining_ms=self._find_remaining(),
            ),
        )

    def on_failed(self, frame: Failed) -> None:
        """End without a response.

        Args:
            frame: why, and whether the request has run.
        """
        if not self._is_mine(frame.answer):
            return
        answer = frame.answer
        self._call.note_answer(self, answer)
        failure = CallFailed(
            answer.code,
            outcome=answer.outcome,
            detail=frame.detail,
            retry_after=answer.retry_ms / MILLISECONDS,
            has_arrived=answer.has_arrived,
        )
        failure.ends = answer.ends
        self._fail(failure, cancelled=False)

    def on_answered(self, frame: Answered) -> None:
        """Pass the response on.

        Args:
            frame: head and body, or its beginning.
        """
        if self.state is not AttemptState.running:
            return
        if not self._is_mine(frame.answer):
            return
        self._call.note_answer(self, frame.answer)
        self.state = AttemptState.answering
        if not frame.more:
            self._end(cancelled=False)
        self._call.on_answer(self, frame)

    def on_piece(self, frame: BodyPiece) -> None:
        """Pass more of the response on.

        Args:
            frame: the piece.
        """
        if self.state is not AttemptState.answering:
            return
        if not frame.more:
            self._end(cancelled=False)
        self._call.on_piece(self, frame)

    def on_taken(self, frame: WindowUpdate) -> None:
        """Send more of the request's body.

        Args:
            frame: how much the owner has passed on.
        """
        self._window.note_taken(frame.count)
        self.send_body()

    def on_cut(self) -> None:
        """End: the response broke off."""
        failure = CallFailed(Code.backend_cut, outcome=Outcome.unknown)
        self._fail(failure, cancelled=False)

    def on_peer_silent(self, failure: CallFailed) -> None:
        """Learn that nothing was heard for a while; see ``PeerReceiver``.

        Args:
            failure: that the attempt has if it is given up now.
        """
        if self.state is AttemptState.reserving:
            failure.outcome = Outcome.not_run
            self._fail(failure, cancelled=True)
        elif self.state is AttemptState.running:
            self.is_silent = True
            self._call.on_attempt_silent(self, failure)
        elif read_clock() >= self._call.deadline:
            # Failure: an owner stands still after it has begun an answer,
            # and nothing ever ends the call, nor a stop that waits for it.
            self._fail(failure, cancelled=True)

    def on_peer_lost(self, failure: CallFailed) -> None:
        """Learn that no further message comes; see ``PeerReceiver``.

        Args:
            failure: why.
        """
        if self.state is AttemptState.reserving:
            failure.outcome = Outcome.not_run
        self._fail(failure, cancelled=False)

    def _run(self, fields: CallFields) -> None:
        request = self._call.request
        self.state = AttemptState.running
        self.was_run = True
        body = request.body.take()
        self._window.note_sent(len(body))
        self._has_sent_all = (
            request.body.is_replayable or request.body.is_exhausted
        )
        self._peer.send(
            Run(
                self._number,
                fields,
                request.method,
                request.target,
                request.headers,
                body,
                more=not self._has_sent_all,
                length=request.body.length,
            ),
        )
        self.send_body()

    def _is_mine(self, answer: AnswerFields) -> bool:
        # Failure: answers come late or crossed, and a caller gets another's.
        # An answer counts only if it names this request and this attempt.
        fields = self.target.fields
        if answer.request_id == fields.request_id:
            if answer.attempt == fields.attempt:
                return True
        reserving = self.state is AttemptState.reserving
        failure = CallFailed(
            Code.answer_mismatched,
            outcome=Outcome.not_run if reserving else Outcome.unknown,
        )
        self._fail(failure, cancelled=True)
        return False

    def _find_remaining(self) -> int:
        rest = self._call.deadline - read_clock()
        return max(0, int(rest * MILLISECONDS))

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
def take_frame(frame: object, attempt: Attempt) -> None:
    """Give an attempt a message of its owner.

    Args:
        frame: the message.
        attempt: that it is for.

    Raises:
        TypeError: for a message that no attempt knows.
    """
    raise TypeError(f'got {frame!r}, expected a message of an owner')


@take_frame.register
def _take_granted(frame: Granted, attempt: Attempt) -> None:
    attempt.on_granted(frame)


@take_frame.register
def _take_failed(frame: Failed, attempt: Attempt) -> None:
    attempt.on_failed(frame)


@take_frame.register
def _take_answered(frame: Answered, attempt: Attempt) -> None:
    attempt.on_answered(frame)


@take_frame.register
def _take_piece(frame: BodyPiece, attempt: Attempt) -> None:
    attempt.on_piece(frame)


@take_frame.register
def _take_taken(frame: WindowUpdate, attempt: Attempt) -> None:
    attempt.on_taken(frame)


@take_frame.register
def _take_cut(frame: ResponseAborted, attempt: Attempt) -> None:
    attempt.on_cut()
