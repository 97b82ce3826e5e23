"""Decides in which order request bodies cross the line into a node.

Load pattern: many entries send large bodies to one node whose line carries
less than they send together. Without a bound the bodies fill the buffers of
the line, and a question of one kilobyte waits behind all of them, longer than
its caller does. Here the receiver grants credits, as in Homa (SIGCOMM 2018) and
Breakwater (OSDI 2020): the bytes on their way to it never exceed what its line
carries in ``IN_FLIGHT_SECONDS``. The body whose target ends first goes first,
after it those that miss their target anyway. A body that cannot cross the line
in time behind the others is refused before it is sent.

Uses no clock and no socket: callers pass the current time.
"""

from __future__ import annotations

from math import inf
from typing import Final, NewType

from msgspec import Struct, field

TransferId = NewType('TransferId', int)

BITS_PER_BYTE: Final = 8
MILLISECONDS: Final = 1000
MEGA: Final = 1_000_000
# Longest time that a small message waits behind bodies on the line.
IN_FLIGHT_SECONDS: Final = 0.03
# Covers a round trip between data centres on a fast line; also the bound if
# the bandwidth of the line is not known.
MAX_IN_FLIGHT_BYTES: Final = 1_048_576
MIN_IN_FLIGHT_BYTES: Final = 8192
# Parts of the bytes in flight that one credit is for: while one piece crosses
# the line, the credits for the next ones are on their way.
CREDITS_IN_FLIGHT: Final = 4
# Bytes of a body that a sender may send before it gets a credit.
UNSOLICITED_BYTES: Final = 4096
# Part of the line that bodies may fill; the rest carries heads, responses and
# messages between nodes.
BODY_SHARE: Final = 0.85
# A sender that uses no credit for this long no longer keeps others waiting.
STALL_SECONDS: Final = 0.25
# Memory for bodies that are being received.
MAX_PENDING_BYTES: Final = 16_777_216


class LineState(Struct, frozen=True, array_like=True, gc=False):
    """State of a line that entries choose upstreams by.

    Attributes:
        wait_ms: milliseconds until the accepted bodies have arrived.
        bytes_per_ms: bytes of bodies that the line carries in a millisecond.
    """

    wait_ms: int
    bytes_per_ms: int


class LineRate(Struct, frozen=True, gc=False):
    """Bandwidth of a line.

    Attributes:
        bytes_per_second: bandwidth; 0 if not known.
    """

    bytes_per_second: float = 0

    @property
    def max_in_flight_bytes(self) -> int:
        """Most bytes of bodies that may be on their way at once."""
        if not self.bytes_per_second:
            return MAX_IN_FLIGHT_BYTES
        size = int(self.bytes_per_second * IN_FLIGHT_SECONDS)
        return min(MAX_IN_FLIGHT_BYTES, max(MIN_IN_FLIGHT_BYTES, size))

    @property
    def credit_bytes(self) -> int:
        """Bytes of one credit."""
        return self.max_in_flight_bytes // CREDITS_IN_FLIGHT

    def measure_seconds(self, size: int) -> float:
        """Measure how long bodies take to cross the line.

        Args:
            size: number of bytes.

        Returns:
            Seconds; 0 if the bandwidth is not known.
        """
        if not self.bytes_per_second:
            return 0
        return size / (self.bytes_per_second * BODY_SHARE)


class Credit(Struct, frozen=True, kw_only=True, gc=False):
    """Permission to send more of a body.

    Attributes:
        transfer: body that it is for.
        size: number of bytes.
    """

    transfer: TransferId
    size: int


class Transfer(Struct, kw_only=True, gc=False):
    """A body that is being received.

    Attributes:
        target_at: time by which the body has to arrive, seconds.
        useless_at: time after which it is of no use, seconds.
        ungranted: bytes for which the sender has no credit yet.
        in_flight: bytes that were granted and have not arrived.
        progress_at: time of the last credit or arrival, seconds.
    """

    target_at: float
    useless_at: float
    ungranted: int
    in_flight: int = 0
    progress_at: float

    @property
    def remaining(self) -> int:
        """Bytes that have not arrived."""
        return self.ungranted + self.in_flight

    def grant(self, free: int, credit_bytes: int, *, now: float) -> list[int]:
        """Grant credits for the next bytes.

        Args:
            free: bytes that the line can take; the last credit may exceed
                them.
            credit_bytes: bytes of one credit.
            now: current time, seconds.

        Returns:
            Bytes of each credit.
        """
        sizes: list[int] = []
        while self.ungranted and sum(sizes) < free:
            sizes.append(min(self.ungranted, credit_bytes))
            self.ungranted -= sizes[-1]
        if sizes:
            self.in_flight += sum(sizes)
            self.progress_at = now
        return sizes

    def is_stalled(self, now: float) -> bool:
        """Tell whether the sender leaves its credit unused.

        Args:
            now: current time, seconds.

        Returns:
            Whether credit is open and nothing has arrived for a while.
        """
        return self.in_flight > 0 and now - self.progress_at > STALL_SECONDS


class TransferLimits(Struct, frozen=True, kw_only=True, gc=False):
    """Times in which a body has to arrive.

    Attributes:
        target_seconds: time after which its request misses its target.
        deadline_seconds: time after which its request cannot be answered.
        patient: whether a body that misses the target in any case is accepted.
    """

    target_seconds: float
    deadline_seconds: float
    patient: bool


