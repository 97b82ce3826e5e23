"""Stand-in of the callers of one data centre, as a process of its own."""

from __future__ import annotations

import asyncio
import itertools
import random
import sys
import time
from pathlib import Path
from typing import Final

from msgspec import Struct, json, structs

from standins.deployment.exchanges import (
    Answer,
    Streams,
    exchange,
    write_request,
)
from standins.deployment.model import (
    ENTRY_PORT,
    ClientPlan,
    RequestKind,
    SentRequest,
    WorkClass,
)
from standins.deployment.profiles import DEPLOYMENTS

MILLISECONDS: Final = 1000
CONNECT_SECONDS: Final = 1.0
RETRIES: Final = 1
WORK_SIGMA: Final = 0.6
REFUSED_STATUSES: Final = frozenset((408, 421, 429, 503))
FAILED_STATUSES: Final = frozenset((500, 502, 504))
GRACE_SECONDS: Final = 0.1


class Attempt(Struct, frozen=True, kw_only=True):
    """One attempt of a caller.

    Attributes:
        sent: what is written down of it.
        answer: answer of the node; None if there was none.
    """

    sent: SentRequest
    answer: Answer | None = None


class Clients:
    """The callers of one data centre."""

    def __init__(self, plan: ClientPlan) -> None:
        """Prepare the callers.

        Args:
            plan: how they are started.
        """
        self.plan = plan
        self.random = random.Random(plan.seed)
        deployment = DEPLOYMENTS[plan.deployment].adapt(patience=plan.patience)
        self.classes = [each for each in deployment.classes if each.weight]
        self._numbers = itertools.count(1)
        self._requests = Path(plan.requests_path).open('ab')

    async def run(self) -> None:
        """Send requests until the plan ends."""
        async with asyncio.TaskGroup() as group:
            for _number in range(self.plan.clients):
                group.create_task(Client(self).run())
        self._requests.close()

    def draw_hosts(self) -> list[str]:
        """List the ready machines in random order.

        Returns:
            IP addresses.
        """
        written = Path(self.plan.hosts_path).read_bytes()
        hosts = json.decode(written, type=list[str])
        self.random.shuffle(hosts)
        return hosts

    def find_gap(self, now: float) -> float:
        """Draw the time until the next request of a caller.

        Args:
            now: current time, seconds on the monotonic clock.

        Returns:
            Seconds.
        """
        factors = (
            burst.factor
            for burst in self.plan.bursts
            if burst.begins_at <= now < burst.ends_at
        )
        rate = self.plan.per_second * max(factors, default=1)
        return self.random.expovariate(rate / self.plan.clients)

    def make_id(self) -> str:
        """Make the id of a request.

        Returns:
            An id that no other request has.
        """
        return f'{self.plan.name}-{next(self._numbers)}'

    def note(self, sent: SentRequest) -> None:
        """Write down a request.

        Args:
            sent: request that has ended.
        """
        self._requests.write(json.encode(sent) + b'\n')


class Client:
    """One caller, with one connection that it keeps."""

    def __init__(self, clients: Clients) -> None:
        """Create the caller without a connection.

        Args:
            clients: callers that it belongs to.
        """
        self._clients = clients
        self._host = ''
        self._streams: Streams | None = None
        self._was_cut = False

    async def run(self) -> None:
        """Send one request after the other."""
        clients = self._clients
        while time.monotonic() < clients.plan.ends_at:
            await asyncio.sleep(clients.find_gap(time.monotonic()))
            weights = [each.weight for each in clients.classes]
            work_class = clients.random.choices(clients.classes, weights)[0]
            await self._call(work_class)

    async def _call(self, work_class: WorkClass) -> None:
        ends_at = time.monotonic() + work_class.deadline_ms / MILLISECONDS
        work_ms = round(
            work_class.work_ms
            * self._clients.random.lognormvariate(
                -WORK_SIGMA * WORK_SIGMA / 2, WORK_SIGMA
            )
        )
        for _number in range(RETRIES + 1):
            attempt = await self._send(work_class, work_ms, ends_at)
            if attempt is None or not _may_retry(work_class, attempt):
                return
            wait = attempt.answer.retry_after if attempt.answer else 0
            if time.monotonic() + wait >= ends_at:
                return
            await asyncio.sleep(wait)

    async def _send(
        self, work_class: WorkClass, work_ms: int, ends_at: float
    ) -> Attempt | None:
        streams = await self._connect()
        left_ms = int((ends_at - time.monotonic()) * MILLISECONDS)
        if streams is None or left_ms <= 0:
            return None
        sent = SentRequest(
            request_id=self._clients.make_id(),
            work_class=work_class.name,
            host=self._host,
            at=time.monotonic(),
        )
        request = write_request(
            work_class, sent.request_id, work_ms=work_ms, deadline_ms=left_ms
        )
        answer = await self._exchange(
            streams, request, left_ms / MILLISECONDS + GRACE_SECONDS
        )
        sent = structs.replace(
            sent,
            ended_at=time.monotonic(),
            status=answer.status if answer else 0,
            was_cut=self._was_cut,
        )
        self._clients.note(sent)
        return Attempt(sent=sent, answer=answer)

    async def _exchange(
        self, streams: Streams, request: bytes, seconds: float
    ) -> Answer | None:
        answer: Answer | None = None
        self._was_cut = False
        try:
            async with asyncio.timeout(seconds):
                answer = await exchange(streams, request)
        except TimeoutError:
            self._close()
        except (OSError, EOFError):
            self._was_cut = True
            self._close()
        if answer is not None and not answer.keeps_open:
            self._close()
        return answer

    async def _connect(self) -> Streams | None:
        if self._streams is not None:
            return self._streams
        for host in self._clients.draw_hosts():
            try:
                async with asyncio.timeout(CONNECT_SECONDS):
                    streams = await asyncio.open_connection(host, ENTRY_PORT)
            except (OSError, TimeoutError):
                continue
            self._streams = streams
            self._host = host
            return streams
        return None

    def _close(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None


def _may_retry(work_class: WorkClass, attempt: Attempt) -> bool:
    status = attempt.sent.status
    if status in REFUSED_STATUSES:
        return True
    has_failed = not status or status in FAILED_STATUSES
    return has_failed and work_class.kind is RequestKind.safe


def main() -> None:
    """Run the callers that standard input describes as JSON."""
    plan = json.decode(sys.stdin.readline(), type=ClientPlan)
    asyncio.run(Clients(plan).run())


if __name__ == '__main__':
    main()
