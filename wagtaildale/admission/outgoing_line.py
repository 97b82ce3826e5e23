"""Decides when large responses may leave a node, and which of them goes first.

Load pattern: responses of hundreds of kilobytes fill the buffers of a slow
line, and a response of some hundred bytes waits behind all of them. Large
responses therefore leave in short pieces, at the rate of the line, and only
while nothing else waits to leave. A response that the line cannot carry in
time is refused before its request runs.

Uses no clock and no socket: callers pass the current time.
"""

from __future__ import annotations

from math import exp, inf
from typing import Final, NewType

from msgspec import Struct, field

from wagtaildale.admission.incoming_line import (
    MAX_PENDING_BYTES,
    MILLISECONDS,
    STALL_SECONDS,
    LineRate,
    LineState,
    TransferLimits,
    make_incoming_line,
)
from wagtaildale.admission.messages import DEFAULT_RANK

ResponseId = NewType('ResponseId', int)

# A piece is released while at most LEAD_SECONDS of earlier bytes are on the
# line, so that alarms that fire late by a millisecond leave no gap. Both
# together, with the headers of the packets, are the longest time that a small
# message waits for large responses: 10 ms.
PIECE_SECONDS: Final = 0.0045
LEAD_SECONDS: Final = 0.005
MIN_PIECE_BYTES: Final = 512
# One read from the server; frames of BodyPiece are built for it.
MAX_PIECE_BYTES: Final = 65_536
# Each packet of 1,448 bytes of payload has headers of TCP, IP and Ethernet. If
# they were not counted, pieces would be released faster than the line carries
# them, and its buffers would fill.
PACKET_BYTES: Final = 1448
PACKET_HEADER_BYTES: Final = 66
# Part of the bandwidth at which pieces are released, so that a line that is a
# little slower than configured does not build a queue.
USED_BANDWIDTH_SHARE: Final = 0.98
# Part of the bandwidth that is left for the bytes of messages, without packet
# headers and the unused part.
PAYLOAD_SHARE: Final = 0.9
# Bytes that were sent and are not acknowledged: this much time of the line,
# and a round trip between data centres.
UNACKNOWLEDGED_SECONDS: Final = 0.03
ROUND_TRIP_SECONDS: Final = 0.02
# Memory for one response that waits for the line.
MAX_RESPONSE_BYTES: Final = 1_048_576
# Bytes of one response that an entry buffers for a caller that does not read;
# the same as for responses that are not scheduled.
MAX_UNACKNOWLEDGED_PER_RESPONSE: Final = 262_144
# Weight of a response in the mean size of its class: as for run times, thirty
# make up most of it.
SIZE_GAIN: Final = 0.03
# Period over which the rate of all other bytes is averaged.
OTHER_BYTES_SECONDS: Final = 1.0
# Large responses are expected to get at least this part of the line.
MIN_BULK_SHARE: Final = 0.1


class ResponseLimits(TransferLimits, frozen=True, kw_only=True, gc=False):
    """Times in which a response has to leave, and its priority.

    Attributes:
        rank: priority of the class; 0 goes first.
    """

    rank: int = DEFAULT_RANK


