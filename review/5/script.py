"""Bookings that run twice because a lookup's rule has the same name.

A version of the configuration gives two hosts a rule named "default": that of
the public site is ``safe``, that of the desk is ``unsafe``. One upstream of
three runs some requests and loses the answer. With ``TROUBLE=0`` the two rules
have different names, and all else is the same.
"""

from __future__ import annotations

import random
import sys
import threading
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from contextlib import closing
from functools import partial
from pathlib import Path
from typing import Final

from review.harness_2.cases import (
    Service,
    has_trouble,
    run_case,
    start_service,
)
from review.harness_2.clients import Client
from review.harness_2.deployments import Deployment, make_rule
from review.harness_2.upstreams import Answer, Run

DESK: Final = 'desk.example'
PUBLIC: Final = 'public.example'
INSTANCES: Final = 3
REQUESTS: Final = 1200
CLIENTS: Final = 12
# One upstream of three loses the answer of one request in ten.
LOST_SHARE: Final = 0.1
WORK_S: Final = 0.03
LIMIT_S: Final = 1.5
TIMEOUT_MS: Final = 800
VERSION: Final = 2
SEED: Final = 1
BOOKINGS: Final = '/book/'


class Upstreams:
    """What the upstreams answer.

    Attributes:
        losing: upstream that loses answers.
    """

    def __init__(self) -> None:
        """Start with a seeded draw."""
        self.losing = ''
        self._random = random.Random(SEED)
        self._lock = threading.Lock()

    def make_answer(self, run: Run) -> Answer:
        """Make an answer, or lose it.

        Args:
            run: the request.

        Returns:
            The answer.
        """
        if run.instance != self.losing:
            return Answer(b'done', WORK_S)
        with self._lock:
            is_lost = self._random.random() < LOST_SHARE
        return Answer(b'done', WORK_S, is_lost=is_lost)


def publish(deployment: Deployment, services: list[str]) -> None:
    """Publish a configuration with two hosts.

    Args:
        deployment: the deployment.
        services: names of the services.
    """
    hosts = {
        DESK: ('/book/', 'unsafe'),
        PUBLIC: ('/look/', 'safe'),
    }
    listeners = []
    for host, (prefix, kind) in hosts.items():
        name = 'default' if has_trouble() else f'default-{kind}'
        rule = make_rule(name, kind=kind, timeoutMs=TIMEOUT_MS)
        rule['match'] = {'prefix': prefix}
        listeners.append({'host': host, 'rules': [rule]})
    deployment.publish(VERSION, listeners, services)


def send(host: str, number: int) -> tuple[str, int]:
    """Send a booking or a lookup on a connection of its own.

    Args:
        host: address of the client's machine.
        number: number of the request; every second one is a booking.

    Returns:
        Id of the request and status of the answer.
    """
    is_booking = number % 2 == 0
    method, path = ('POST', BOOKINGS) if is_booking else ('GET', '/look/')
    request_id = f'{"booking" if is_booking else "lookup"}-{number}'
    authority = DESK if is_booking else PUBLIC
    client = Client(host, limit_s=LIMIT_S, authority=authority)
    with closing(client):
        client.send(method, f'{path}{number}', request_id=request_id)
        return request_id, client.receive().status


def judge(
    deployment: Deployment, answers: dict[str, int], service: Service
) -> bool:
    """Judge by the rule TWICE.

    Args:
        deployment: takes the record.
        answers: status of each request.
        service: the upstreams.

    Returns:
        Whether the rule was broken.
    """
    service.note_runs(deployment)
    runs = Counter(
        run.request_id
        for run in service.list_runs()
        if run.path.startswith(BOOKINGS)
    )
    twice = [name for name, count in runs.items() if count > 1]
    for name in twice:
        deployment.note(f'TWICE: {name} ran {runs[name]} times')
    deployment.note(
        f'{Counter(answers.values())}; {len(twice)} of {len(runs)} bookings'
        ' ran more than once'
    )
    return bool(twice)


def run_requests(deployment: Deployment) -> bool:
    """Send bookings and lookups.

    Args:
        deployment: the deployment.

    Returns:
        Whether the rule was broken.
    """
    upstreams = Upstreams()
    service = start_service(
        deployment,
        [make_rule('first')],
        instances=INSTANCES,
        make_answer=upstreams.make_answer,
    )
    upstreams.losing = service.upstreams[-1].instance
    publish(deployment, ['booking'])
    deployment.wait_for_route(service.hosts, PUBLIC, '/look/0')
    with ThreadPoolExecutor(CLIENTS) as executor:
        answers = dict(
            executor.map(partial(send, service.hosts[0]), range(REQUESTS))
        )
    return judge(deployment, answers, service)


if __name__ == '__main__':
    sys.exit(run_case(Path(__file__).parent, run_requests))
