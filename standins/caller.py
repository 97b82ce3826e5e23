"""Stand-in of callers: keeps connections to entries and judges the answers.

A caller checks that each answer is whole and its own: backend servers echo
the target and the caller's key. A request that is not idempotent is never
sent twice by a caller either.
"""

from __future__ import annotations

import random
import time
from http.client import HTTPConnection, HTTPException
from typing import TYPE_CHECKING, Final

from msgspec import MsgspecError, Struct, field, json

if TYPE_CHECKING:
    from collections.abc import Sequence

Address = tuple[str, int]

KEY_HEADER: Final = 'X-Booking'
OUTCOME_HEADER: Final = 'wagtaildale-outcome'
MILLISECONDS: Final = 1000
SERVER_ERROR: Final = 500
TIMEOUT_SECONDS: Final = 30.0
RECONNECT_DELAY_SECONDS: Final = 0.02
KEY_BITS: Final = 64


class WorkClass(Struct, frozen=True, kw_only=True):
    """One class of work as callers ask for it.

    Attributes:
        name: service and class.
        method: HTTP method.
        path: with ``{}`` for a number.
        target_ms: the class's target.
        idempotent: whether the class is.
        weight: how often it is asked for, among the others.
        body_bytes: size of the request's body.
    """

    name: str
    method: str
    path: str
    target_ms: int
    idempotent: bool
    weight: int
    body_bytes: int = 0


class CallCounts(Struct, kw_only=True):
    """How the calls of one class ended, as callers saw it.

    Attributes:
        sent: all calls.
        answered: whole answers to their own requests.
        in_time: of these, within the target.
        not_run: refused and called not run.
        unknown: called unknown.
        lost: no HTTP answer at all.
        wrong: answers to something else, or cut.
        seconds: durations of the answered.
        keys_not_run: keys of requests that were called not run.
    """

    sent: int = 0
    answered: int = 0
    in_time: int = 0
    not_run: int = 0
    unknown: int = 0
    lost: int = 0
    wrong: int = 0
    seconds: list[float] = field(default_factory=list)
    keys_not_run: list[str] = field(default_factory=list)

    def count_answer(self, seconds: float, work_class: WorkClass) -> None:
        """Note a whole answer to its own request.

        Args:
            seconds: it took.
            work_class: its class.
        """
        self.answered += 1
        self.seconds.append(seconds)
        if seconds * MILLISECONDS <= work_class.target_ms:
            self.in_time += 1

    def add(self, other: CallCounts) -> None:
        """Add another caller's counts.

        Args:
            other: stays as it is.
        """
        self.sent += other.sent
        self.answered += other.answered
        self.in_time += other.in_time
        self.not_run += other.not_run
        self.unknown += other.unknown
        self.lost += other.lost
        self.wrong += other.wrong
        self.seconds.extend(other.seconds)
        self.keys_not_run.extend(other.keys_not_run)


class Echo(Struct, kw_only=True):
    """What a backend server's stand-in answers."""

    target: str
    key: str


class Caller:
    """One caller: asks one thing after the other."""

    def __init__(
        self,
        entries: Sequence[Address],
        *,
        seed: int,
        latency_ms: float = 0,
    ) -> None:
        """Prepare; no connection is open yet.

        Args:
            entries: where nodes take requests; may be changed by others.
            seed: of the choices.
            latency_ms: one way to the data centres, added to each call.
        """
        self.counts: dict[str, CallCounts] = {}
        self._entries = entries
        self._random_generator = random.Random(seed)
        self._latency_seconds = latency_ms / MILLISECONDS
        self._connection: HTTPConnection | None = None

    def call(self, work_class: WorkClass) -> None:
        """Send one request and judge what comes back.

        Args:
            work_class: its class.
        """
        counts = self.counts.setdefault(work_class.name, CallCounts())
        key = f'{self._random_generator.getrandbits(KEY_BITS):x}'
        path = work_class.path.format(
            self._random_generator.randrange(MILLISECONDS)
        )
        connection = self._connect()
        if connection is None:
            return
        counts.sent += 1
        started = time.perf_counter()
        try:
            answer = self._exchange(connection, work_class, path, key)
        except (OSError, HTTPException):
            counts.lost += 1
            self.close()
            return
        seconds = time.perf_counter() - started
        self._count_outcome(
            counts, work_class, answer, Echo(target=path, key=key), seconds
        )

    def close(self) -> None:
        """Close the connection, if one is open."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _connect(self) -> HTTPConnection | None:
        if self._connection is not None:
            return self._connection
        address = self._random_generator.choice(self._entries)
        connection = HTTPConnection(*address, timeout=TIMEOUT_SECONDS)
        try:
            connection.connect()
        except OSError:
            # Nothing was sent: another entry is as good.
            time.sleep(RECONNECT_DELAY_SECONDS)
            return None
        self._connection = connection
        return connection

    def _exchange(
        self,
        connection: HTTPConnection,
        work_class: WorkClass,
        path: str,
        key: str,
    ) -> _Answer:
        time.sleep(self._latency_seconds)
        body = bytes(work_class.body_bytes) if work_class.body_bytes else None
        connection.request(work_class.method, path, body, {KEY_HEADER: key})
        response = connection.getresponse()
        text = response.read()
        time.sleep(self._latency_seconds)
        if response.will_close:
            self.close()
        outcome = response.getheader(OUTCOME_HEADER, 'answered')
        return _Answer(
            status=response.status,
            outcome=outcome.partition(';')[0],
            text=text,
        )

    def _count_outcome(
        self,
        counts: CallCounts,
        work_class: WorkClass,
        answer: _Answer,
        expected: Echo,
        seconds: float,
    ) -> None:
        if answer.outcome == 'not-run':
            counts.not_run += 1
            counts.keys_not_run.append(expected.key)
        elif answer.outcome == 'unknown':
            counts.unknown += 1
        elif answer.is_from_backend and not answer.matches(expected):
            counts.wrong += 1
        else:
            counts.count_answer(seconds, work_class)


class _Answer(Struct, kw_only=True):
    """What came back."""

    status: int
    outcome: str
    text: bytes

    @property
    def is_from_backend(self) -> bool:
        """Whether a backend server gave it, and did not shed."""
        return self.status < SERVER_ERROR

    def matches(self, expected: Echo) -> bool:
        """Tell whether it answers the request.

        Args:
            expected: what the request said.

        Returns:
            Whether target and key are echoed.
        """
        try:
            echo = json.decode(self.text, type=Echo)
        except MsgspecError:
            return False
        return echo == expected


def sum_counts(callers: Sequence[Caller]) -> dict[str, CallCounts]:
    """Add up what callers have counted.

    Args:
        callers: that have stopped.

    Returns:
        By class.
    """
    totals: dict[str, CallCounts] = {}
    for caller in callers:
        for name, counts in caller.counts.items():
            totals.setdefault(name, CallCounts()).add(counts)
    return totals