class LineUse(Struct, kw_only=True, gc=False):
    """Bandwidth of a line, and what is on it.

    Attributes:
        rate: bandwidth of the line.
        busy_until: time at which all bytes sent so far have left, seconds.
        other_per_second: recent rate of all bytes but large responses.
        measured_at: time up to which that rate is measured, seconds.
    """

    rate: LineRate = LineRate()
    busy_until: float = 0
    other_per_second: float = 0
    measured_at: float = 0

    @property
    def is_known(self) -> bool:
        """Whether the bandwidth is known; otherwise nothing is scheduled."""
        return self.rate.bytes_per_second > 0

    @property
    def payload_per_second(self) -> float:
        """Bytes of messages that the line carries in a second."""
        return self.rate.bytes_per_second * PAYLOAD_SHARE

    @property
    def bulk_per_second(self) -> float:
        """Bytes in a second that are left for large responses."""
        payload = self.payload_per_second
        return max(payload - self.other_per_second, payload * MIN_BULK_SHARE)

    @property
    def piece_bytes(self) -> int:
        """Most bytes of a piece."""
        size = int(self.payload_per_second * PIECE_SECONDS)
        return min(MAX_PIECE_BYTES, max(MIN_PIECE_BYTES, size))

    @property
    def max_unacknowledged_bytes(self) -> float:
        """Most bytes that may be on their way at once, over all calls."""
        seconds = UNACKNOWLEDGED_SECONDS + ROUND_TRIP_SECONDS
        return max(self.piece_bytes, self.rate.bytes_per_second * seconds)

    @property
    def free_at(self) -> float:
        """Time from which the next piece may be released, seconds."""
        return self.busy_until - LEAD_SECONDS

    def measure_busy_seconds(self, now: float) -> float:
        """Measure how long the line still carries what was sent.

        Args:
            now: current time, seconds.

        Returns:
            Seconds.
        """
        return max(0, self.busy_until - now)

    def note_other_sent(self, size: int, *, now: float) -> None:
        """Count bytes that were sent since the last call of this method.

        Args:
            size: number of bytes, without pieces of large responses.
            now: current time, seconds.
        """
        seconds = now - self.measured_at
        if seconds > 0:
            weight = 1 - exp(-seconds / OTHER_BYTES_SECONDS)
            change = size / seconds - self.other_per_second
            self.other_per_second += change * weight
            self.measured_at = now
        # It is not known when they were sent; at best the line was never idle
        # since the last call.
        line_seconds = size / self.payload_per_second
        self.busy_until = max(self.busy_until + line_seconds, now)

    def note_piece_sent(self, size: int, *, now: float) -> None:
        """Count a piece of a large response that was sent.

        Args:
            size: bytes of the message with the piece.
            now: current time, seconds.
        """
        packets = 1 + size // PACKET_BYTES
        line_bytes = size + packets * PACKET_HEADER_BYTES
        seconds = line_bytes / (
            self.rate.bytes_per_second * USED_BANDWIDTH_SHARE
        )
        self.busy_until = max(self.busy_until, now) + seconds


class OutgoingResponse(Struct, kw_only=True, gc=False):
    """A large response from the arrival of its request until it has left.

    Attributes:
        rank: priority of the class; 0 goes first.
        target_at: time by which the response has to leave, seconds.
        expected: bytes of the body that the server has not sent yet, as
            estimated or announced.
        pending: bytes of the body that were read from the server and wait.
        received: bytes of the body that were read from the server.
        unacknowledged: bytes that were sent and that the entry has not
            forwarded.
        progress_at: time of the last acknowledgement, or of the first byte
            that waits for one, seconds.
        is_ready: whether something of the response can be sent.
        is_complete: whether the server has sent all of it.
        is_begun: whether a piece of it was sent.
    """

    rank: int
    target_at: float
    expected: float
    pending: int = 0
    received: int = 0
    unacknowledged: int = 0
    progress_at: float = 0
    is_ready: bool = False
    is_complete: bool = False
    is_begun: bool = False

    @property
    def remaining(self) -> float:
        """Bytes that have not left."""
        return self.pending + self.expected

    @property
    def stalls_at(self) -> float:
        """Time from which the entry counts as not reading, seconds."""
        return self.progress_at + STALL_SECONDS

    def is_stalled(self, now: float) -> bool:
        """Tell whether the entry acknowledges nothing.

        Args:
            now: current time, seconds.

        Returns:
            Whether bytes have waited for an acknowledgement for a while.
        """
        return self.unacknowledged > 0 and now >= self.stalls_at

    def may_send(self, now: float) -> bool:
        """Tell whether a piece may be sent, as far as this response goes.

        Args:
            now: current time, seconds.

        Returns:
            Whether something can be sent and the entry reads.
        """
        is_open = self.unacknowledged < MAX_UNACKNOWLEDGED_PER_RESPONSE
        return self.is_ready and is_open and not self.is_stalled(now)

    def find_order(
        self, payload_per_second: float, now: float
    ) -> tuple[bool, int, float, float]:
        """Find the place of the response among others.

        Args:
            payload_per_second: bytes that the line carries in a second.
            now: current time, seconds.

        A response that is in memory and partly sent keeps its place when it
        becomes late. Otherwise a line that stays full would leave its caller
        with a part of it.

        Returns:
            Sort key: whether it misses its target even if it leaves next, its
            rank, the time of its target, and its size.
        """
        alone = self.remaining / payload_per_second
        is_late = now + alone > self.target_at
        is_late = is_late and not (self.is_begun and self.is_complete)
        return is_late, self.rank, self.target_at, self.remaining

    def note_length(self, length: int) -> None:
        """Replace the expected size by the announced one.

        A larger one than fits into memory counts as far as it fits: others do
        not wait for the end of a stream, which goes behind them once it is
        late.

        Args:
            length: size of the body, bytes.
        """
        expected = max(0, length - self.received)
        self.expected = min(expected, MAX_RESPONSE_BYTES)

    def note_received(self, size: int, *, is_complete: bool) -> None:
        """Count bytes that were read from the server.

        Args:
            size: number of bytes.
            is_complete: whether they are the last.
        """
        self.is_ready = True
        self.is_complete = is_complete
        self.pending += size
        self.received += size
        self.expected = 0 if is_complete else max(0, self.expected - size)

    def note_sent(self, size: int, *, now: float) -> None:
        """Count a piece that was sent.

        Args:
            size: bytes of the body.
            now: current time, seconds.
        """
        if not self.unacknowledged:
            self.progress_at = now
        self.is_begun = True
        self.unacknowledged += size
        self.pending -= size
        self.is_ready = self.pending > 0

    def note_acknowledged(self, size: int, *, now: float) -> None:
        """Count bytes that the entry has forwarded.

        Args:
            size: number of bytes.
            now: current time, seconds.
        """
        self.unacknowledged = max(0, self.unacknowledged - size)
        self.progress_at = now


