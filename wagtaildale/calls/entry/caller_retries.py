"""Recognises callers that come back after a failed try.

Load pattern: a service that is short of capacity refuses a part of its load,
and the callers come back with less time left. Their latency target counts from
their first try, so a late one must not take capacity from one in time. A
caller states how long it still waits, but not how long it has waited, and
callers differ in their patience. So an entry remembers the requests that it
could not answer: the same request with the time left that the first one has by
then is a retry, unless callers of that request also come for the first time
with as little.
"""

from __future__ import annotations

from typing import Final

from msgspec import Struct

# Most failed requests that are remembered; the oldest are dropped.
MAX_FAILED_REQUESTS: Final = 4096
# Difference between the time left of a retry and that of the failed request,
# from delays on the way to the entry.
TOLERANCE_SECONDS: Final = 0.1
# A retry has less time left than this share of any first try of the request.
# Callers that come back sooner have lost little of their time.
MAX_RETRY_SHARE: Final = 0.9


class CallerTry(Struct, frozen=True, kw_only=True, gc=False):
    """A caller's request, and when its first try arrived.

    Attributes:
        request: identifies the request without its caller.
        arrived_at: time of arrival, seconds.
        first_arrived_at: time of arrival of the caller's first try, seconds.
        gives_up_at: time at which the caller gives up, seconds.
        first_timeout_seconds: time that the caller stated in its first try,
            seconds.
    """

    request: bytes
    arrived_at: float
    first_arrived_at: float
    gives_up_at: float
    first_timeout_seconds: float

    @property
    def elapsed_seconds(self) -> float:
        """Time from the first try until this one, seconds."""
        return self.arrived_at - self.first_arrived_at


class FailedRequest(Struct, kw_only=True, gc=False):
    """A request that failed, with all tries that may come back.

    Attributes:
        tries: failed tries, in order.
        shortest_timeout_seconds: shortest time that a caller stated in a first
            try, seconds.
    """

    tries: list[CallerTry]
    shortest_timeout_seconds: float


class CallerRetries:
    """Failed requests of callers that may come back.

    Attributes:
        count: number of failed requests that are remembered.
    """

    def __init__(self) -> None:
        """Start without any."""
        self._failed: dict[bytes, FailedRequest] = {}
        self.count = 0

    def recognise(
        self, request: bytes, *, timeout_seconds: float, now: float
    ) -> CallerTry:
        """Recognise a request as a retry or as a first try.

        A retry takes the place of the failed request, so that two callers
        with the same request are not taken for one.

        Args:
            request: identifies the request without its caller.
            timeout_seconds: time that the caller still waits, seconds.
            now: current time, seconds.

        Returns:
            The try, with the arrival of the first one.
        """
        failed = self._take(request, timeout_seconds, now)
        return CallerTry(
            request=request,
            arrived_at=now,
            first_arrived_at=failed.first_arrived_at if failed else now,
            gives_up_at=now + timeout_seconds,
            first_timeout_seconds=failed.first_timeout_seconds
            if failed
            else timeout_seconds,
        )

    def note_failure(self, failed: CallerTry) -> None:
        """Remember a request that was not answered.

        Args:
            failed: the failed try.
        """
        if self.count >= MAX_FAILED_REQUESTS:
            self._drop_oldest()
        known = self._failed.get(failed.request)
        if known is None:
            self._failed[failed.request] = FailedRequest(
                tries=[failed],
                shortest_timeout_seconds=failed.first_timeout_seconds,
            )
        else:
            known.tries.append(failed)
        self.count += 1

    def _take(
        self, request: bytes, timeout_seconds: float, now: float
    ) -> CallerTry | None:
        known = self._failed.get(request)
        if known is None:
            return None
        found = _find_match(known, timeout_seconds, now)
        if found is None:
            known.shortest_timeout_seconds = min(
                known.shortest_timeout_seconds, timeout_seconds
            )
        self.count -= len(known.tries)
        known.tries = [
            each
            for each in known.tries
            if each is not found and each.gives_up_at > now
        ]
        self.count += len(known.tries)
        if not known.tries:
            self._failed.pop(request)
        return found

    def _drop_oldest(self) -> None:
        oldest = next(iter(self._failed))
        self.count -= len(self._failed.pop(oldest).tries)


def _find_match(
    failed: FailedRequest, timeout_seconds: float, now: float
) -> CallerTry | None:
    if timeout_seconds > MAX_RETRY_SHARE * failed.shortest_timeout_seconds:
        return None
    gives_up_at = now + timeout_seconds
    found = min(
        failed.tries,
        key=lambda each: abs(each.gives_up_at - gives_up_at),
    )
    difference = abs(found.gives_up_at - gives_up_at)
    return found if difference <= TOLERANCE_SECONDS else None
