"""Adjusts the concurrency limit of a backend server to observed run times.

The published number of slots is the upper bound. Health and load endpoints
are not used, since they lag or mislead. The limit depends on how long
requests took and on whether the backend server refused or failed them.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Final, final

from wagtaildale.admission.run_times import RunTimes

if TYPE_CHECKING:
    from wagtaildale.admission.state import AdmissionState

# Weights of a run in the smoothed run time and in its baseline.
FAST_GAIN: Final = 0.1
SLOW_GAIN: Final = 0.005
# A server is slow at this multiple of its baseline. Shorter run times than
# the minimum never count as slow.
SLOWDOWN_RATIO: Final = 4.0
MIN_SLOW_SECONDS: Final = 0.005
FAILURE_FACTOR: Final = 0.8
SLOWDOWN_FACTOR: Final = 0.95
# Minimum time between two decreases of the limit.
COOLDOWN_SECONDS: Final = 0.1


@final
class Ending(Enum):
    """How a request ended at the backend server.

    Attributes:
        good: it was answered.
        failed: the backend server shed or failed it.
        abandoned: it ended for another reason, such as a disconnected caller.
    """

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
    """Record the run time of a request and adjust the limit.

    The limit decreases multiplicatively when the backend server sheds or
    fails a request, or is several times slower than its baseline. It
    increases additively while it is fully used.

    Args:
        state: state of the gate; updated in place.
        ending: how the request ended at the backend server.
        seconds: time that the request spent at the backend server.
        now: current time, seconds.
        work_class: the request's service and class.
    """
    if ending is not Ending.failed:
        _record_run_time(state, ending, seconds, work_class, now=now)
    if ending is Ending.abandoned:
        return
    if ending is Ending.failed:
        if state.adaptive:
            _lower_limit(state, FAILURE_FACTOR, now)
        return
    # In a slow period of the server's machine, its usual times do not change.
    seconds = state.pace.normalise(seconds, now=now)
    if not state.baseline_seconds:
        # The baseline starts from the first run. If it started from an
        # assumed value, every run could look slow next to it, which would
        # reduce a healthy server to one slot.
        state.baseline_seconds = seconds
        state.service_seconds = seconds
    state.service_seconds += (seconds - state.service_seconds) * FAST_GAIN
    state.baseline_seconds += (seconds - state.baseline_seconds) * SLOW_GAIN
    known = state.class_seconds.get(work_class, seconds)
    state.class_seconds[work_class] = known + (seconds - known) * FAST_GAIN
    if not state.adaptive:
        return
    if _is_slowed(state):
        _lower_limit(state, SLOWDOWN_FACTOR, now)
    elif len(state.running) + 1 >= int(state.limit):
        state.limit = min(state.slots, state.limit + 1 / state.limit)


def _record_run_time(
    state: AdmissionState,
    ending: Ending,
    seconds: float,
    work_class: str,
    *,
    now: float,
) -> None:
    usual = state.class_run_times.setdefault(work_class, RunTimes())
    ratio = seconds / usual.reliable_mean if usual.reliable_mean else 0
    if ratio:
        is_abandoned = ending is Ending.abandoned
        note = (
            state.pace.note_abandoned if is_abandoned else state.pace.note_run
        )
        note(
            ratio,
            recent_ratio=seconds / usual.recent,
            seconds=seconds,
            now=now,
        )
    if ending is Ending.abandoned:
        usual.note_abandoned(seconds)
        state.slowness.note_abandoned(ratio)
        return
    if ratio:
        state.slowness.note(ratio)
    usual.note(seconds, usual_seconds=state.pace.normalise(seconds, now=now))


def _is_slowed(state: AdmissionState) -> bool:
    slowed = state.service_seconds > SLOWDOWN_RATIO * state.baseline_seconds
    return slowed and state.service_seconds > MIN_SLOW_SECONDS


def _lower_limit(state: AdmissionState, factor: float, now: float) -> None:
    if now - state.lowered_at < COOLDOWN_SECONDS:
        return
    state.limit = max(1, state.limit * factor)
    state.lowered_at = now