class Piece(Struct, frozen=True, kw_only=True, gc=False):
    """Permission to send a piece of a response.

    Attributes:
        response: the response.
        size: most bytes of its body; the response may have fewer.
    """

    response: ResponseId
    size: int


class ClassSize(Struct, kw_only=True, gc=False):
    """Sizes of the responses of a class.

    Attributes:
        mean: smoothed size, bytes.
        deviation: smoothed difference from the mean, bytes.
    """

    mean: float = 0
    deviation: float = 0


class ClassSizes(Struct, kw_only=True):
    """Sizes of the responses of each class.

    Attributes:
        by_class: sizes, by service and class.
    """

    by_class: dict[str, ClassSize] = field(default_factory=dict)

    def find(self, work_class: str) -> ClassSize:
        """Find the sizes of a class.

        Args:
            work_class: service and class of the request.

        Returns:
            Sizes of its responses; 0 before the first.
        """
        return self.by_class.get(work_class, ClassSize())

    def note(self, work_class: str, size: int) -> None:
        """Record the size of a complete response.

        Args:
            work_class: service and class of the request.
            size: size of its body, bytes.
        """
        known = self.by_class.setdefault(work_class, ClassSize(mean=size))
        known.deviation += (
            abs(size - known.mean) - known.deviation
        ) * SIZE_GAIN
        known.mean += (size - known.mean) * SIZE_GAIN


