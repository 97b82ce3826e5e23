"""Which suspected requests an owner lets through to its backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.server_ends import ServerEnds
from wagtaildale.errors.codes import Code
from wagtaildale.routing.trials import list_places
from wagtaildale.suspects.fingerprints import Asked, take_fingerprint
from wagtaildale.suspects.records import Standing
from wagtaildale.types import ServiceName

if TYPE_CHECKING:
    from wagtaildale.calls.dialect import Dialect
    from wagtaildale.calls.frames import Run
    from wagtaildale.routing.view import ViewHolder
    from wagtaildale.suspects.board import SuspectBoard
    from wagtaildale.suspects.fingerprints import Fingerprint
    from wagtaildale.telemetry.events import EventRecorder

# Until the place of a trial is free again: most runs are over by then.
TRIAL_RETRY_SECONDS: Final = 0.2


class Trials:
    """Lets one suspected request through at a time.

    Failure guarded here: a request ends every server that runs it, an
    innocent one that ran beside it each time is taken for its like. No two
    that are suspected run at one server.

    Attributes:
        board: what is known of requests.
        ends: finds out whether a server ended under some.
    """

    def __init__(
        self,
        board: SuspectBoard,
        *,
        dialect: Dialect,
        view: ViewHolder,
        recorder: EventRecorder,
    ) -> None:
        """Begin with none on trial.

        Args:
            board: what is known of requests.
            dialect: names the fields that tell a caller.
            view: tells where requests are tried.
            recorder: gets an event when a server has ended.
        """
        self.board = board
        self._dialect = dialect
        self.ends = ServerEnds(board, recorder=recorder)
        self._view = view
        self._on_trial: Run | None = None

    def admit(self, run: Run) -> int:
        """Let a request through, or refuse it unrun.

        Args:
            run: the request.

        Returns:
            How many servers have ended under it, one after the other, as
            far as is known.

        Raises:
            CallFailed: when it may not run here, or not now.
        """
        told = run.fields.ends
        if not told and not self.board.current.records:
            return 0
        fingerprint = self.identify(run)
        judgement = self.board.judge(fingerprint, told=told)
        ends = judgement.ends
        if judgement.standing is Standing.harmful:
            raise refuse_suspect(
                Code.request_harmful,
                fingerprint,
                ends=ends,
                wait_seconds=judgement.wait_seconds,
            )
        if judgement.standing is Standing.trial:
            self._begin_trial(run, fingerprint, ends)
        return ends

    def release(self, run: Run) -> None:
        """Learn that a request runs no more.

        Args:
            run: the request.
        """
        if self._on_trial is run:
            self._on_trial = None

    def note_answered(self, run: Run) -> None:
        """Learn that a request was answered.

        Args:
            run: the request.
        """
        if self.board.current.records:
            self.board.note_answered(self.identify(run))

    def identify(self, run: Run) -> Fingerprint:
        """Give the fingerprint of a request.

        Args:
            run: the request.

        Returns:
            By what it is known again.
        """
        return take_fingerprint(
            Asked(
                work_class=run.fields.work_class,
                method=run.method,
                target=run.target,
                body=run.body,
            ),
            headers=run.headers,
            caller_field=self._dialect.caller_service,
        )

    def _begin_trial(
        self,
        run: Run,
        fingerprint: Fingerprint,
        ends: int,
    ) -> None:
        fields = run.fields
        places = list_places(
            self._view.current,
            ServiceName(fields.work_class.partition('/')[0]),
            fingerprint=fingerprint,
            ends=ends,
        )
        is_here = any(place.instance == fields.instance for place in places)
        if not is_here or self._on_trial is not None:
            raise refuse_suspect(Code.request_on_trial, fingerprint, ends=ends)
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
