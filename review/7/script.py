"""Pipelined downloads whose answers stop half way.

Each client keeps a connection, sends a report request and a download request
without waiting for the first answer, and reads what comes. With ``TROUBLE=0``
it waits for each answer before it sends the next request.
"""

from __future__ import annotations

import sys
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
from review.harness_2.deployments import Deployment, make_rule
from review.harness_2.upstreams import Answer, Run

REQUESTS: Final = 16
CLIENTS: Final = 4
# As on the sheets: a report of 240 ms, a download of 150 ms and 540,000 bytes.
REPORT_S: Final = 0.24
REPORT_BYTES: Final = 1500
DOWNLOAD_S: Final = 0.15
DOWNLOAD_BYTES: Final = 540_000
TIMEOUT_MS: Final = 2000
LIMIT_S: Final = 4.0
# The rules' bounds: more than three lost; eight or more, and over a quarter,
# without an answer half a second past the route's time.
LATE_S: Final = 2.5
MOST_LOST: Final = 3
LEAST_UNANSWERED: Final = 8
LARGEST_SHARE: Final = 0.25


class Outcome(NamedTuple):
    """What a client got for its download."""

    request_id: str
    received: int
    seconds: float
    is_complete: bool
    is_closed: bool


def make_answer(run: Run) -> Answer:
    """Make the answer of a sound upstream.

    Args:
        run: the request.

    Returns:
        The answer.
    """
    if run.path.startswith('/packs/'):
        return Answer(b'd' * DOWNLOAD_BYTES, DOWNLOAD_S)
    return Answer(b'r' * REPORT_BYTES, REPORT_S)


def ask(client: Client, name: str) -> Outcome:
    """Send a report and a download request on a kept connection.

    Args:
        client: the connection.
        name: distinguishes the requests of this client.

    Returns:
        What came of the download.
    """
    is_pipelined = has_trouble()
    request_id = f'pack-{name}'
    client.send('GET', f'/reports/{name}', request_id=f'first-{name}')
    client.receive()
    client.send('GET', f'/reports/{name}', request_id=f'report-{name}')
    if not is_pipelined:
        client.receive()
    begun_at = time.monotonic()
    client.send('GET', f'/packs/{name}', request_id=request_id)
    if is_pipelined:
        client.receive()
    answer = client.receive()
    return Outcome(
        request_id=request_id,
        received=len(answer.body),
        seconds=time.monotonic() - begun_at,
        is_complete=answer.is_complete and len(answer.body) == DOWNLOAD_BYTES,
        is_closed=answer.is_closed,
    )


def run_client(deployment: Deployment, host: str, number: int) -> Outcome:
    """Run one client.

    Args:
        deployment: takes the record.
        host: address of the client's machine.
        number: number of the client.

    Returns:
        What came of its download.
    """
    with closing(Client(host, limit_s=LIMIT_S)) as client:
        outcome = ask(client, str(number))
    deployment.note(str(outcome))
    return outcome


def judge(
    deployment: Deployment, outcomes: list[Outcome], service: Service
) -> bool:
    """Judge by the rules LOST and CONFIG.

    Args:
        deployment: takes the record.
        outcomes: outcome of each download.
        service: the upstreams, which were sound all the while.

    Returns:
        Whether a rule was broken.
    """
    run_ids = service.note_runs(deployment)
    lost = [
        each
        for each in outcomes
        if each.is_closed
        and not each.is_complete
        and each.request_id in run_ids
    ]
    unanswered = [
        each
        for each in outcomes
        if not each.is_complete or each.seconds > LATE_S
    ]
    deployment.note(
        f'{len(outcomes)} downloads; LOST: {len(lost)} were passed on and'
        f' their connection closed without a whole answer (bound {MOST_LOST});'
        f' CONFIG: {len(unanswered)} had no whole answer 0.5 s after timeoutMs'
        f' (bound {LEAST_UNANSWERED})'
    )
    is_unanswered = len(unanswered) >= LEAST_UNANSWERED
    share = len(unanswered) / len(outcomes)
    return len(lost) > MOST_LOST or (is_unanswered and share > LARGEST_SHARE)


def run_downloads(deployment: Deployment) -> bool:
    """Run the clients, some of them side by side.

    Args:
        deployment: the deployment.

    Returns:
        Whether a rule was broken.
    """
    packs = make_rule('packs', timeoutMs=TIMEOUT_MS, kind='download')
    service = start_service(
        deployment,
        [make_rule('reports', timeoutMs=TIMEOUT_MS), packs],
        instances=2,
        make_answer=make_answer,
    )
    with ThreadPoolExecutor(CLIENTS) as executor:
        outcomes = list(
            executor.map(
                partial(run_client, deployment, service.hosts[0]),
                range(REQUESTS),
            )
        )
    return judge(deployment, outcomes, service)


if __name__ == '__main__':
    sys.exit(run_case(Path(__file__).parent, run_downloads))
