"""What an owner tells entries of its backend server's load and limits."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.admission.shares import ALL_PASS, PassShare
from wagtaildale.admission.capacity import compute_pass_share
from wagtaildale.calls.fields import UNHEARD_RATE, encode_rate
from wagtaildale.calls.frames import Load
from wagtaildale.telemetry.events import EventKind
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.admission.gate import Gate
    from wagtaildale.routing.leavers import Leaver
    from wagtaildale.telemetry.events import EventRecorder
    from wagtaildale.types import InstanceId

PERCENT: Final = 100


class LoadTeller:
    """Tells connected entries unasked when they are to send more, or less.

    Attributes:
        listeners: are told.
    """

    def __init__(
        self,
        gate: Gate,
        *,
        instance: InstanceId,
        recorder: EventRecorder,
    ) -> None:
        """Begin with nobody to tell.

        Args:
            gate: in front of the backend server.
            instance: of this node.
            recorder: gets an event when the server turns slow, or well.
        """
        self.listeners: list[Callable[[Load], None]] = []
        self._is_up = True
        self._leaving: Leaver | None = None
        self._gate = gate
        self._instance = instance
        self._recorder = recorder

    def tell_changes(self) -> None:
        """Tell what entries do not know yet, if it matters to them."""
        now = read_clock()
        percent = self._note_condition(now)
        demand = self._gate.state.demand
        if demand.update_announcement(self._share_out(now), now=now) or percent:
            self._tell(self._describe_load(percent))

    def tell_leaving(self, leaving: Leaver) -> None:
        """Tell that the backend server has said that it leaves.

        Args:
            leaving: the server.
        """
        self._leaving = leaving
        self._tell(self._describe_load(0))

    def tell_up(self, *, is_up: bool) -> None:
        """Tell whether the backend server takes connections.

        Args:
            is_up: whether it does.
        """
        if is_up and not self._is_up:
            # What comes back has said nothing yet.
            self._leaving = None
        self._is_up = is_up
        self._tell(self._describe_load(0))

    def describe_need(self) -> Load | None:
        """Describe the load to an entry that has just connected.

        Returns:
            What others were told unasked; nothing of a sound server.
        """
        load = self._describe_load(0)
        is_sound = load.is_up and load.share is None and load.leaving is None
        return None if is_sound else load

    def describe_rate(self) -> int:
        """Describe the rate that the backend server takes.

        Returns:
            Thousandths of a request a second, or a negative mark.
        """
        rate = self._gate.state.rate
        if rate.is_observed or rate.is_limited:
            return encode_rate(rate.per_second)
        return UNHEARD_RATE

    def describe_share(self) -> PassShare | None:
        """Describe which requests entries may send.

        Returns:
            The share of each rank; nothing if all may come.
        """
        share = self._share_out(read_clock())
        return None if share == ALL_PASS else share

    def _note_condition(self, now: float) -> int:
        condition = self._gate.state.slowness
        if not condition.update_announcement(now=now):
            return 0
        kind = EventKind.backend_well
        if condition.is_slow:
            kind = EventKind.backend_slow
        percent = round(condition.announced_ratio * PERCENT)
        self._recorder.record(kind, inputs={'slowness_percent': percent})
        return percent

    def _share_out(self, now: float) -> PassShare:
        return compute_pass_share(self._gate.state, now=now)

    def _describe_load(self, slowness_percent: int) -> Load:
        state = self._gate.state
        return Load(
            instance=self._instance,
            in_flight=len(state.running),
            limit=int(state.limit),
            queued=len(state.queue),
            is_up=self._is_up,
            slowness_percent=slowness_percent,
            rate_milli=self.describe_rate(),
            share=self.describe_share(),
            leaving=self._leaving,
        )

    def _tell(self, load: Load) -> None:
        for tell in self.listeners:
            tell(load)
