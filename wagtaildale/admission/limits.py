"""The limit of what runs at once: it follows what is observed.

The published number of slots bounds it from above. Health and load
endpoints are not asked: they lag or mislead. What counts is how long
requests took and whether the backend server refused or failed them.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Final, final

from wagtaildale.admission.usual import UsualTime

if TYPE_CHECKING:
    from wagtaildale.admission.state import AdmissionState

FAST: Final = 0.1
SLOW: Final = 0.005
SLOWED: Final = 4.0
NOTICEABLE_SECONDS: Final = 0.005
SHRINK_FAILED: Final = 0.8
SHRINK_SLOWED: Final = 0.95
COOLDOWN_SECONDS: Final = 0.1


@final
class Ending(Enum):
    """How a request at the backend server ended."""

    good = 'good'
    failed = 'failed'
    abandoned = 'abandoned'


def adjust_limit(
    state: AdmissionState,
    *,
    ending: Ending,
    seconds: float,
    now: float,
    work_class: str = '',
) -> None:
    """Note the time of a request and move the limit.

    Multiplicative decrease when the backend server sheds, fails or has
    become several times slower than it was; additive increase while the
    limit is used up.

    Args:
        state: the gate; moved forward in place.
        ending: how the request ended.
        seconds: it spent at the backend server.
        now: seconds.
        work_class: service and class.
    """
    if ending is not Ending.failed:
        _note_times(state, ending, seconds, work_class)
    if ending is Ending.abandoned:
        return
    if ending is Ending.failed:
        if state.adaptive:
            _shrink(state, SHRINK_FAILED, now)
        return
    if not state.usual_seconds:
        # Failure: the usual time starts from a guess, every answer looks
        # slow beside it, and a healthy server is held to one slot.
        state.usual_seconds = seconds
        state.service_seconds = seconds
    state.service_seconds += (seconds - state.service_seconds) * FAST
    state.usual_seconds += (seconds - state.usual_seconds) * SLOW
    known = state.class_seconds.get(work_class, seconds)
    state.class_seconds[work_class] = known + (seconds - known) * FAST
    if not state.adaptive:
        return
    if _is_slowed(state):
        _shrink(state, SHRINK_SLOWED, now)
    elif len(state.running) + 1 >= int(state.limit):
        state.limit = min(state.slots, state.limit + 1 / state.limit)


def _note_times(
    state: AdmissionState,
    ending: Ending,
    seconds: float,
    work_class: str,
) -> None:
    usual = state.class_usual.setdefault(work_class, UsualTime())
    ratio = seconds / usual.told if usual.told else 0
    if ending is Ending.abandoned:
        usual.note_abandoned(seconds)
        state.condition.note_abandoned(ratio)
        return
    usual.note(seconds)
    if ratio:
        state.condition.note(ratio)


def _is_slowed(state: AdmissionState) -> bool:
    slowed = state.service_seconds > SLOWED * state.usual_seconds
    return slowed and state.service_seconds > NOTICEABLE_SECONDS


def _shrink(state: AdmissionState, factor: float, now: float) -> None:
    if now - state.shrunk_at < COOLDOWN_SECONDS:
        return
    state.limit = max(1, state.limit * factor)
    state.shrunk_at = now
