"""Simulated line into one node, on which bodies and small questions arrive."""

from __future__ import annotations

import random
from functools import partial
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.admission.incoming_line import (
    UNSOLICITED_BYTES,
    IncomingLine,
    TransferId,
    TransferLimits,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.testing.replay.clock import VirtualClock

# One-way delay between two nodes beside the time on the line.
DELAY_SECONDS: Final = 0.002
QUESTION_BYTES: Final = 1024
LIMITS: Final = TransferLimits(
    target_seconds=1, deadline_seconds=3, patient=True
)


class LineLoad(Struct, frozen=True, kw_only=True):
    """What the senders of all other nodes put on the line.

    Attributes:
        bodies_per_second: rate of request bodies.
        body_bytes: mean size of a body, log-normal.
        spread: standard deviation of the logarithm of the size.
        questions_per_second: rate of small messages.
    """

    bodies_per_second: float
    body_bytes: int
    spread: float = 0.6
    questions_per_second: float = 0


class ReplayLine:
    """A line that carries what arrives first to its end, one after another.

    Attributes:
        question_seconds: time of each question from its sender to the node.
        body_seconds: time of each body from its sender to the node, by size.
    """

    def __init__(
        self,
        clock: VirtualClock,
        line: IncomingLine,
        *,
        uses_credits: bool,
    ) -> None:
        """Create an idle line.

        Args:
            clock: virtual clock.
            line: state of the receiving node.
            uses_credits: whether senders wait for credits; otherwise they send
                whole bodies.
        """
        self.question_seconds: list[float] = []
        self.body_seconds: list[tuple[int, float]] = []
        self._clock = clock
        self._line = line
        self._uses_credits = uses_credits
        self._free_at = float(0)
        self._last_transfer = 0
        self._sizes: dict[TransferId, int] = {}
        self._begun_at: dict[TransferId, float] = {}
        self._silent: set[TransferId] = set()

    def play(self, load: LineLoad, *, seconds: float) -> None:
        """Schedule the arrivals of a load and run it to its end.

        Args:
            load: bodies and questions.
            seconds: length of the load.
        """
        self._schedule(
            load.bodies_per_second, seconds, partial(self._add, load)
        )
        self._schedule(load.questions_per_second, seconds, self.ask)
        self._clock.run(until=seconds)

    def ask(self) -> None:
        """Send a question now."""
        asked_at = self._clock.now
        self._carry(
            QUESTION_BYTES,
            lambda: self.question_seconds.append(self._clock.now - asked_at),
        )

    def send_body(self, size: int, *, stops_half_way: bool = False) -> None:
        """Send a body now.

        Args:
            size: bytes of the body.
            stops_half_way: whether the sender leaves its credits unused.
        """
        self._last_transfer += 1
        transfer = TransferId(self._last_transfer)
        self._sizes[transfer] = size
        self._begun_at[transfer] = self._clock.now
        if stops_half_way:
            self._silent.add(transfer)
        first = min(size, UNSOLICITED_BYTES) if self._uses_credits else size
        self._carry(first, partial(self._begin, transfer, size - first))

    def _schedule(
        self, per_second: float, seconds: float, action: Callable[[], None]
    ) -> None:
        at = self._clock.now
        while per_second:
            at += random.expovariate(per_second)
            if at >= seconds:
                return
            self._clock.schedule(at - self._clock.now, action)

    def _add(self, load: LineLoad) -> None:
        factor = random.lognormvariate(-(load.spread**2) / 2, load.spread)
        self.send_body(max(1, round(load.body_bytes * factor)))

    def _carry(self, size: int, action: Callable[[], None]) -> None:
        begins = max(self._free_at, self._clock.now + DELAY_SECONDS)
        self._free_at = begins + size / self._line.rate.bytes_per_second
        self._clock.schedule(self._free_at - self._clock.now, action)

    def _begin(self, transfer: TransferId, left: int) -> None:
        if left:
            self._line.begin(
                transfer,
                size=left,
                limits=LIMITS,
                now=self._clock.now,
            )
            self._issue()
        else:
            self._finish(transfer)

    def _receive(self, transfer: TransferId, size: int) -> None:
        self._line.note_received(transfer, size, now=self._clock.now)
        if not self._line.transfers[transfer].remaining:
            self._line.end(transfer)
            self._finish(transfer)
        self._issue()

    def _issue(self) -> None:
        for credit in self._line.issue_credits(now=self._clock.now):
            if credit.transfer not in self._silent:
                self._clock.schedule(
                    DELAY_SECONDS,
                    partial(
                        self._carry,
                        credit.size,
                        partial(self._receive, credit.transfer, credit.size),
                    ),
                )

    def _finish(self, transfer: TransferId) -> None:
        seconds = self._clock.now - self._begun_at.pop(transfer)
        self.body_seconds.append((self._sizes.pop(transfer), seconds))
