"""Configurations in quick succession that no node reads any more.

The operator publishes a configuration of 3,240 routes and changes it in two
storms some seconds apart. With ``TROUBLE=0`` only the last version of each
storm is written.
"""

from __future__ import annotations

import sys
import time
from contextlib import closing
from pathlib import Path
from typing import Any, Final

from review.harness_2.cases import (
    Service,
    has_trouble,
    run_case,
    start_service,
)
from review.harness_2.clients import Client
from review.harness_2.deployments import ZONES, Deployment, make_rule
from review.harness_2.deployments import make_configuration as make_published
from review.harness_2.upstreams import Answer, Run

# As on a grown site: 1,600 routes, and 1,640 more by the largest big_config.
IDLE_ROUTES: Final = 3240
INSTANCES: Final = 4
STORMS: Final = 2
# As on the sites: a change each 0.06 s for 1.5 s.
GAP_S: Final = 0.06
VERSIONS: Final = 25
FIRST_VERSION: Final = 2
# Bound of the rule, applyMs, and a margin.
APPLY_S: Final = 2.0
MARGIN_S: Final = 0.3
CHECK_S: Final = 4.0
CHECK_GAP_S: Final = 0.5
LIMIT_S: Final = 1.0
STATUS_OK: Final = 200
STATUS_UNKNOWN: Final = 404


def make_rules(version: int) -> list[dict[str, Any]]:
    """Make the rules of a version.

    Args:
        version: the version; it adds a route that is named after it.

    Returns:
        The rules.
    """
    idle = [make_rule(f'idle-{number:06d}') for number in range(IDLE_ROUTES)]
    return [make_rule('lookup'), make_rule(f'added-{version}'), *idle]


def make_configuration(version: int) -> dict[str, Any]:
    """Make a version.

    Args:
        version: number of the version.

    Returns:
        The configuration.
    """
    return make_published(version, make_rules(version), ['booking'])


def make_answer(run: Run) -> Answer:
    """Make the answer of a sound upstream.

    Args:
        run: the request.

    Returns:
        The answer.
    """
    return Answer(b'ok')


def publish(deployment: Deployment, first: int) -> int:
    """Write the versions of a storm.

    Args:
        deployment: the deployment.
        first: first version.

    Returns:
        The last version, which the store has acknowledged.
    """
    versions = [make_configuration(first + step) for step in range(VERSIONS)]
    begun_at = time.monotonic()
    for step, version in enumerate(versions):
        is_last = step == VERSIONS - 1
        if has_trouble() or is_last:
            due_at = begun_at + step * GAP_S
            time.sleep(max(0, due_at - time.monotonic()))
            deployment.store.write('op/config', version)
    deployment.note(f'version {first + VERSIONS - 1} acknowledged')
    return first + VERSIONS - 1


def count_stale(deployment: Deployment, service: Service, version: int) -> int:
    """Ask all nodes for the route that a version has added.

    Args:
        deployment: takes the record.
        service: the nodes.
        version: version that was acknowledged just now.

    Returns:
        Number of requests, sent later than the bound, that got 404.
    """
    acked_at = time.monotonic()
    time.sleep(APPLY_S + MARGIN_S)
    stale = 0
    while time.monotonic() < acked_at + APPLY_S + CHECK_S:
        for host in service.hosts:
            at = time.monotonic() - acked_at
            status = probe(host, version)
            deployment.note(
                f'{at:.2f} s after the ack of {version}, {host}: {status}'
            )
            stale += status == STATUS_UNKNOWN
        time.sleep(CHECK_GAP_S)
    return stale


def probe(host: str, version: int) -> int:
    """Ask a node for the route that a version has added.

    Args:
        host: address of the machine.
        version: the version.

    Returns:
        Status of the answer.
    """
    with closing(Client(host, limit_s=LIMIT_S)) as client:
        client.send(
            'GET',
            f'/added-{version}/1',
            request_id=f'probe-{version}-{time.monotonic_ns()}',
        )
        return client.receive().status


def run_storms(deployment: Deployment) -> bool:
    """Publish the storms and check each.

    Args:
        deployment: the deployment.

    Returns:
        Whether the rule was broken.
    """
    service = start_service(
        deployment,
        make_rules(1),
        instances=INSTANCES,
        make_answer=make_answer,
        zones=ZONES,
    )
    stale = 0
    for storm in range(STORMS):
        version = publish(deployment, FIRST_VERSION + storm * VERSIONS)
        stale += count_stale(deployment, service, version)
    for host in service.hosts:
        for line in deployment.read_log(host).splitlines():
            if 'source-failed' in line:
                deployment.note(f'log of {host}: {line}')
    deployment.note(
        f'CONFIG: {stale} requests got 404 on a route of a version that was'
        f' acknowledged more than {APPLY_S + MARGIN_S} s before'
    )
    return stale > 0


if __name__ == '__main__':
    sys.exit(run_case(Path(__file__).parent, run_storms))
