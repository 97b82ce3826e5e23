"""Bookings that a stopping node takes and cuts, though their upstream works.

One node of three, the only one of its zone, gets SIGTERM. Its clients go on to
send. One booking in a hundred takes longer than the others; those that come
3.1 s after the signal are among them. With ``TROUBLE=0`` there is no SIGTERM.
"""

from __future__ import annotations

import signal
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import closing
from functools import partial
from pathlib import Path
from typing import Final, NamedTuple

from review.harness_2.cases import (
    Service,
    has_trouble,
    run_case,
    start_service,
)
from review.harness_2.clients import Client
from review.harness_2.deployments import ZONES, Deployment, make_rule
from review.harness_2.upstreams import Answer, Run

ZONES_OF_NODES: Final = (*ZONES, ZONES[-1])
WORK_S: Final = 1.0
LONG_WORK_S: Final = 2.4
# One booking in a hundred, as ``tail`` is in the site files.
LONG_EVERY: Final = 100
LONG_FIRST: Final = 20
MOST_LONG_LATE: Final = 1
TIMEOUT_MS: Final = 4000
GOAL_MS: Final = 2000
LIMIT_S: Final = 5.0
GAP_S: Final = 0.06
CALM_S: Final = 12.0
STOP_S: Final = 8.0
# A request counts if it is sent later than this after the SIGTERM.
COUNTED_AFTER_S: Final = 3.0
LONG_AFTER_S: Final = 3.05
CLIENTS: Final = 200
NEVER: Final = float('inf')


class Outcome(NamedTuple):
    """What a client got for a booking."""

    request_id: str
    sent_s: float
    ended_s: float
    status: int
    is_complete: bool
    is_closed: bool


class Works:
    """Draws how long each booking takes.

    Attributes:
        long_after: moment from which the next bookings are long ones.
    """

    def __init__(self) -> None:
        """Start without any booking."""
        self.long_after = NEVER
        self._lock = threading.Lock()
        self._count = 0
        self._late_count = 0

    def make_answer(self, run: Run) -> Answer:
        """Make the answer of a sound upstream.

        Args:
            run: the request.

        Returns:
            The answer.
        """
        with self._lock:
            self._count += 1
            is_long = self._count % LONG_EVERY == LONG_FIRST
            if time.monotonic() > self.long_after:
                is_long = self._late_count < MOST_LONG_LATE
                self._late_count += 1
        return Answer(b'booked', LONG_WORK_S if is_long else WORK_S)


def book(
    deployment: Deployment, host: str, begun_at: float, number: int
) -> Outcome | None:
    """Send one booking on a connection of its own.

    Args:
        deployment: takes the record.
        host: address of the client's machine.
        begun_at: moment of the SIGTERM.
        number: number of the booking.

    Returns:
        What came of it; None if the node took no connection.
    """
    request_id = f'booking-{number}'
    sent_s = time.monotonic() - begun_at
    try:
        client = Client(host, limit_s=LIMIT_S)
    except OSError:
        return None
    with closing(client):
        client.send('POST', f'/book/{number}', request_id=request_id)
        answer = client.receive()
    outcome = Outcome(
        request_id=request_id,
        sent_s=sent_s,
        ended_s=time.monotonic() - begun_at,
        status=answer.status,
        is_complete=answer.is_complete,
        is_closed=answer.is_closed,
    )
    deployment.note(str(outcome))
    return outcome


def send_evenly(
    deployment: Deployment, host: str, *, seconds: float, first: int
) -> list[Outcome]:
    """Send bookings at a steady rate and wait for all answers.

    Args:
        deployment: takes the record.
        host: address of the clients' machine.
        seconds: time for which they are sent.
        first: number of the first one.

    Returns:
        What came of them.
    """
    begun_at = time.monotonic()
    ask = partial(book, deployment, host, begun_at)
    with ThreadPoolExecutor(CLIENTS) as executor:
        started = []
        while time.monotonic() < begun_at + seconds:
            started.append(executor.submit(ask, first + len(started)))
            time.sleep(GAP_S)
    outcomes = [each.result() for each in started]
    return [each for each in outcomes if each is not None]


def list_lost(outcomes: list[Outcome], service: Service) -> list[Outcome]:
    """List the bookings that count as lost.

    Args:
        outcomes: what came of the bookings after the SIGTERM.
        service: the upstreams, which were sound all the while.

    Returns:
        Those that were sent late enough and passed on, and whose connection
        ended without an answer before their time limit.
    """
    run_ids = {run.request_id for run in service.list_runs()}
    return [
        each
        for each in outcomes
        if each.sent_s > COUNTED_AFTER_S
        and each.is_closed
        and not each.is_complete
        and each.request_id in run_ids
    ]


def run_stop(deployment: Deployment) -> bool:
    """Stop one node while its clients send bookings.

    Args:
        deployment: the deployment.

    Returns:
        Whether the rule was broken.
    """
    works = Works()
    service = start_service(
        deployment,
        [
            make_rule(
                'book', kind='unsafe', timeoutMs=TIMEOUT_MS, goalMs=GOAL_MS
            )
        ],
        instances=len(ZONES_OF_NODES),
        make_answer=works.make_answer,
        zones=ZONES_OF_NODES,
    )
    host = service.hosts[0]
    calm = send_evenly(deployment, host, seconds=CALM_S, first=0)
    deployment.note(f'{len(calm)} bookings before the stop')
    works.long_after = time.monotonic() + LONG_AFTER_S
    if has_trouble():
        deployment.signal_node(host, signal.SIGTERM)
    outcomes = send_evenly(
        deployment, host, seconds=STOP_S, first=len(calm) + 1
    )
    service.note_runs(deployment)
    lost = list_lost(outcomes, service)
    for each in lost:
        deployment.note(f'LOST: {each}')
    deployment.note(
        f'{len(outcomes)} bookings after the SIGTERM, {len(lost)} of those that'
        f' were sent more than {COUNTED_AFTER_S} s after it are lost'
    )
    return bool(lost)


if __name__ == '__main__':
    sys.exit(run_case(Path(__file__).parent, run_stop))
