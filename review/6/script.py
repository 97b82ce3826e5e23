"""Requests that are never answered behind an upload on a kept connection.

Each client keeps a connection, uploads a body, reads the answer and then sends
a small request on the same connection. With ``TROUBLE=0`` the body is small.
"""

from __future__ import annotations

import sys
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import closing
from functools import partial
from pathlib import Path
from typing import Final, NamedTuple

from review.harness_2.cases import has_trouble, run_case, start_service
from review.harness_2.clients import Client
from review.harness_2.deployments import Deployment, make_rule
from review.harness_2.upstreams import Answer, Run

REQUESTS: Final = 16
CLIENTS: Final = 8
INSTANCES: Final = 2
# As on the sheets: an upload of 110 ms, a lookup of 60 ms.
UPLOAD_S: Final = 0.11
LOOKUP_S: Final = 0.06
UPLOAD_BYTES: Final = 540_000
SMALL_BYTES: Final = 60_000
TIMEOUT_MS: Final = 2000
LIMIT_S: Final = 5.0
# The rule's moments: timeoutMs, and half a second later.
TIMEOUT_S: Final = 2.0
LATE_S: Final = 2.5
LARGEST_SHARE: Final = 0.5
LEAST_REQUESTS: Final = 4
STATUS_OK: Final = 200


class Outcome(NamedTuple):
    """What a client got for its upload and for the request behind it."""

    upload_status: int
    lookup_status: int
    seconds: float


def make_answer(run: Run) -> Answer:
    """Make the answer of a sound upstream.

    Args:
        run: the request.

    Returns:
        The answer.
    """
    if run.path.startswith('/uploads/'):
        return Answer(b'%d bytes' % len(run.body), UPLOAD_S)
    return Answer(b'found', LOOKUP_S)


def run_client(deployment: Deployment, host: str, number: int) -> Outcome:
    """Run one client.

    Args:
        deployment: takes the record.
        host: address of the client's machine.
        number: number of the client.

    Returns:
        What it got.
    """
    size = UPLOAD_BYTES if has_trouble() else SMALL_BYTES
    with closing(Client(host, limit_s=LIMIT_S)) as client:
        client.send(
            'POST',
            f'/uploads/{number}',
            request_id=f'upload-{number}',
            body=b'u' * size,
        )
        upload = client.receive()
        begun_at = time.monotonic()
        client.send('GET', f'/look/{number}', request_id=f'look-{number}')
        lookup = client.receive()
    outcome = Outcome(
        upload_status=upload.status,
        lookup_status=lookup.status,
        seconds=time.monotonic() - begun_at,
    )
    deployment.note(f'client {number}: {outcome}')
    return outcome


def judge(deployment: Deployment, outcomes: list[Outcome]) -> bool:
    """Judge by the rule CONFIG.

    Args:
        deployment: takes the record.
        outcomes: what the clients got.

    Returns:
        Whether the rule was broken.
    """
    late = [
        each
        for each in outcomes
        if not each.lookup_status or each.seconds > TIMEOUT_S
    ]
    unanswered = [
        each for each in late if not each.lookup_status or each.seconds > LATE_S
    ]
    uploaded = [each for each in outcomes if each.upload_status == STATUS_OK]
    deployment.note(
        f'{len(uploaded)} of {len(outcomes)} uploads answered 200;'
        f' CONFIG: of {len(late)} requests behind them that were unanswered at'
        f' timeoutMs, {len(unanswered)} had no answer 0.5 s later'
    )
    if len(late) < LEAST_REQUESTS:
        return False
    return len(unanswered) > LARGEST_SHARE * len(late)


def run_uploads(deployment: Deployment) -> bool:
    """Run the clients, some of them side by side.

    Args:
        deployment: the deployment.

    Returns:
        Whether the rule was broken.
    """
    service = start_service(
        deployment,
        [
            make_rule('look', timeoutMs=TIMEOUT_MS),
            make_rule('uploads', timeoutMs=TIMEOUT_MS, kind='upload'),
        ],
        instances=INSTANCES,
        make_answer=make_answer,
    )
    with ThreadPoolExecutor(CLIENTS) as executor:
        outcomes = list(
            executor.map(
                partial(run_client, deployment, service.hosts[0]),
                range(REQUESTS),
            )
        )
    service.note_runs(deployment)
    return judge(deployment, outcomes)


if __name__ == '__main__':
    sys.exit(run_case(Path(__file__).parent, run_uploads))
