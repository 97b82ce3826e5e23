"""Runs a case and turns its outcome into an exit code."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from signal import SIGTERM, signal
from types import FrameType

from harness.fleet import Deployment, Fleet
from harness.record import Record
from harness.verdicts import Verdict


def conduct(
    script: str,
    deployment: Deployment,
    run_case: Callable[[Fleet], Verdict],
) -> None:
    """Run a case beside its record, and exit with the verdict.

    Args:
        script: path of the case's script.
        deployment: deployment that the case runs on.
        run_case: runs the case; an error in it means that it could not run.
    """
    signal(SIGTERM, _leave)
    record = Record(Path(script).parent / 'record.txt')
    try:
        with Fleet(record, deployment) as fleet:
            verdict = run_case(fleet)
    except Exception as error:
        record.note(f'the case could not run: {error!r}')
        verdict = Verdict.not_run
    record.note(verdict.name)
    sys.exit(verdict)


def _leave(number: int, frame: FrameType | None) -> None:
    # Ends the processes of the fleet, as any other exit does.
    sys.exit(Verdict.not_run)
