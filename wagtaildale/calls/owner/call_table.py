"""The calls of one entry at its owner, and the messages that concern them."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING, Final

from wagtaildale.calls.owner.owner_call import OwnerCall
from wagtaildale.calls.wire.frames import (
    BodyPiece,
    Cancel,
    DrainNotice,
    Ping,
    Pong,
    Reserve,
    Run,
    StartLimit,
    WindowUpdate,
)
from wagtaildale.calls.wire.transit import TransitDelayEstimator
from wagtaildale.timers.service import read_clock
from wagtaildale.types import CallNumber

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.calls.owner.owner import Owner
    from wagtaildale.calls.wire.fields import CallFields
    from wagtaildale.calls.wire.frames import ToEntry

# Calls of one entry that an owner holds at once; far more than the queue in
# front of its backend server.
MAX_CALLS_PER_ENTRY: Final = 4096


class CallTable:
    """The calls of one entry at this owner, by call number.

    Attributes:
        owner: owner of the backend server.
        reply: sends a message to the entry.
        uses_line: whether messages to the entry leave this node.
    """

    def __init__(
        self,
        owner: Owner,
        *,
        reply: Callable[[ToEntry], None],
        uses_line: bool = False,
    ) -> None:
        """Create a table without calls.

        Args:
            owner: owner of the backend server.
            reply: sends a message to the entry.
            uses_line: whether messages to the entry leave this node.
        """
        self.owner = owner
        self.reply = reply
        self.uses_line = uses_line
        self._accepts_drain_notice = False
        self._calls: dict[CallNumber, OwnerCall] = {}
        self._transit_delay = TransitDelayEstimator(opened_at=read_clock())

    @property
    def active_calls(self) -> int:
        """Number of calls in progress."""
        return len(self._calls)

    def forget(self, number: CallNumber) -> None:
        """Remove a finished call.

        Args:
            number: number of the call.
        """
        self._calls.pop(number, None)

    def cancel_all(self) -> None:
        """Cancel every call because the entry is disconnected."""
        for call in tuple(self._calls.values()):
            call.cancel()

    def on_drain_notice_supported(self) -> None:
        """Record that the entry accepts ``DrainNotice``; send it the state.

        Sends the notice if the owner already drains, and the latest load report
        that other entries were sent before this one connected, if any.
        """
        self._accepts_drain_notice = True
        self.announce_drain()
        load = self.owner.load_notifier.describe_initial_load()
        if load is not None:
            self.reply(load)

    def announce_drain(self) -> None:
        """Send a ``DrainNotice`` if the owner drains.

        Prevents lost run messages in a planned stop: if the owner closed the
        connection while a run message is on the wire, it would be lost unread
        and the entry could not know that nothing ran. After the notice the
        entry sends no new calls, and closes the connection itself once its
        calls are finished.
        """
        if self._accepts_drain_notice and self.owner.gate.state.draining:
            self.reply(DrainNotice())

    def handle_frame(self, frame: object) -> None:
        """Handle a message of the entry.

        Args:
            frame: message of the entry.

        Raises:
            TypeError: if the message is not one to an owner.
        """
        dispatch_frame(frame, self)

    def measure_delay(self, fields: CallFields) -> float:
        """Measure how long the network delayed the message just received.

        Args:
            fields: fields of the message.

        Returns:
            Delay in seconds; 0 if the message has no send time.
        """
        return self._transit_delay.measure_delay(
            fields.sent_ms, now=read_clock()
        )

    def find(self, number: CallNumber) -> OwnerCall | None:
        """Find a call.

        Args:
            number: number of the call.

        Returns:
            The call, or None if it is finished.
        """
        return self._calls.get(number)

    def find_or_create(self, number: CallNumber) -> OwnerCall | None:
        """Find a call, or create it if the number is new.

        Args:
            number: number of the call.

        Returns:
            The call, or None if the entry has too many.
        """
        call = self._calls.get(number)
        if call is None and len(self._calls) < MAX_CALLS_PER_ENTRY:
            call = OwnerCall(self.owner, number, channel=self)
            self._calls[number] = call
        return call


@singledispatch
def dispatch_frame(frame: object, calls: CallTable) -> None:
    """Pass a message of an entry to the handler of its type.

    Args:
        frame: message of the entry.
        calls: calls of the entry.

    Raises:
        TypeError: if the message is not one to an owner.
    """
    raise TypeError(f'got {frame!r}, expected a message from an entry')


@dispatch_frame.register
def _handle_reserve(frame: Reserve, calls: CallTable) -> None:
    delay = calls.measure_delay(frame.fields)
    call = calls.find_or_create(frame.call)
    if call is not None:
        call.handle_reserve(frame, delay=delay)


@dispatch_frame.register
def _handle_run(frame: Run, calls: CallTable) -> None:
    delay = calls.measure_delay(frame.fields)
    call = calls.find_or_create(frame.call)
    if call is not None:
        call.handle_run(frame, delay=delay)


@dispatch_frame.register
def _handle_body_piece(frame: BodyPiece, calls: CallTable) -> None:
    call = calls.find(frame.call)
    if call is not None:
        call.handle_piece(frame)


@dispatch_frame.register
def _handle_window_update(frame: WindowUpdate, calls: CallTable) -> None:
    call = calls.find(frame.call)
    if call is not None:
        call.handle_window_update(frame)


@dispatch_frame.register
def _handle_cancel(frame: Cancel, calls: CallTable) -> None:
    call = calls.find(frame.call)
    if call is not None:
        call.cancel()


@dispatch_frame.register
def _handle_start_limit(frame: StartLimit, calls: CallTable) -> None:
    call = calls.find(frame.call)
    if call is not None:
        call.handle_start_limit(frame)


@dispatch_frame.register
def _handle_ping(frame: Ping, calls: CallTable) -> None:
    calls.reply(Pong(collects_bodies=True, accepts_start_limits=True))
    if frame.accepts_drain_notice:
        calls.on_drain_notice_supported()


@dispatch_frame.register
def _handle_pong(frame: Pong, calls: CallTable) -> None:
    """Do nothing: only its arrival matters."""
