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

KEY_FIELD: Final = 'X-Booking'
OUTCOME_FIELD: Final = 'wagtaildale-outcome'
MILLISECONDS: Final = 1000
SERVER_ERROR: Final = 500
TIMEOUT_SECONDS: Final = 30.0
REFUSED_PAUSE: Final = 0.02
KEY_BITS: Final = 64


class Work(Struct, frozen=True, kw_only=True):
    """One class of work as callers ask for it.

    Attributes:
        name: service and class.
        method: HTTP method.
        path: with ``{}`` for a number.
        within_ms: the class's target.
        idempotent: whether the class is.
        weight: how often it is asked for, among the others.
        body_bytes: size of the request's body.
    """

    name: str
    method: str
    path: str
    within_ms: int
    idempotent: bool
    weight: int
    body_bytes: int = 0


class WorkCounts(Struct, kw_only=True):
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

    def note_answer(self, seconds: float, work: Work) -> None:
        """Note a whole answer to its own request.

        Args:
            seconds: it took.
            work: its class.
        """
        self.answered += 1
        self.seconds.append(seconds)
        if seconds * MILLISECONDS <= work.within_ms:
            self.in_time += 1

    def add(self, other: WorkCounts) -> None:
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
        self.counts: dict[str, WorkCounts] = {}
        self._entries = entries
        self._random = random.Random(seed)
        self._latency = latency_ms / MILLISECONDS
        self._connection: HTTPConnection | None = None

    def call(self, work: Work) -> None:
        """Send one request and judge what comes back.

        Args:
            work: its class.
        """
        counts = self.counts.setdefault(work.name, WorkCounts())
        key = f'{self._random.getrandbits(KEY_BITS):x}'
        path = work.path.format(self._random.randrange(MILLISECONDS))
        connection = self._connect()
        if connection is None:
            return
        counts.sent += 1
        started = time.perf_counter()
        try:
            answer = self._exchange(connection, work, path, key)
        except (OSError, HTTPException):
            counts.lost += 1
            self.close()
            return
        seconds = time.perf_counter() - started
        self._judge(counts, work, answer, Echo(target=path, key=key), seconds)

    def close(self) -> None:
        """Close the connection, if one is open."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _connect(self) -> HTTPConnection | None:
        if self._connection is not None:
            return self._connection
        address = self._random.choice(self._entries)
        connection = HTTPConnection(*address, timeout=TIMEOUT_SECONDS)
        try:
            connection.connect()
        except OSError:
            # Nothing was sent: another entry is as good.
            time.sleep(REFUSED_PAUSE)
            return None
        self._connection = connection
        return connection

    def _exchange(
        self,
        connection: HTTPConnection,
        work: Work,
        path: str,
        key: str,
    ) -> _Answer:
        time.sleep(self._latency)
        body = bytes(work.body_bytes) if work.body_bytes else None
        connection.request(work.method, path, body, {KEY_FIELD: key})
        response = connection.getresponse()
        text = response.read()
        time.sleep(self._latency)
        if response.will_close:
            self.close()
        outcome = response.getheader(OUTCOME_FIELD, 'answered')
        return _Answer(
            status=response.status,
            outcome=outcome.partition(';')[0],
            text=text,
        )

    def _judge(
        self,
        counts: WorkCounts,
        work: Work,
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
            counts.note_answer(seconds, work)


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


def sum_counts(callers: Sequence[Caller]) -> dict[str, WorkCounts]:
    """Add up what callers have counted.

    Args:
        callers: that have stopped.

    Returns:
        By class.
    """
    totals: dict[str, WorkCounts] = {}
    for caller in callers:
        for name, counts in caller.counts.items():
            totals.setdefault(name, WorkCounts()).add(counts)
    return totals
