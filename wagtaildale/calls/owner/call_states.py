"""States of a call at its owner, and how it ends for admission control."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Final, final

from wagtaildale.admission.limits import Ending
from wagtaildale.errors.codes import Code

if TYPE_CHECKING:
    from wagtaildale.admission.messages import Refused
    from wagtaildale.calls.wire.fields import CallFields

# A backend server that answers 503 counts as overloaded.
OVERLOAD_STATUS: Final = 503
# Tells a refusal for want of a free slot from an overload in logs.
NO_FREE_SLOT_DETAIL: Final = 'no free slot'
# Failures that indicate a fault of the backend server rather than of one
# request.
BACKEND_FAULTS: Final = frozenset(
    (
        Code.backend_cut,
        Code.backend_ended,
        Code.backend_shed,
        Code.backend_unreachable,
        Code.timed_out,
    ),
)


@final
class CallState(Enum):
    """State of a call at its owner.

    Attributes:
        receiving: its body is being received; it holds no slot and no place
            in the queue.
        waiting: it waits for a slot.
        reserved: it holds a slot and has not run.
        running: it was sent to the backend server.
        delivering: the backend server is done with it, and its response waits
            for the line; it holds no slot.
        over: it has ended.
    """

    receiving = 'receiving'
    waiting = 'waiting'
    reserved = 'reserved'
    running = 'running'
    delivering = 'delivering'
    over = 'over'


UNADMITTED_STATES: Final = frozenset((CallState.receiving, CallState.waiting))
RUN_STATES: Final = frozenset((CallState.running, CallState.delivering))


def describe_refusal(refused: Refused, fields: CallFields) -> str:
    """Describe a refusal of admission control for logs.

    Args:
        refused: the refusal.
        fields: fields of the refused call.

    Returns:
        The detail; empty if the code says all.
    """
    is_for_slot = refused.code is Code.overloaded and fields.asks_free_slot
    return NO_FREE_SLOT_DETAIL if is_for_slot else ''


def find_ending(status: int) -> Ending:
    """Find how a run that was answered ended for admission control.

    Args:
        status: HTTP status.

    Returns:
        Whether the server counts as overloaded.
    """
    return Ending.failed if status == OVERLOAD_STATUS else Ending.good
