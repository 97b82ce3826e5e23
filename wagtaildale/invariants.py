"""Invariants that are checked in the running program.

The checks are cheap and always enabled. A violation is a defect of this
program: it is recorded as an event and counted, and the step that would
violate the invariant is skipped.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, final

from wagtaildale.errors.codes import Code
from wagtaildale.telemetry.events import EventKind

if TYPE_CHECKING:
    from wagtaildale.telemetry.events import EventRecorder


@final
class Invariant(Enum):
    """The invariants; the values are written to events."""

    version_rises = 'no node returns to an older version'
    route_has_resource = 'no route without its resource'
    version_whole = 'a version is applied whole or not at all'
    answer_matches = 'a caller gets the whole answer to its own request'
    not_run_is_true = 'what is called not run did not run'
    runs_once = 'a non-idempotent request runs at most once'
    leaving_gets_none = 'a leaving server admits no new work'


class Invariants:
    """Checks invariants and records violations.

    Example:
        >>> from wagtaildale.testing.builders import build_recorder
        >>> invariants = Invariants(build_recorder())
        >>> invariants.check(Invariant.runs_once, holds=True)
        True
    """

    def __init__(self, recorder: EventRecorder) -> None:
        """Create a checker without violations.

        Args:
            recorder: recorder of an event for each violation.
        """
        self.broken = 0
        self._recorder = recorder

    def check(
        self,
        invariant: Invariant,
        *,
        holds: bool,
        detail: str = '',
    ) -> bool:
        """Check one invariant.

        Args:
            invariant: invariant to check.
            holds: whether it holds.
            detail: details of the case, for the event.

        Returns:
            Whether the invariant holds; if not, the caller skips the step.
        """
        if not holds:
            self.broken += 1
            self._recorder.record(
                EventKind.invariant_broken,
                code=Code.invariant_broken,
                subject=invariant.value,
                detail=detail,
            )
        return holds
