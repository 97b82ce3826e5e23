"""Reads a response from its server and sends it on as its caller reads it.

Load pattern: callers ask for long answers and don't read them. As long as an
answer can be held, it is read to its end, and its slot is free. One that can't
be held keeps its slot until the caller reads on. If others need the slot or the
memory meanwhile, an answer of which nothing has left for a second is cut.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol

from wagtaildale.admission.memory import UNREAD_SECONDS
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from wagtaildale.calls.owner.backend_response import BackendResponse
    from wagtaildale.calls.owner.owner import Owner
    from wagtaildale.calls.owner.replies import ReplyWriter
    from wagtaildale.timers.alarms import Alarm

# Between checks whether a response that waits for its caller has room.
ROOM_CHECK_SECONDS: Final = 0.25
# Part of the slots that such responses may keep from others.
KEPT_SHARE: Final = 0.5


class FlowReceiver(Protocol):
    """The run whose response is sent, as the flow uses it."""

    def set_reading(self, *, is_wanted: bool) -> None:
        """Resume or pause reading of the response.

        Args:
            is_wanted: whether to read.
        """

    def on_read(self) -> None:
        """Handle that the whole response was read; a part of it waits."""

    def on_sent(self) -> None:
        """Handle that the whole response was sent."""

    def on_unread(self) -> None:
        """Cut the response: its caller does not read it, and others wait."""


class WaitingFlows:
    """Responses that keep a slot until their callers read on, oldest first."""

    def __init__(self) -> None:
        """Start without responses."""
        self._flows: dict[ResponseFlow, None] = {}

    def add(self, flow: ResponseFlow) -> None:
        """Add a response that can't be read on.

        Args:
            flow: the response.
        """
        self._flows.setdefault(flow)

    def discard(self, flow: ResponseFlow) -> None:
        """Remove a response that is read on or has ended.

        Args:
            flow: the response.
        """
        self._flows.pop(flow, None)

    def is_too_many(self, flow: ResponseFlow, *, slots: int) -> bool:
        """Tell whether a response has to give way to the newer ones.

        Args:
            flow: the response.
            slots: slots of the server.

        Returns:
            Whether it is one of the oldest beyond the part of the slots that
            they may keep.
        """
        surplus = len(self._flows) - int(slots * KEPT_SHARE)
        return flow in tuple(self._flows)[: max(0, surplus)]


class ResponseFlow:
    """A response between its server and its entry.

    Attributes:
        response: what was received of it and not sent yet.
    """

    def __init__(
        self,
        response: BackendResponse,
        *,
        receiver: FlowReceiver,
        owner: Owner,
        replies: ReplyWriter,
    ) -> None:
        """Begin with the head of the response.

        Args:
            response: the response.
            receiver: run of the request.
            owner: owner of the backend server.
            replies: writer of the replies to the entry.
        """
        self.response = response
        self._receiver = receiver
        self._owner = owner
        self._replies = replies
        self._alarm: Alarm | None = None
        self._is_read = False

    def send_piece(self) -> None:
        """Send what the entry has room for."""
        response = self.response
        if response.is_sendable:
            piece = response.take_piece()
            self._replies.send_body(piece, more=not response.is_exhausted)

    def read_on(self) -> None:
        """Read on if there is room, or end once everything was sent."""
        response = self.response
        if response.is_exhausted:
            self.close()
            self._receiver.on_sent()
            return
        response.charge()
        if response.message.is_complete:
            self._note_read()
        else:
            self._set_reading(is_wanted=self._has_room())
        # Without credit of the entry, nothing else tells that there is room.
        if response.is_stopped:
            self._check_room_later()

    def close(self) -> None:
        """Stop to check for room."""
        self._owner.waiting_flows.discard(self)
        if self._alarm is not None:
            self._alarm.cancel()

    def _check_room_later(self) -> None:
        if self._alarm is None or not self._alarm.is_set:
            self._alarm = self._owner.loop.alarms.set(
                ROOM_CHECK_SECONDS, self._check_room
            )

    def _set_reading(self, *, is_wanted: bool) -> None:
        if is_wanted:
            self._owner.waiting_flows.discard(self)
        else:
            self._owner.waiting_flows.add(self)
        self._receiver.set_reading(is_wanted=is_wanted)

    def _note_read(self) -> None:
        self._owner.waiting_flows.discard(self)
        if not self._is_read:
            self._is_read = True
            self._receiver.on_read()

    def _has_room(self) -> bool:
        if self.response.window.is_open:
            return True
        memory = self._owner.memory
        size = len(self.response.buffer)
        return size < memory.max_collected_bytes and memory.admits(size)

    def _check_room(self) -> None:
        if self._is_in_the_way():
            self._receiver.on_unread()
        else:
            self.read_on()

    def _is_in_the_way(self) -> bool:
        response = self.response
        if not response.is_stopped:
            return False
        unread_seconds = read_clock() - response.progress_at
        if unread_seconds >= UNREAD_SECONDS:
            has_memory = self._owner.memory.admits(len(response.buffer))
            return not has_memory or self._is_slot_needed()
        is_old = self._owner.waiting_flows.is_too_many(
            self, slots=self._owner.gate.state.slots
        )
        is_unread = unread_seconds >= ROOM_CHECK_SECONDS
        return is_old and is_unread and self._is_slot_needed()

    def _is_slot_needed(self) -> bool:
        if self._is_read:
            return False
        state = self._owner.gate.state
        has_missed = state.missed_at >= self.response.progress_at
        return has_missed or bool(state.queue)
