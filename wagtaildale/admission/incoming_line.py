"""Decides in which order request bodies cross the line into a node.

Load pattern: many entries send large bodies to one node whose line carries
less than they send together. Without a bound the bodies fill the buffers of
the line, and a question of one kilobyte waits behind all of them, longer than
its caller does. Here the receiver grants credits: the bytes on their way to it
never exceed what its line carries in ``IN_FLIGHT_SECONDS``, and the body with
the least left goes first, as in Homa (SIGCOMM 2018).

Uses no clock and no socket: callers pass the current time.
"""

from __future__ import annotations

from typing import Final, NewType

from msgspec import Struct, field

TransferId = NewType('TransferId', int)

BITS_PER_BYTE: Final = 8
MEGA: Final = 1_000_000
# Longest time that a small message waits behind bodies on the line.
IN_FLIGHT_SECONDS: Final = 0.03
# Covers a round trip between data centres on a fast line; also the bound if
# the bandwidth of the line is not known.
MAX_IN_FLIGHT_BYTES: Final = 1_048_576
MIN_IN_FLIGHT_BYTES: Final = 8192
# Bytes of one credit: a small message waits behind one piece at most.
CREDIT_BYTES: Final = 8192
# Bytes of a body that a sender may send before it gets a credit.
UNSOLICITED_BYTES: Final = 4096
# Part of the line that bodies may fill; the rest carries heads, responses and
# messages between nodes.
BODY_SHARE: Final = 0.85
# A sender that uses no credit for this long no longer keeps others waiting.
STALL_SECONDS: Final = 0.25
# Memory for bodies that are being received.
MAX_PENDING_BYTES: Final = 16_777_216


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
        ungranted: bytes for which the sender has no credit yet.
        in_flight: bytes that were granted and have not arrived.
        progress_at: time of the last credit or arrival, seconds.
    """

    ungranted: int
    in_flight: int = 0
    progress_at: float

    @property
    def remaining(self) -> int:
        """Bytes that have not arrived."""
        return self.ungranted + self.in_flight

    def is_stalled(self, now: float) -> bool:
        """Tell whether the sender leaves its credit unused.

        Args:
            now: current time, seconds.

        Returns:
            Whether credit is open and nothing has arrived for a while.
        """
        return self.in_flight > 0 and now - self.progress_at > STALL_SECONDS


class IncomingLine(Struct, kw_only=True):
    """Bodies on their way into a node, and the credits of their senders.

    Attributes:
        bytes_per_second: bandwidth of the line; 0 if not known.
        transfers: bodies that are being received.
    """

    bytes_per_second: float = 0
    transfers: dict[TransferId, Transfer] = field(default_factory=dict)

    @property
    def max_in_flight_bytes(self) -> int:
        """Most bytes of bodies that may be on their way at once."""
        if not self.bytes_per_second:
            return MAX_IN_FLIGHT_BYTES
        size = int(self.bytes_per_second * IN_FLIGHT_SECONDS)
        return min(MAX_IN_FLIGHT_BYTES, max(MIN_IN_FLIGHT_BYTES, size))

    @property
    def backlog_bytes(self) -> int:
        """Bytes of accepted bodies that have not arrived."""
        return sum(each.remaining for each in self.transfers.values())

    def estimate_seconds(self, size: int) -> float:
        """Estimate how long a body takes to arrive.

        Args:
            size: bytes of the body that have not arrived.

        Returns:
            Seconds, with the bodies that have less left; 0 if the bandwidth is
            not known.
        """
        if not self.bytes_per_second:
            return 0
        ahead = sum(
            min(size, each.remaining) for each in self.transfers.values()
        )
        return (ahead + size) / (self.bytes_per_second * BODY_SHARE)

    def has_room(self, size: int) -> bool:
        """Tell whether there is memory for another body.

        Args:
            size: bytes of the body that have not arrived.

        Returns:
            Whether all accepted bodies and this one stay within the limit.
        """
        return self.backlog_bytes + size <= MAX_PENDING_BYTES

    def begin(self, transfer: TransferId, *, size: int, now: float) -> None:
        """Accept a body.

        Args:
            transfer: identifies the body.
            size: bytes of it that have not arrived.
            now: current time, seconds.
        """
        self.transfers[transfer] = Transfer(ungranted=size, progress_at=now)

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

    def issue_credits(self, *, now: float) -> list[Credit]:
        """Grant credits for what the line can take.

        Args:
            now: current time, seconds.

        Returns:
            Credits to send, the body with the least left first.
        """
        free = self.max_in_flight_bytes - sum(
            each.in_flight
            for each in self.transfers.values()
            if not each.is_stalled(now)
        )
        issued: list[Credit] = []
        for name, transfer in self._rank_waiting(now):
            if free <= 0:
                break
            size = min(transfer.ungranted, max(CREDIT_BYTES, free))
            transfer.ungranted -= size
            transfer.in_flight += size
            transfer.progress_at = now
            free -= size
            issued.append(Credit(transfer=name, size=size))
        return issued

    def _rank_waiting(self, now: float) -> list[tuple[TransferId, Transfer]]:
        waiting = [
            (name, transfer)
            for name, transfer in self.transfers.items()
            if transfer.ungranted and not transfer.is_stalled(now)
        ]
        waiting.sort(key=_read_remaining)
        return waiting


def make_incoming_line(line_mbps: float) -> IncomingLine:
    """Make the state of a line that nothing is being received on.

    Args:
        line_mbps: bandwidth, megabits per second; 0 if not known.

    Returns:
        The state.
    """
    return IncomingLine(bytes_per_second=line_mbps * MEGA / BITS_PER_BYTE)


def _read_remaining(entry: tuple[TransferId, Transfer]) -> int:
    return entry[1].remaining
