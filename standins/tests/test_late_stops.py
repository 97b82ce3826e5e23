"""Planned stops of real nodes while work takes longer than ever."""

from __future__ import annotations

import asyncio
import signal
import time
from contextlib import closing, suppress
from http.client import HTTPConnection, HTTPException
from itertools import chain
from typing import TYPE_CHECKING, Final

import pytest
from msgspec import Struct, structs

from standins.deployment.fleet import STATUS_OK, DeploymentFleet
from standins.deployment.model import ENTRY_PORT, HOST_NAME
from standins.deployment.profiles import TWO_NODES
from wagtaildale.testing.loopback import choose_network

if TYPE_CHECKING:
    from pathlib import Path

    from standins.deployment.machines import Machine

# As the platform's rules have them: what is sent later than that in a stop must
# not be cut, and nothing before the last sixth of the grace.
EXCUSED_SECONDS: Final = 3.0
LAST_SIXTH_SECONDS: Final = 5.0
GRACE_SECONDS: Final = 6.0
DEADLINE_MS: Final = 6000
GAP_SECONDS: Final = 0.1
STOP_GAP_SECONDS: Final = 0.3
ANSWERED: Final = frozenset((STATUS_OK, 503))
ARRIVALS: Final = '*arrivals*'
WARM_REQUESTS: Final = 12
DEPLOYMENT: Final = structs.replace(
    TWO_NODES,
    name='two-nodes',
    zones=('zone-a', 'zone-b'),
    machines=(('records', 'records', 'records', 'records'), ('records',)),
)


class Work(Struct, frozen=True, kw_only=True):
    """How long bookings take.

    Attributes:
        usual_ms: usual time, milliseconds.
        slow_ms: time of every second one later, milliseconds.
        slow_after: begin of that, seconds after the signal.
    """

    usual_ms: int
    slow_ms: int
    slow_after: float


class Booking(Struct, frozen=True, kw_only=True):
    """A booking that was sent to a stopping node.

    Attributes:
        request_id: id of the request.
        sent_at: time after the signal, seconds.
        ended_at: time after the signal, seconds.
        status: status of the answer; 0 if there was none.
    """

    request_id: str
    sent_at: float
    ended_at: float
    status: int


def book(machine: Machine, request_id: str, *, work_ms: int) -> int:
    connection = HTTPConnection(
        machine.host, ENTRY_PORT, timeout=GRACE_SECONDS + 1
    )
    headers = {
        'Host': HOST_NAME,
        'X-Request-Id': request_id,
        'X-Deadline-Ms': str(DEADLINE_MS),
    }
    with closing(connection), suppress(OSError, HTTPException):
        connection.request('POST', f'/booking/{work_ms}/', headers=headers)
        response = connection.getresponse()
        response.read()
        return response.status
    return 0


def was_cut(booking: Booking, ran: str) -> bool:
    if booking.status in ANSWERED or booking.request_id not in ran:
        return False
    is_excused = booking.sent_at <= EXCUSED_SECONDS
    return not is_excused or booking.ended_at < LAST_SIXTH_SECONDS


class StoppingNode:
    """A node that stops while bookings come to it, and later take long."""

    def __init__(self, machine: Machine, work: Work) -> None:
        self._machine = machine
        self._work = work
        self._stopped_at = float(0)

    async def stop(self, *, wait: float) -> list[Booking]:
        """Stop the node after some seconds and send the bookings."""
        await asyncio.sleep(wait)
        self._stopped_at = time.monotonic()
        self._machine.signal_node(signal.SIGTERM)
        tasks = []
        number = 0
        while self._measure() < LAST_SIXTH_SECONDS:
            number += 1
            booking = asyncio.to_thread(self._book, number)
            tasks.append(asyncio.create_task(booking))
            await asyncio.sleep(GAP_SECONDS)
        return list(await asyncio.gather(*tasks))

    def _book(self, number: int) -> Booking:
        request_id = f'{self._machine.host}-{number}.'
        sent_at = self._measure()
        is_slow = sent_at > self._work.slow_after and number % 2
        work_ms = self._work.slow_ms if is_slow else self._work.usual_ms
        status = book(self._machine, request_id, work_ms=work_ms)
        return Booking(
            request_id=request_id,
            sent_at=sent_at,
            ended_at=self._measure(),
            status=status,
        )

    def _measure(self) -> float:
        return time.monotonic() - self._stopped_at


async def warm_up(machine: Machine, work: Work) -> None:
    """Let a node learn how long the class takes."""
    await asyncio.gather(
        *(
            asyncio.to_thread(
                book, machine, f'warm-{number}', work_ms=work.usual_ms
            )
            for number in range(WARM_REQUESTS)
        )
    )


async def stop_and_book(
    folder: Path, *, stopped: int, work: Work
) -> list[Booking]:
    """Stop the last nodes one after the other; return what was cut."""
    fleet = DeploymentFleet(DEPLOYMENT, network=choose_network(), folder=folder)
    with closing(fleet):
        await fleet.start()
        await asyncio.gather(*(warm_up(each, work) for each in fleet.machines))
        bookings = await asyncio.gather(
            *(
                StoppingNode(machine, work).stop(wait=number * STOP_GAP_SECONDS)
                for number, machine in enumerate(fleet.machines[-stopped:])
            )
        )
        ran = ''.join(each.read_text() for each in folder.glob(ARRIVALS))
    assert any(each.status == STATUS_OK for each in chain(*bookings))
    return [each for each in chain(*bookings) if was_cut(each, ran)]


@pytest.mark.parametrize(
    ('stopped', 'work'),
    [
        (1, Work(usual_ms=1000, slow_ms=4000, slow_after=2)),
        (3, Work(usual_ms=50, slow_ms=3000, slow_after=1)),
        (1, Work(usual_ms=50, slow_ms=3000, slow_after=3)),
    ],
)
def test_late_bookings_are_not_cut(
    stopped: int, work: Work, tmp_path: Path
) -> None:
    """A booking takes many times as long as its class ever has and is cut."""
    assert not asyncio.run(stop_and_book(tmp_path, stopped=stopped, work=work))
