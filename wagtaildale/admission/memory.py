"""Decides who may hold memory of the process for its callers.

Load pattern: many clients send large bodies, or heads of very many lines, and
leave them unfinished. Each request is legal, and all together are more than the
machine has. Everything that is held for a caller is charged to one account as
it is taken in. Once the account is full, requests that have not run are given
up, and answers that nobody reads, first those that hold much and have not
progressed for long. Ordinary requests hold little, so they are served beside
such a crowd.

Uses no clock and no socket: callers pass the current time.
"""

from __future__ import annotations

from typing import Final, Protocol

BYTES_PER_MEGABYTE: Final = 1_000_000
# Code, configuration, instance list and connections to other nodes.
OWN_MEGABYTES: Final = 64
# Part of the rest that callers may fill. Objects that were freed leave gaps
# which only the next ones fill.
CALLER_SHARE: Final = 0.3
MIN_LIMIT_BYTES: Final = 10_000_000
# Once the account is full, this part of it is freed, so that the holders are
# not searched again for the next byte.
FREED_SHARE: Final = 0.125
# Requests that hold more than this leave a part of the account to others.
SMALL_BYTES: Final = 32_768
LARGE_SHARE: Final = 0.75
# A body of up to this part of the account is received whole before it is sent.
COLLECTED_SHARE: Final = 0.125
# Part of the process's memory that bytes may take which wait in the kernel, on
# all connections of callers, to be read; as many may wait to be sent.
WAITING_SHARE: Final = 0.2
MIN_WAITING_BYTES: Final = 8192
MAX_WAITING_BYTES: Final = 262_144
# An answer of which its caller has taken nothing for this time gives way where
# memory is short.
UNREAD_SECONDS: Final = 1.0
# The same where the account is full and others are to be served.
URGENT_UNREAD_SECONDS: Final = 0.25
# Counted beside the time without progress, so that the size decides between
# holders that have all just progressed.
MIN_STALL_SECONDS: Final = 0.1
# Change of the account after which holders are searched again if the last
# search has freed too little.
SEARCH_STEP_SHARE: Final = 0.015625
# Time in which large requests are given up or end.
MEMORY_RETRY_SECONDS: Final = 0.5


class Holder(Protocol):
    """Somebody that holds memory for a caller."""

    def give_up(self) -> None:
        """Free what is held for requests that have not run, if there are any.

        Their callers get a response that says so. Connections whose callers
        have stopped to read are closed.
        """


class Holding:
    """What one holder is charged for.

    Attributes:
        size: bytes held.
        progress_at: time of the last progress, seconds.
    """

    __slots__ = ('_account', '_holder', '_is_open', 'progress_at', 'size')

    def __init__(
        self, account: MemoryAccount, holder: Holder, *, now: float
    ) -> None:
        """Begin with nothing; see ``MemoryAccount.open``.

        Args:
            account: account that is charged.
            holder: who holds the memory.
            now: current time, seconds.
        """
        self.size = 0
        self.progress_at = now
        self._account = account
        self._holder: Holder | None = holder
        self._is_open = True

    def resize(self, size: int) -> None:
        """Charge for another size.

        Args:
            size: bytes that are held now.
        """
        if self._is_open:
            self._account.held_bytes += size - self.size
            self.size = size

    def close(self) -> None:
        """Return everything; the holder is gone."""
        self.resize(0)
        self._is_open = False
        self._holder = None
        self._account.forget(self)

    def weigh(self, now: float) -> float:
        """Weigh how much the holder costs others.

        Args:
            now: current time, seconds.

        Returns:
            Bytes times the seconds without progress.
        """
        return self.size * (MIN_STALL_SECONDS + now - self.progress_at)

    def give_up(self) -> None:
        """Ask the holder to free what it can."""
        if self._holder is not None:
            self._holder.give_up()


class MemoryAccount:
    """The memory that a process holds for its callers.

    Attributes:
        limit_bytes: most bytes to hold.
        held_bytes: bytes held now.
        given_up: how often a holder was asked to give up.

    Example:
        >>> account = MemoryAccount(1_000_000)
        >>> account.admits(2_000_000)
        False
    """

    def __init__(self, limit_bytes: int) -> None:
        """Start without holders.

        Args:
            limit_bytes: most bytes to hold.
        """
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.given_up = 0
        self._holdings: set[Holding] = set()
        # Held when the last search had freed too little.
        self._searched_at_bytes = -limit_bytes

    @property
    def is_full(self) -> bool:
        """Whether more is held than the limit."""
        return self.held_bytes > self.limit_bytes

    @property
    def max_collected_bytes(self) -> int:
        """Largest body that is received whole before it is sent."""
        return int(self.limit_bytes * COLLECTED_SHARE)

    def open(self, holder: Holder, *, now: float) -> Holding:
        """Begin to charge a holder.

        Args:
            holder: who holds the memory.
            now: current time, seconds.

        Returns:
            What the holder is charged for; nothing at first.
        """
        holding = Holding(self, holder, now=now)
        self._holdings.add(holding)
        return holding

    def forget(self, holding: Holding) -> None:
        """Remove a holder that is gone.

        Args:
            holding: what the holder was charged for.
        """
        self._holdings.discard(holding)

    def admits(self, size: int) -> bool:
        """Tell whether a request may begin that is charged for already.

        Args:
            size: bytes that it holds.

        Returns:
            Whether the account has room; large requests leave a part of it.
        """
        share = 1 if size <= SMALL_BYTES else LARGE_SHARE
        return self.held_bytes <= self.limit_bytes * share

    def relieve(self, *, now: float) -> None:
        """Let holders give up until a part of a full account is free.

        Args:
            now: current time, seconds.
        """
        if self.is_full:
            self._free(1 - FREED_SHARE, now=now)

    def make_room(self, size: int, *, now: float) -> bool:
        """Let holders give up until a request may begin.

        Args:
            size: bytes that it holds.
            now: current time, seconds.

        Returns:
            Whether the request may begin.
        """
        if not self.admits(size):
            self._free(LARGE_SHARE - FREED_SHARE, now=now)
        return self.admits(size)

    def _free(self, share: float, *, now: float) -> None:
        step = self.limit_bytes * SEARCH_STEP_SHARE
        if abs(self.held_bytes - self._searched_at_bytes) < step:
            return
        for holding in self._list_by_weight(now):
            if self.held_bytes <= self.limit_bytes * share:
                return
            self.given_up += 1
            holding.give_up()
        self._searched_at_bytes = self.held_bytes

    def _list_by_weight(self, now: float) -> list[Holding]:
        return sorted(
            self._holdings,
            key=lambda each: (each.size > SMALL_BYTES, each.weigh(now)),
            reverse=True,
        )


def find_memory_limit(memory_mb: int) -> int:
    """Find how much a process may hold for its callers.

    Args:
        memory_mb: memory of the process, megabytes.

    Returns:
        Bytes for the account.
    """
    rest = (memory_mb - OWN_MEGABYTES) * BYTES_PER_MEGABYTE
    return max(MIN_LIMIT_BYTES, int(rest * CALLER_SHARE))


def find_waiting_limit(memory_mb: int, *, max_connections: int) -> int:
    """Find how much may wait in the kernel on a connection of a caller.

    Args:
        memory_mb: memory of the process, megabytes.
        max_connections: most connections of callers.

    Returns:
        Bytes to be read, and bytes to be sent, on each connection.
    """
    share = memory_mb * BYTES_PER_MEGABYTE * WAITING_SHARE / max_connections
    return min(MAX_WAITING_BYTES, max(MIN_WAITING_BYTES, int(share)))
