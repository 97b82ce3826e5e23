"""Sends large responses in pieces, at the rate of the node's line."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, Final, Protocol

from wagtaildale.admission.outgoing_line import (
    ResponseId,
    ResponseLimits,
    check_response,
)
from wagtaildale.admission.retry_delays import spread_retry_delay
from wagtaildale.calls.failures import CallFailed
from wagtaildale.errors.codes import Code
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.admission.incoming_line import LineState
    from wagtaildale.admission.outgoing_line import (
        OutgoingLine,
        OutgoingResponse,
    )
    from wagtaildale.calls.wire.fields import CallFields
    from wagtaildale.timers.alarms import Alarm, Alarms

MILLISECONDS: Final = 1000
# Sent bytes are removed from the buffer together, since each removal copies
# the rest.
COMPACTION_BYTES: Final = 65_536


class PieceWriter(Protocol):
    """The run whose response is sent, as the sender uses it."""

    def write_piece(self, piece: bytes, *, more: bool) -> None:
        """Send the next piece of the response.

        Args:
            piece: bytes of the body.
            more: whether more of the body follows.
        """

    def on_delivered(self) -> None:
        """Handle that the whole response was sent."""

    def on_room(self) -> None:
        """Continue to read the response if there is room for it."""


class ResponseSender:
    """Releases the pieces of all large responses of a node.

    Attributes:
        line: large responses that leave the node.
        sent_bytes: bytes that the owner has sent to other nodes; incremented
            where they are sent.
        other_counters: return how many bytes other parts of the node have
            sent to other nodes.
        refusal_count: number of requests that were refused because the line
            could not carry the response in time.
        line_state: state of the line for entries, as of the last change; None
            if its bandwidth is not known, or before the first large response.
        backlog_bytes: bytes that have not left, as of the last change. Other
            threads read this value and ``line_state`` for metrics.
    """

    def __init__(self, line: OutgoingLine, *, alarms: Alarms) -> None:
        """Start without responses.

        Args:
            line: state of the node's line.
            alarms: alarms of the task that carries the calls.
        """
        self.line = line
        self.sent_bytes = 0
        self.other_counters: list[Callable[[], int]] = []
        self.refusal_count = 0
        self.line_state: LineState | None = None
        self.backlog_bytes = float(0)
        self._alarms = alarms
        self._alarm: Alarm | None = None
        self._counted_bytes = 0
        self._last_response = 0
        self._responses: dict[ResponseId, PacedResponse] = {}

    def expect(
        self, fields: CallFields, *, run_seconds: float
    ) -> PacedResponse | None:
        """Register the response to a request of a bulk class.

        Args:
            fields: fields of the call.
            run_seconds: time that the request takes at the server.

        Returns:
            The response; None if the bandwidth of the line is not state.

        Raises:
            CallFailed: if the line cannot carry the response in time.
        """
        line = self.line
        if not line.use.is_known:
            return None
        now = read_clock()
        self._count_others(now)
        limits = find_response_limits(fields)
        overdue = check_response(
            line,
            fields.work_class,
            limits=limits,
            run_seconds=run_seconds,
            now=now,
        )
        if overdue > 0:
            self.refusal_count += 1
            raise CallFailed(
                Code.overloaded,
                detail=(
                    f'the outgoing line needs {overdue:.2f} s more for the '
                    'response than there is time'
                ),
                retry_after=spread_retry_delay(overdue),
            )
        self._last_response += 1
        response_id = ResponseId(self._last_response)
        response = PacedResponse(
            self, response_id, work_class=fields.work_class
        )
        self._responses[response_id] = response
        size = line.sizes.find(fields.work_class).mean
        line.expect(response_id, size=size, limits=limits, now=now)
        self._update_state(now)
        return response

    def end(self, response_id: ResponseId) -> None:
        """Remove a response that has left or is no longer wanted.

        Args:
            response_id: identifies the response.
        """
        if self._responses.pop(response_id, None) is not None:
            self.line.end(response_id)
            now = read_clock()
            self._update_state(now)
            # Not released here: a call may end while pieces are being sent.
            self._set_alarm(now)

    def release(self) -> None:
        """Send the pieces that the line can take now."""
        self._send_pieces()
        now = read_clock()
        self._update_state(now)
        self._set_alarm(self.line.find_next_at(now))

    def note_piece_sent(
        self, response_id: ResponseId, size: int, now: float
    ) -> None:
        """Count a piece that was just sent.

        Args:
            response_id: identifies the response.
            size: bytes of its body.
            now: current time, seconds.
        """
        sent = self._take_count()
        self.line.use.note_piece_sent(sent, now=now)
        self.line.responses[response_id].note_sent(size, now=now)

    def _send_pieces(self) -> None:
        line = self.line
        now = read_clock()
        self._count_others(now)
        piece = line.find_piece(now)
        while piece is not None:
            response = self._responses[piece.response]
            response.send_piece(piece.size, now=now)
            now = read_clock()
            piece = line.find_piece(now)
        self._resume_readers()

    def _count_others(self, now: float) -> None:
        self.line.use.note_other_sent(self._take_count(), now=now)

    def _take_count(self) -> int:
        total = self.sent_bytes + sum(read() for read in self.other_counters)
        count = total - self._counted_bytes
        self._counted_bytes = total
        return count

    def _update_state(self, now: float) -> None:
        self.line_state = self.line.describe(now)
        self.backlog_bytes = self.line.measure_backlog(now)

    def _resume_readers(self) -> None:
        for response in tuple(self._responses.values()):
            response.resume_if_paused()

    def _set_alarm(self, at: float) -> None:
        alarm = self._alarm
        if alarm is not None and alarm.is_set:
            if alarm.at == at:
                return
            alarm.cancel()
        if at < inf:
            self._alarm = self._alarms.set_at(at, self.release)


class PacedResponse:
    """One large response, from the arrival of its request until it has left."""

    def __init__(
        self,
        sender: ResponseSender,
        response_id: ResponseId,
        *,
        work_class: str,
    ) -> None:
        """Create the response before its request runs.

        Args:
            sender: sender of all large responses.
            response_id: identifies the response.
            work_class: service and class of the request.
        """
        self._sender = sender
        self._id = response_id
        self._work_class = work_class
        self._pending = bytearray()
        self._sent_bytes = 0
        self._writer: PieceWriter | None = None
        self._is_complete = False
        self._is_error = False
        self._is_paused = False
        self._sent_pieces = 0
        self._checked_pieces = 0

    @property
    def is_started(self) -> bool:
        """Whether the first piece was sent."""
        return self._sent_pieces > 0

    def request_room(self) -> bool:
        """Ask whether more of the response may be read from the server.

        Returns:
            Whether there is room for more; if not, the writer is notified
            once there is.
        """
        line = self._sender.line
        has_room = self._id in line.responses and line.has_room(self._id)
        self._is_paused = not has_room
        return has_room

    def begin(
        self, writer: PieceWriter, *, length: int, is_error: bool
    ) -> None:
        """Begin to send the response.

        Args:
            writer: sends the pieces.
            length: announced length of the body, bytes; negative if unknown.
            is_error: whether it is an error of the server. Its size says
                nothing about the class: after a few small ones, the next large
                responses would look small.
        """
        self._writer = writer
        self._is_error = is_error
        state = self._find_state()
        if state is not None and length >= 0:
            state.note_length(length)

    def add(self, piece: bytes, *, more: bool) -> None:
        """Add bytes that were read from the server.

        Args:
            piece: bytes of the body.
            more: whether more of the body follows.
        """
        state = self._find_state()
        if state is None:
            return
        self._pending += piece
        self._is_complete = not more
        state.note_received(len(piece), is_complete=not more)
        if not more and not self._is_error:
            sizes = self._sender.line.sizes
            sizes.note(self._work_class, state.received)
        self._sender.release()

    def note_acknowledged(self, size: int) -> None:
        """Count bytes that the entry has forwarded.

        Args:
            size: number of bytes.
        """
        state = self._find_state()
        if state is not None:
            state.note_acknowledged(size, now=read_clock())
            self._sender.release()

    def send_piece(self, size: int, *, now: float) -> None:
        """Send the next piece, and end the response with the last one.

        Args:
            size: most bytes of it.
            now: current time, seconds.
        """
        end = self._sent_bytes + size
        piece = bytes(self._pending[self._sent_bytes : end])
        self._sent_bytes += len(piece)
        if self._sent_bytes > COMPACTION_BYTES:
            self._pending = self._pending[self._sent_bytes :]
            self._sent_bytes = 0
        is_empty = len(self._pending) == self._sent_bytes
        more = not (is_empty and self._is_complete)
        assert self._writer is not None
        self._sent_pieces += 1
        self._writer.write_piece(piece, more=more)
        self._sender.note_piece_sent(self._id, len(piece), now)
        if not more:
            self._writer.on_delivered()
            self.close()

    def check_progress(self) -> bool:
        """Tell whether a piece was sent since the last check.

        Returns:
            Whether one was; since the beginning, at the first check.
        """
        has_progress = self._sent_pieces > self._checked_pieces
        self._checked_pieces = self._sent_pieces
        return has_progress

    def resume_if_paused(self) -> None:
        """Notify the writer if it waits for room and there is some."""
        if self._is_paused and self.request_room() and self._writer is not None:
            self._writer.on_room()

    def close(self) -> None:
        """Give up what has not been sent."""
        self._pending = bytearray()
        self._sent_bytes = 0
        self._writer = None
        self._sender.end(self._id)

    def _find_state(self) -> OutgoingResponse | None:
        return self._sender.line.responses.get(self._id)


def find_response_limits(fields: CallFields) -> ResponseLimits:
    """Find the times in which the response to a request has to leave.

    Args:
        fields: fields of the call.

    Returns:
        The times and the rank of the class.
    """
    return ResponseLimits(
        target_seconds=fields.within_ms / MILLISECONDS,
        deadline_seconds=fields.remaining_ms / MILLISECONDS,
        patient=fields.patient,
        rank=fields.rank,
    )