class IncomingLine(Struct, kw_only=True):
    """Bodies on their way into a node, and the credits of their senders.

    Attributes:
        rate: bandwidth of the line.
        transfers: bodies that are being received.
    """

    rate: LineRate = LineRate()
    transfers: dict[TransferId, Transfer] = field(default_factory=dict)

    @property
    def backlog_bytes(self) -> int:
        """Bytes of accepted bodies that have not arrived."""
        return sum(each.remaining for each in self.transfers.values())

    @property
    def wait_seconds(self) -> float:
        """Time until the accepted bodies have arrived, seconds."""
        return self.rate.measure_seconds(self.backlog_bytes)

    def describe(self) -> LineState | None:
        """Describe the line for entries.

        Returns:
            Its state; None if its bandwidth is not known.
        """
        if not self.rate.bytes_per_second:
            return None
        carried = self.rate.bytes_per_second * BODY_SHARE / MILLISECONDS
        return LineState(
            wait_ms=round(self.wait_seconds * MILLISECONDS),
            bytes_per_ms=max(1, round(carried)),
        )

    def estimate_seconds(
        self, size: int, *, target_at: float, now: float
    ) -> float:
        """Estimate how long a body takes to arrive.

        Args:
            size: bytes of the body that have not arrived.
            target_at: time by which the body has to arrive, seconds.
            now: current time, seconds.

        Returns:
            Seconds, with the bodies that go before it; 0 if the bandwidth is
            not known.
        """
        body = Transfer(
            target_at=target_at,
            useless_at=inf,
            ungranted=size,
            progress_at=now,
        )
        order = _find_order(body, self.rate, now)
        ahead = sum(
            each.remaining
            for each in self.transfers.values()
            if _find_order(each, self.rate, now) <= order
        )
        return self.rate.measure_seconds(ahead + size)

    def find_overdue_seconds(
        self, size: int, *, limits: TransferLimits, now: float
    ) -> float:
        """Estimate by how much a body would arrive too late.

        Args:
            size: bytes of the body that have not arrived.
            limits: times in which it has to arrive.
            now: current time, seconds.

        Returns:
            Seconds; not above 0 if it arrives in time.
        """
        seconds = self.estimate_seconds(
            size, target_at=now + limits.target_seconds, now=now
        )
        is_hopeless = self.rate.measure_seconds(size) > limits.target_seconds
        if limits.patient and is_hopeless:
            return seconds - limits.deadline_seconds
        return seconds - limits.target_seconds

    def begin(
        self,
        transfer: TransferId,
        *,
        size: int,
        limits: TransferLimits,
        now: float,
    ) -> None:
        """Accept a body.

        Args:
            transfer: identifies the body.
            size: bytes of it that have not arrived.
            limits: times in which it has to arrive.
            now: current time, seconds.
        """
        self.transfers[transfer] = Transfer(
            target_at=now + limits.target_seconds,
            useless_at=now + limits.deadline_seconds,
            ungranted=size,
            progress_at=now,
        )

    def note_received(
        self, transfer: TransferId, size: int, *, now: float
    ) -> None:
        """Count bytes of a body that have arrived.

        Nodes of an earlier build send without credit; such bytes count as
        granted.

        Args:
            transfer: identifies the body.
            size: number of bytes.
            now: current time, seconds.
        """
        known = self.transfers.get(transfer)
        if known is None:
            return
        uncredited = max(0, size - known.in_flight)
        known.in_flight = max(0, known.in_flight - size)
        known.ungranted = max(0, known.ungranted - uncredited)
        known.progress_at = now

    def end(self, transfer: TransferId) -> None:
        """Remove a body that has arrived or is no longer wanted.

        Args:
            transfer: identifies the body.
        """
        self.transfers.pop(transfer, None)

    def list_hopeless(self, *, now: float) -> list[TransferId]:
        """List the bodies that others keep from arriving while they are of use.

        Args:
            now: current time, seconds.

        Returns:
            Bodies to give up.
        """
        hopeless: list[TransferId] = []
        ahead = 0
        for name, transfer in self._list_in_order(now):
            arrives_at = now + self.rate.measure_seconds(
                ahead + transfer.remaining
            )
            if arrives_at > transfer.useless_at:
                hopeless.append(name)
            else:
                ahead += transfer.remaining
        return hopeless

    def issue_credits(self, *, now: float) -> list[Credit]:
        """Grant credits for what the line can take.

        Args:
            now: current time, seconds.

        Returns:
            Credits to send, in the order of the bodies.
        """
        free = self.rate.max_in_flight_bytes - sum(
            each.in_flight
            for each in self.transfers.values()
            if not each.is_stalled(now)
        )
        issued: list[Credit] = []
        for name, transfer in self._list_in_order(now):
            if free <= 0:
                break
            if transfer.is_stalled(now):
                continue
            sizes = transfer.grant(free, self.rate.credit_bytes, now=now)
            free -= sum(sizes)
            issued.extend(Credit(transfer=name, size=size) for size in sizes)
        return issued

    def _list_in_order(self, now: float) -> list[tuple[TransferId, Transfer]]:
        return sorted(
            self.transfers.items(),
            key=lambda entry: _find_order(entry[1], self.rate, now),
        )


def make_incoming_line(line_mbps: float) -> IncomingLine:
    """Make the state of a line that nothing is being received on.

    Args:
        line_mbps: bandwidth, megabits per second; 0 if not known.

    Returns:
        The state.
    """
    return IncomingLine(rate=LineRate(line_mbps * MEGA / BITS_PER_BYTE))


def _find_order(
    transfer: Transfer, rate: LineRate, now: float
) -> tuple[bool, float]:
    alone = rate.measure_seconds(transfer.remaining)
    return now + alone > transfer.target_at, transfer.target_at


def has_room(line: IncomingLine, size: int) -> bool:
    """Tell whether there is memory for another body.

    Args:
        line: state of the line.
        size: bytes of the body that have not arrived.

    Returns:
        Whether all accepted bodies and this one stay within the limit.
    """
    return line.backlog_bytes + size <= MAX_PENDING_BYTES
