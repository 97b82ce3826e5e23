"""A slot at the backend server while a request runs there."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.admission.limits import Ending
from wagtaildale.calls.failures import CallFailed
from wagtaildale.errors.codes import Code
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from types import TracebackType

    from wagtaildale.admission.gate import Gate
    from wagtaildale.admission.messages import Admitted

SHED_STATUS: Final = 503
BACKEND_FAULTS: Final = frozenset(
    (Code.backend_cut, Code.backend_unreachable, Code.timed_out),
)


class Slot:
    """A slot at the backend server, given back when left."""

    def __init__(self, gate: Gate, admitted: Admitted) -> None:
        """Take the slot.

        Args:
            gate: where it goes back.
            admitted: the verdict.
        """
        self._ending = Ending.abandoned
        self._gate = gate
        self._admitted = admitted
        self._since = read_clock()

    def __enter__(self) -> Slot:
        """Hold the slot.

        Returns:
            Itself.
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
        if isinstance(error, CallFailed) and error.code in BACKEND_FAULTS:
            self._ending = Ending.failed
        self._gate.leave(
            self._admitted,
            seconds=read_clock() - self._since,
            ending=self._ending,
        )

    def note_status(self, status: int) -> None:
        """Note the status that the backend server answered with.

        Args:
            status: HTTP status; 503 means that it sheds.
        """
        shed = status == SHED_STATUS
        self._ending = Ending.failed if shed else Ending.good
