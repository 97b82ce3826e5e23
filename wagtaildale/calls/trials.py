"""Which suspected requests an owner lets through to its backend server."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.server_ends import ServerEnds
from wagtaildale.calls.turns import Turns
from wagtaildale.errors.codes import Code
from wagtaildale.routing.trials import list_places
from wagtaildale.suspects.recent_answers import RecentAnswers
from wagtaildale.suspects.fingerprints import (
    FingerprintInput,
    find_subject,
    compute_fingerprint,
)
from wagtaildale.suspects.records import (
    HARMFUL_ENDS,
    Standing,
    find_trial_delay,
)
from wagtaildale.types import Outcome, ServiceName

if TYPE_CHECKING:
    from wagtaildale.calls.dialect import Dialect
    from wagtaildale.calls.frames import Run
    from wagtaildale.routing.view import ViewHolder
    from wagtaildale.suspects.snapshots import Judgement, SuspectsHolder
    from wagtaildale.suspects.fingerprints import Fingerprint
    from wagtaildale.types import InstanceId
    from wagtaildale.telemetry.events import EventRecorder

# Until the place of a trial is free again: most runs are over by then.
TRIAL_RETRY_SECONDS: Final = 0.2
# A request that is held harmful is tried at a server that has been up for so
# many of its rests: one that is just back is not taken down again.
UP_RESTS: Final = 30

Begun = tuple['Run', Callable[[CallFailed], None]]


class Trials:
    """Lets one suspected request through at a time.

    Failure guarded here: a request ends every server that runs it, an
    innocent one that ran beside it each time is taken for its like. No two
    that are suspected run at one server.

    Attributes:
        board: what is known of requests.
        ends: finds out whether a server ended under some.
        answered: requests that the server has answered of late.
    """

    def __init__(
        self,
        board: SuspectsHolder,
        *,
        node: InstanceId,
        dialect: Dialect,
        view: ViewHolder,
        recorder: EventRecorder,
    ) -> None:
        """Begin with none on trial.

        Args:
            board: what is known of requests.
            node: beside the server.
            dialect: names the fields that tell a caller.
            view: tells where requests are tried.
            recorder: gets an event when a server has ended.
        """
        self.board = board
        self._node = node
        self._dialect = dialect
        self.answered = RecentAnswers()
        self.ends = ServerEnds(
            board,
            node=node,
            answered=self.answered,
            recorder=recorder,
        )
        self._view = view
        self._on_trial: Run | None = None
        self._turns = Turns()
        self._begun: dict[int, Begun] = {}

    def may_end(self, run: Run) -> bool:
        """Tell whether servers have ended under a request.

        Args:
            run: the request.

        Returns:
            Whether any is known to have.
        """
        if run.fields.ends:
            return True
        if not self.board.current.records:
            return False
        return bool(self.board.current.find(self.identify(run)).ends)

    def admit(
        self,
        run: Run,
        *,
        up_seconds: float,
        on_turn: Callable[[], None],
    ) -> int | None:
        """Let a request through, or refuse it unrun.

        Args:
            run: the request.
            up_seconds: for which the server has been up.
            on_turn: asks again when the one before it is over.

        Returns:
            How many servers have ended under it, one after the other, as
            far as is known; nothing while it waits for its turn.

        Raises:
            CallFailed: when it may not run here, or not now.
        """
        told = run.fields.ends
        if not told and not self.board.current.records:
            return 0
        fingerprint = self.identify(run)
        judgement = self.board.judge(fingerprint, reported_ends=told)
        ends = judgement.ends
        if judgement.standing is Standing.harmful:
            raise refuse_suspect(
                Code.request_harmful,
                fingerprint,
                ends=ends,
                wait_seconds=judgement.wait_seconds,
            )
        if judgement.standing is Standing.trial:
            self._check_place(run, fingerprint, judgement)
            self._begin_trial(run, fingerprint, ends, up_seconds)
        elif judgement.is_confined:
            self._check_place(run, fingerprint, judgement)
            if not self._take_turn(run, fingerprint, ends, on_turn):
                return None
        return ends

    def note_begun(
        self,
        run: Run,
        *,
        give_up: Callable[[CallFailed], None],
    ) -> None:
        """Learn that a request goes to the server.

        Failure guarded here: a request runs at two servers when it ends the
        first one, and a moment later the second. Word of the end comes before
        that, and what may run twice is given up.

        Args:
            run: the request.
            give_up: ends the run, if it is that of a request under which
                another server has ended.
        """
        if run.fields.idempotent:
            self._begun[id(run)] = (run, give_up)

    def review(self) -> None:
        """Give up the runs of requests under which other servers ended."""
        known = self.board.current
        for run, give_up in tuple(self._begun.values()):
            fingerprint = self.identify(run)
            record = known.find(fingerprint)
            if record.nodes and not self.answered.has(fingerprint):
                failure = refuse_suspect(
                    Code.request_on_trial,
                    fingerprint,
                    ends=record.ends,
                )
                failure.outcome = Outcome.unknown
                give_up(failure)

    def release(self, run: Run) -> None:
        """Learn that a request runs no more.

        Args:
            run: the request.
        """
        self._begun.pop(id(run), None)
        if self._on_trial is run:
            self._on_trial = None
        self._turns.release(run)

    def note_answered(self, run: Run) -> None:
        """Learn that a request was answered.

        Args:
            run: the request.
        """
        fingerprint = self.identify(run)
        self.answered.note(fingerprint)
        if self.board.current.records:
            self.board.note_answered(fingerprint)

    def identify(self, run: Run) -> Fingerprint:
        """Give the fingerprint of a request.

        Args:
            run: the request.

        Returns:
            By what it is known again.
        """
        return compute_fingerprint(
            FingerprintInput(
                work_class=run.fields.work_class,
                method=run.method,
                target=run.target,
                body=run.body,
            ),
            headers=run.headers,
            caller_field=self._dialect.caller_service,
        )

    def _check_place(
        self,
        run: Run,
        fingerprint: Fingerprint,
        judgement: Judgement,
    ) -> None:
        fields = run.fields
        if not judgement.nodes:
            # Its entry knows of an end that is not known here yet.
            return
        places = list_places(
            self._view.current,
            ServiceName(fields.work_class.partition('/')[0]),
            fingerprint=fingerprint,
            judgement=judgement,
        )
        nodes = [place.node_id for place in places]
        if nodes and self._node not in nodes:
            raise refuse_suspect(
                Code.request_on_trial,
                fingerprint,
                ends=judgement.ends,
            )

    def _take_turn(
        self,
        run: Run,
        fingerprint: Fingerprint,
        ends: int,
        on_turn: Callable[[], None],
    ) -> bool:
        subject = find_subject(fingerprint)
        if self._turns.is_full(subject):
            raise refuse_suspect(Code.request_on_trial, fingerprint, ends=ends)
        return self._turns.take(subject, run, on_turn=on_turn)

    def _begin_trial(
        self,
        run: Run,
        fingerprint: Fingerprint,
        ends: int,
        up_seconds: float,
    ) -> None:
        wait = 0 if ends < HARMFUL_ENDS else UP_RESTS * find_trial_delay(ends)
        left = wait - up_seconds
        if self._on_trial is not None or left > 0:
            raise refuse_suspect(
                Code.request_on_trial,
                fingerprint,
                ends=ends,
                wait_seconds=max(TRIAL_RETRY_SECONDS, left),
            )
        self._on_trial = run


def refuse_suspect(
    code: Code,
    fingerprint: Fingerprint,
    *,
    ends: int,
    wait_seconds: float = TRIAL_RETRY_SECONDS,
) -> CallFailed:
    """Make the refusal of a suspected request.

    Args:
        code: why it does not run.
        fingerprint: of the request; operators find it by that.
        ends: servers that ended under it, one after the other.
        wait_seconds: after which its caller may come back.

    Returns:
        The failure, with outcome ``not_run``.
    """
    failure = CallFailed(
        code,
        detail=fingerprint.hex(),
        retry_after=wait_seconds,
    )
    failure.ends = ends
    return failure
