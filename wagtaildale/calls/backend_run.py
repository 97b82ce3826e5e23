"""One request at the backend server: sent if it may run, and answered."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Final, Protocol

from wagtaildale.admission.replay_cache import StoredAnswer
from wagtaildale.calls.backend_messages import (
    MISDIRECTED_STATUS,
    BackendResponse,
    build_request,
    find_refusal,
)
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.heads import pass_on
from wagtaildale.calls.keyed import KeyedRun
from wagtaildale.calls.server_ends import CutRun
from wagtaildale.calls.server_words import read_word
from wagtaildale.errors.codes import Code
from wagtaildale.invariants import Invariant
from wagtaildale.types import Outcome

if TYPE_CHECKING:
    from wagtaildale.calls.backends import BackendConnection
    from wagtaildale.calls.call_times import CallTimes
    from wagtaildale.calls.frames import Piece, Run
    from wagtaildale.calls.owner import Owner
    from wagtaildale.calls.parsing import Message
    from wagtaildale.calls.replies import Replies

# A response up to this size is whole before any of it goes on: one that is
# cut is then an error of its own, and never a short answer.
WHOLE_BYTES: Final = 65_536


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
        self._keyed = KeyedRun(run, owner.replays)
        self._connection: BackendConnection | None = None
        self._response: BackendResponse | None = None
        self._target = run.fields.instance
        self._owed = 0
        self._ends = 0
        self._kept: StoredAnswer | None = None
        self._is_over = False

    @property
    def is_answering(self) -> bool:
        """Whether the beginning of the answer was passed on."""
        return self._response is not None and self._response.is_begun

    def begin(self) -> None:
        """Send the request, or give the answer kept for its key."""
        owner = self._owner
        if owner.trials.may_end(self._run):
            # The server that ended under it may be back in a moment.
            owner.pool.watch.wait_up(self._begin)
        else:
            self._begin()

    def add(self, piece: Piece) -> None:
        """Pass more of the request's body on.

        Args:
            piece: of the body.
        """
        if self._connection is not None:
            self._connection.add(piece.body, more=piece.more)
            self._owed += len(piece.body)
            if not self._connection.is_full:
                self.on_room()

    def note_taken(self, count: int) -> None:
        """Send more of the response.

        Args:
            count: bytes that the entry has passed on.
        """
        if self._response is not None:
            self._response.window.note_taken(count)
            self._pass_on()

    def close(self) -> None:
        """Stop; what comes after this is dropped."""
        self._is_over = True
        self._owner.trials.release(self._run)
        connection = self._connection
        self._connection = None
        if connection is not None:
            # The backend server drops a request whose connection closes.
            connection.close()

    def settle_claims(self, failure: CallFailed) -> None:
        """Settle what is kept of a request that must not run twice.

        Args:
            failure: how it ended.
        """
        if failure.outcome is Outcome.not_run:
            self._owner.ledger.forget(self._run.fields.request_id)
            self._keyed.forget()
        else:
            self._keyed.end(None)

    def on_head(self, message: Message) -> None:
        """Take the head of the backend server's response.

        Args:
            message: the response.
        """
        self._response = BackendResponse(message)
        if message.status != MISDIRECTED_STATUS:
            owner = self._owner
            owner.server.take_word(
                read_word(message, owner.dialect),
                instance=self._target,
                begun_at=self._times.running_since,
            )

    def on_body(self) -> None:
        """Take what has come of the response."""
        response = self._response
        if response is None:
            return
        response.held += response.message.take_body()
        whole = response.message.is_complete
        if whole:
            # The connection is free for another request, or closed.
            self._connection = None
        if whole or response.is_begun or len(response.held) > WHOLE_BYTES:
            self._pass_on()

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
                CutRun(
                    instance=self._target,
                    fingerprint=owner.trials.identify(self._run),
                    ends=self._ends,
                    is_leaving=owner.server.leaving.is_leaving(self._target),
                    conclude=partial(self._conclude_cut, failure),
                ),
                pool=owner.pool,
            )
        else:
            self._call.on_run_failed(failure)

    def on_room(self) -> None:
        """Learn that the backend server has taken what was sent."""
        if self._owed:
            self._replies.acknowledge(self._owed)
            self._owed = 0

    def _begin(self) -> None:
        if self._is_over:
            return
        try:
            is_admitted = self._admit()
        except CallFailed as failure:
            self._call.on_run_failed(failure)
            return
        if self._kept is not None:
            self._replies.repeat(self._run.fields, self._kept)
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
        self._ends = ends
        self._kept = self._keyed.begin()
        return True

    def _conclude_cut(self, failure: CallFailed, ends: int) -> None:
        if ends:
            failure.code = Code.backend_ended
            failure.ends = ends
        self._call.on_run_failed(failure)

    def _give_up(self, failure: CallFailed) -> None:
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
        self._times.begin_run()
        self._target = self._owner.server.name(self._run.fields)
        request = build_request(
            self._owner,
            self._run,
            deadline=self._times.deadline,
            instance=self._target,
        )
        if not self._ends:
            self._owner.trials.note_begun(self._run, give_up=self._give_up)
        self._connection = self._owner.pool.ask(request, self)

    def _pass_on(self) -> None:
        response = self._response
        if response is None or self._is_over:
            return
        message = response.message
        if response.is_begun:
            self._add_piece(response)
        elif find_refusal(self._owner, message) is None:
            response.is_begun = True
            self._begin_answer(response)
        else:
            self._pass_refusal(message)
            return
        if message.is_complete and not response.held:
            self._connection = None
            self._owner.trials.note_answered(self._run)
            self._call.on_run_finished(message.status)
        elif self._connection is not None:
            self._connection.read_more(wanted=response.window.is_open)

    def _add_piece(self, response: BackendResponse) -> None:
        complete = response.message.is_complete
        if response.window.is_open and (response.held or complete):
            self._replies.add(response.take_held(), more=not complete)

    def _begin_answer(self, response: BackendResponse) -> None:
        message = response.message
        answer = StoredAnswer(
            status=message.status,
            headers=tuple(pass_on(message)),
            body=response.take_held(),
        )
        self._keyed.end(answer if message.is_complete else None)
        self._replies.answer(
            self._run.fields,
            answer,
            more=not message.is_complete,
            length=message.length,
        )

    def _pass_refusal(self, message: Message) -> None:
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
