"""Receives request bodies at an owner before they need a slot.

A slot that is held while a body crosses a slow line is a slot in which the
backend server does nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import structs

from wagtaildale.admission.incoming_line import (
    STALL_SECONDS,
    IncomingLine,
    TransferId,
)
from wagtaildale.calls.failures import CallFailed
from wagtaildale.errors.codes import Code
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.calls.frames import BodyPiece, Run
    from wagtaildale.timers.alarms import Alarm, Alarms

# A larger body is streamed to the backend server as it arrives.
MAX_COLLECTED_BYTES: Final = 524_288


class BodyCollector:
    """Grants the entries credits for the bodies that this node collects.

    Attributes:
        line: bodies on their way into the node.
    """

    def __init__(self, line: IncomingLine, *, alarms: Alarms) -> None:
        """Start without bodies.

        Args:
            line: state of the node's line.
            alarms: alarms of the task that carries the calls.
        """
        self.line = line
        self._alarms = alarms
        self._alarm: Alarm | None = None
        self._last_transfer = 0
        self._senders: dict[TransferId, Callable[[int], None]] = {}

    def begin(
        self,
        size: int,
        *,
        max_seconds: float,
        send_credit: Callable[[int], None],
    ) -> TransferId:
        """Accept a body and grant its first credit as soon as it fits.

        Args:
            size: bytes that have not arrived.
            max_seconds: time in which the body has to arrive, seconds.
            send_credit: sends the entry the number of bytes granted.

        Returns:
            Identifier of the body.

        Raises:
            CallFailed: if the line cannot carry the body in time.
        """
        seconds = self.line.estimate_seconds(size)
        if seconds > max_seconds or not self.line.has_room(size):
            raise CallFailed(
                Code.overloaded,
                detail=(
                    f'the line needs {seconds:.2f} s for the body, '
                    f'expected at most {max_seconds:.2f} s'
                ),
                retry_after=max(0, seconds - max_seconds),
            )
        self._last_transfer += 1
        transfer = TransferId(self._last_transfer)
        self._senders[transfer] = send_credit
        self.line.begin(transfer, size=size, now=read_clock())
        self._issue_credits()
        return transfer

    def note_received(self, transfer: TransferId, size: int) -> None:
        """Count bytes that have arrived.

        Args:
            transfer: identifies the body.
            size: number of bytes.
        """
        self.line.note_received(transfer, size, now=read_clock())
        self._issue_credits()

    def end(self, transfer: TransferId) -> None:
        """Remove a body that has arrived or is no longer wanted.

        Args:
            transfer: identifies the body.
        """
        if self._senders.pop(transfer, None) is not None:
            self.line.end(transfer)
            self._issue_credits()

    def _issue_credits(self) -> None:
        for credit in self.line.issue_credits(now=read_clock()):
            self._senders[credit.transfer](credit.size)
        is_set = self._alarm is not None and self._alarm.is_set
        if self.line.transfers and not is_set:
            # Passes the credit of a stalled sender on to others.
            self._alarm = self._alarms.set(STALL_SECONDS, self._issue_credits)


class ReceivedBody:
    """The body of one request, as far as it has arrived."""

    def __init__(self, run: Run, *, collector: BodyCollector) -> None:
        """Begin with the bytes of the run message.

        Args:
            run: run message of the request.
            collector: grants credits for the rest of the body.
        """
        self._run = run
        self._collector = collector
        self._bytes = bytearray(run.body)
        self._is_complete = not run.more
        self._transfer: TransferId | None = None

    @property
    def is_complete(self) -> bool:
        """Whether the whole body has arrived."""
        return self._is_complete

    @property
    def is_collectable(self) -> bool:
        """Whether the rest of the body is received before the request runs."""
        is_short = 0 <= self._run.length <= MAX_COLLECTED_BYTES
        return is_short and not self._is_complete

    def collect(
        self,
        *,
        max_seconds: float,
        send_credit: Callable[[int], None],
    ) -> None:
        """Receive the rest of the body on credits.

        Args:
            max_seconds: time in which the body has to arrive, seconds.
            send_credit: sends the entry the number of bytes granted.

        Raises:
            CallFailed: if the line cannot carry the body in time.
        """
        self._transfer = self._collector.begin(
            self._run.length - len(self._bytes),
            max_seconds=max_seconds,
            send_credit=send_credit,
        )

    def add(self, piece: BodyPiece) -> None:
        """Add a piece that has arrived.

        Args:
            piece: the piece.

        Raises:
            CallFailed: if the body gets longer than announced.
        """
        self._bytes += piece.body
        self._is_complete = not piece.more
        if self._transfer is None:
            return
        self._collector.note_received(self._transfer, len(piece.body))
        if len(self._bytes) > self._run.length:
            raise CallFailed(
                Code.message_malformed,
                detail=(
                    f'got {len(self._bytes)} bytes of a body, '
                    f'expected {self._run.length}'
                ),
            )
        if self._is_complete:
            self.close()

    def build_run(self) -> Run:
        """Build the run message with all that has arrived.

        Returns:
            The message; pieces may follow if the body is not complete.
        """
        return structs.replace(
            self._run,
            body=bytes(self._bytes),
            more=not self._is_complete,
        )

    def close(self) -> None:
        """Return credits that are not used."""
        if self._transfer is not None:
            self._collector.end(self._transfer)
