"""Stand-in of callers: sends requests to entries and checks the responses.

Backend servers echo the target and the caller's key, so that a caller can
check that each response is complete and belongs to its request. Callers
never send a request twice, since it may not be idempotent.
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
    """A class of requests that callers send.

    Attributes:
        name: service and class, separated by a slash.
        method: HTTP method.
        path: request path with ``{}`` for a random number.
        target_ms: target response time.
        idempotent: whether requests may run more than once.
        weight: relative frequency among all classes.
        body_bytes: size of the request body.
    """

    name: str
    method: str
    path: str
    target_ms: int
    idempotent: bool
    weight: int
    body_bytes: int = 0


class CallCounts(Struct, kw_only=True):
    """Outcomes of the calls of one class, as seen by callers.

    Attributes:
        sent: all requests sent.
        answered: matching responses and errors from backend servers.
        in_time: answered calls within the target.
        not_run: calls refused with the outcome "not-run".
        unknown: calls with the outcome "unknown".
        lost: calls without an HTTP response.
        wrong: responses to another request, or truncated ones.
        seconds: durations of the answered calls.
        keys_not_run: keys of the requests counted in ``not_run``.
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
        """Count a matching response or an error of a backend server.

        Args:
            seconds: duration of the call.
            work_class: class of the request.
        """
        self.answered += 1
        self.seconds.append(seconds)
        if seconds * MILLISECONDS <= work_class.target_ms:
            self.in_time += 1

    def add(self, other: CallCounts) -> None:
        """Add another caller's counts.

        Args:
            other: counts to add; not changed.
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
    """Request fields echoed by the stand-in of a backend server."""

    target: str
    key: str


class Caller:
    """A caller that sends one request at a time."""

    def __init__(
        self,
        entries: Sequence[Address],
        *,
        seed: int,
        latency_ms: float = 0,
    ) -> None:
        """Create the caller without opening a connection.

        Args:
            entries: entry addresses of nodes; the list may change.
            seed: seed of the random choices.
            latency_ms: simulated one-way latency to the data centres.
        """
        self.counts: dict[str, CallCounts] = {}
        self._entries = entries
        self._random_generator = random.Random(seed)
        self._latency_seconds = latency_ms / MILLISECONDS
        self._connection: HTTPConnection | None = None

    def call(self, work_class: WorkClass) -> None:
        """Send one request and count its outcome.

        Args:
            work_class: class of the request.
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
            # No request was sent, so the next call may use another entry.
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
        elif answer.expects_echo and not answer.matches(expected):
            counts.wrong += 1
        else:
            counts.count_answer(seconds, work_class)


class _Answer(Struct, kw_only=True):
    """Response to one request."""

    status: int
    outcome: str
    text: bytes

    @property
    def expects_echo(self) -> bool:
        """Whether the body must echo the request; errors have no echo."""
        return self.status < SERVER_ERROR

    def matches(self, expected: Echo) -> bool:
        """Check whether the response belongs to the request.

        Args:
            expected: target and key of the request.

        Returns:
            Whether target and key are echoed.
        """
        try:
            echo = json.decode(self.text, type=Echo)
        except MsgspecError:
            return False
        return echo == expected


def sum_counts(callers: Sequence[Caller]) -> dict[str, CallCounts]:
    """Add up the counts of callers.

    Args:
        callers: callers whose counts are added.

    Returns:
        Counts by class name.
    """
    totals: dict[str, CallCounts] = {}
    for caller in callers:
        for name, counts in caller.counts.items():
            totals.setdefault(name, CallCounts()).add(counts)
    return totals
