"""Receives request bodies at an owner before they need a slot.

A slot that is held while a body crosses a slow line is a slot in which the
backend server does nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol

from msgspec import structs

from wagtaildale.admission.incoming_line import (
    STALL_SECONDS,
    IncomingLine,
    TransferId,
    TransferLimits,
    has_room,
)
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.http.parsing import HEADER_BYTES
from wagtaildale.errors.codes import Code
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from wagtaildale.calls.wire.fields import CallFields
    from wagtaildale.calls.wire.frames import BodyPiece, Run
    from wagtaildale.timers.alarms import Alarm, Alarms

# A larger body is streamed to the backend server as it arrives.
MAX_COLLECTED_BYTES: Final = 524_288
MILLISECONDS: Final = 1000
# Memory of a request at its owner beside its headers and body.
REQUEST_BYTES: Final = 4096


class BodySender(Protocol):
    """The entry that sends a body, as the collector uses it."""

    def send_credit(self, size: int) -> None:
        """Let the entry send more.

        Args:
            size: number of bytes.
        """

    def give_up_body(self) -> None:
        """Refuse the request: its body cannot arrive in time."""


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
        self._senders: dict[TransferId, BodySender] = {}

    def begin(
        self,
        size: int,
        *,
        limits: TransferLimits,
        sender: BodySender,
    ) -> TransferId:
        """Accept a body and grant its first credit as soon as it fits.

        Args:
            size: bytes that have not arrived.
            limits: times in which the body has to arrive.
            sender: the entry that sends the body.

        Returns:
            Identifier of the body.

        Raises:
            CallFailed: if the line cannot carry the body in time.
        """
        now = read_clock()
        overdue = self.line.find_overdue_seconds(size, limits=limits, now=now)
        if overdue > 0 or not has_room(self.line, size):
            raise CallFailed(
                Code.overloaded,
                detail=(
                    f'the line needs {overdue:.2f} s more for the body than '
                    'there is time'
                ),
                retry_after=max(0, overdue),
            )
        self._last_transfer += 1
        transfer = TransferId(self._last_transfer)
        self._senders[transfer] = sender
        self.line.begin(transfer, size=size, limits=limits, now=now)
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
        now = read_clock()
        for transfer in self.line.list_hopeless(now=now):
            self.line.end(transfer)
            self._senders.pop(transfer).give_up_body()
        for credit in self.line.issue_credits(now=now):
            self._senders[credit.transfer].send_credit(credit.size)
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
        limits: TransferLimits,
        sender: BodySender,
    ) -> None:
        """Receive the rest of the body on credits.

        Args:
            limits: times in which the body has to arrive.
            sender: the entry that sends the body.

        Raises:
            CallFailed: if the line cannot carry the body in time.
        """
        self._transfer = self._collector.begin(
            self._run.length - len(self._bytes),
            limits=limits,
            sender=sender,
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

    @property
    def held_bytes(self) -> int:
        """Memory that the request takes, bytes."""
        of_headers = HEADER_BYTES * len(self._run.headers)
        return REQUEST_BYTES + of_headers + len(self._bytes)

    def take_run(self) -> Run:
        """Build the run message with all that has arrived, and free that.

        Returns:
            The message; pieces may follow if the body is not complete.
        """
        body = bytes(self._bytes)
        self._bytes = bytearray()
        return structs.replace(
            self._run,
            body=body,
            more=not self._is_complete,
        )

    def close(self) -> None:
        """Return credits that are not used."""
        if self._transfer is not None:
            self._collector.end(self._transfer)


def find_transfer_limits(
    fields: CallFields, *, run_seconds: float
) -> TransferLimits:
    """Find the times in which the body of a request has to arrive.

    Args:
        fields: fields of the call.
        run_seconds: time that the request then takes at the backend server.

    Returns:
        The times that leave enough for the run.
    """
    return TransferLimits(
        target_seconds=fields.within_ms / MILLISECONDS - run_seconds,
        deadline_seconds=fields.remaining_ms / MILLISECONDS - run_seconds,
        patient=fields.patient,
    )