class OutgoingLine(Struct, kw_only=True):
    """Large responses that leave a node, and the line that they share.

    Attributes:
        use: bandwidth of the line, and what is on it.
        responses: responses that have not left.
        sizes: sizes of the responses of each class.
    """

    use: LineUse = field(default_factory=LineUse)
    responses: dict[ResponseId, OutgoingResponse] = field(default_factory=dict)
    sizes: ClassSizes = field(default_factory=ClassSizes)

    @property
    def pending_bytes(self) -> int:
        """Bytes that were read from the server and wait in memory."""
        return sum(each.pending for each in self.responses.values())

    def measure_backlog(self, now: float) -> float:
        """Measure the bytes that have not left.

        Args:
            now: current time, seconds.

        Returns:
            Bytes, with those of requests that still run; without responses
            that their entries do not read.
        """
        return sum(
            each.remaining
            for each in self.responses.values()
            if not each.is_stalled(now)
        )

    def measure_wait(self, now: float) -> float:
        """Measure the time until the backlog has left.

        Args:
            now: current time, seconds.

        Returns:
            Seconds; 0 if the bandwidth is not known.
        """
        if not self.use.is_known:
            return 0
        backlog = self.measure_backlog(now) / self.use.bulk_per_second
        return self.use.measure_busy_seconds(now) + backlog

    def describe(self, now: float) -> LineState | None:
        """Describe the line for entries.

        Args:
            now: current time, seconds.

        Returns:
            Its state; None if its bandwidth is not known, or before the first
            large response.
        """
        has_bulk = self.responses or self.sizes.by_class
        if not self.use.is_known or not has_bulk:
            return None
        bytes_per_ms = round(self.use.bulk_per_second / MILLISECONDS)
        return LineState(
            wait_ms=round(self.measure_wait(now) * MILLISECONDS),
            bytes_per_ms=max(1, bytes_per_ms),
        )

    def find_overdue_seconds(
        self,
        size: float,
        *,
        limits: ResponseLimits,
        run_seconds: float,
        now: float,
    ) -> float:
        """Estimate by how much a new response would leave too late.

        The responses ahead of it leave while its request runs, so that only
        the longer of both times counts.

        Args:
            size: expected size, bytes.
            limits: times in which it has to leave.
            run_seconds: time that the request takes at the server.
            now: current time, seconds.

        Returns:
            Seconds; not above 0 if it leaves in time, or if already the run
            takes too long, which is not decided here.
        """
        use = self.use
        target = limits.target_seconds
        is_hopeless = run_seconds + size / use.payload_per_second > target
        allowed = target
        if limits.patient and is_hopeless:
            allowed = limits.deadline_seconds
        if run_seconds > allowed:
            return 0
        order = (is_hopeless, limits.rank, now + target, size)
        wait = _measure_ahead(self, order, now) / use.bulk_per_second
        wait += use.measure_busy_seconds(now)
        return max(run_seconds, wait) + size / use.bulk_per_second - allowed

    def expect(
        self,
        response: ResponseId,
        *,
        size: float,
        limits: ResponseLimits,
        now: float,
    ) -> None:
        """Register the response to a request that was accepted.

        Args:
            response: identifies the response.
            size: expected size, bytes.
            limits: times in which it has to leave.
            now: current time, seconds.
        """
        self.responses[response] = OutgoingResponse(
            rank=limits.rank,
            target_at=now + limits.target_seconds,
            expected=size,
        )

    def end(self, response: ResponseId) -> None:
        """Remove a response that has left or is no longer wanted.

        Args:
            response: identifies the response.
        """
        self.responses.pop(response, None)

    def has_room(self, response: ResponseId) -> bool:
        """Tell whether more of a response may be read from the server.

        Args:
            response: identifies the response.

        Returns:
            Whether it, and all responses together, are within the limits of
            memory.
        """
        if self.responses[response].pending >= MAX_RESPONSE_BYTES:
            return False
        return self.pending_bytes < MAX_PENDING_BYTES

    def find_piece(self, now: float) -> Piece | None:
        """Find the next piece that may be sent now.

        Args:
            now: current time, seconds.

        Returns:
            The piece; None while the line is busy, or if no response may be
            sent.
        """
        use = self.use
        if now < use.free_at or not self._has_credit(now):
            return None
        payload = use.payload_per_second
        ready = [
            (each.find_order(payload, now), name)
            for name, each in self.responses.items()
            if each.may_send(now)
        ]
        if not ready:
            return None
        return Piece(response=min(ready)[1], size=use.piece_bytes)

    def find_next_at(self, now: float) -> float:
        """Find when the next piece may be sent if nothing else happens.

        Args:
            now: current time, seconds.

        Returns:
            Time, seconds; infinite if no response is ready.
        """
        responses = self.responses.values()
        is_ready = any(each.may_send(now) for each in responses)
        if is_ready and self._has_credit(now):
            return self.use.free_at
        # When a call stalls, its part of the bound is free for others.
        return min(
            (
                each.stalls_at
                for each in responses
                if each.unacknowledged and not each.is_stalled(now)
            ),
            default=inf,
        )

    def _has_credit(self, now: float) -> bool:
        unacknowledged = sum(
            each.unacknowledged
            for each in self.responses.values()
            if not each.is_stalled(now)
        )
        return unacknowledged < self.use.max_unacknowledged_bytes


def make_outgoing_line(line_mbps: float) -> OutgoingLine:
    """Make the state of a line that nothing is being sent on.

    Args:
        line_mbps: bandwidth, megabits per second; 0 if not known.

    Returns:
        The state.
    """
    rate = make_incoming_line(line_mbps).rate
    return OutgoingLine(use=LineUse(rate=rate))


def check_response(
    line: OutgoingLine,
    work_class: str,
    *,
    limits: ResponseLimits,
    run_seconds: float,
    now: float,
) -> float:
    """Decide whether a new request is refused because of the line.

    Args:
        line: large responses that leave the node.
        work_class: service and class of the request.
        limits: times in which its response has to leave.
        run_seconds: time that the request takes at the server.
        now: current time, seconds.

    Returns:
        Seconds by which its response would leave too late; 0 if the
        request is accepted.
    """
    # On an idle line the request always runs. Otherwise a class with a few
    # huge responses would be refused for good.
    if not line.responses:
        return 0
    # With the mean alone, every larger response is late when the line is
    # full.
    size = line.sizes.find(work_class)
    overdue = line.find_overdue_seconds(
        size.mean + size.deviation,
        limits=limits,
        run_seconds=run_seconds,
        now=now,
    )
    return max(0, overdue)


def _measure_ahead(
    line: OutgoingLine, order: tuple[bool, int, float, float], now: float
) -> float:
    payload = line.use.payload_per_second
    return sum(
        each.remaining
        for each in line.responses.values()
        if not each.is_stalled(now) and each.find_order(payload, now) <= order
    )
