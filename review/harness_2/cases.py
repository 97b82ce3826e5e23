"""What the scripts have in common: their exit codes and one service."""

from __future__ import annotations

import os
import traceback
from collections.abc import Callable, Sequence
from itertools import cycle
from pathlib import Path
from typing import Any, Final, NamedTuple

from review.harness_2.deployments import (
    APP_PORT,
    FIRST_ZONE,
    Deployment,
    make_configuration,
    make_entry,
    make_host,
)
from review.harness_2.upstreams import Answer, Run, Upstream

HELD: Final = 0
BROKEN: Final = 1
NOT_RUN: Final = 2
FIRST_HOST: Final = 11


class Service(NamedTuple):
    """One service: a machine, a node and an upstream for each instance."""

    hosts: list[str]
    upstreams: list[Upstream]

    def list_runs(self) -> list[Run]:
        """List what the upstreams have run.

        Returns:
            The runs of all upstreams.
        """
        return [run for upstream in self.upstreams for run in upstream.runs]

    def note_runs(self, deployment: Deployment) -> set[str]:
        """Write all runs to the record.

        Args:
            deployment: takes the record.

        Returns:
            Ids of the requests that were run.
        """
        runs = self.list_runs()
        for run in runs:
            deployment.note(run.describe())
        return {each.request_id for each in runs}


def has_trouble() -> bool:
    """Tell whether the disruption is part of this run.

    Returns:
        False with ``TROUBLE=0``.
    """
    return os.environ.get('TROUBLE') != '0'


def start_service(
    deployment: Deployment,
    rules: list[dict[str, Any]],
    *,
    instances: int,
    make_answer: Callable[[Run], Answer],
    zones: Sequence[str] = (FIRST_ZONE,),
) -> Service:
    """Start one service and publish the configuration.

    Args:
        deployment: the deployment.
        rules: rules of the first configuration.
        instances: number of machines.
        make_answer: makes the answers of the upstreams.
        zones: zones of the machines, in turn.

    Returns:
        The service, all of whose nodes are ready.
    """
    hosts = [make_host(FIRST_HOST + number) for number in range(instances)]
    service = rules[0]['action']['service']
    deployment.store.write('op/config', make_configuration(1, rules, [service]))
    for host, zone in zip(hosts, cycle(zones)):
        deployment.store.write(
            f'servers/i-{host}', make_entry(host, service=service, zone=zone)
        )
        deployment.start_node(host, service=service, seeds=hosts, zone=zone)
    upstreams = [
        Upstream(each, APP_PORT, instance=f'i-{each}', make_answer=make_answer)
        for each in hosts
    ]
    for started in hosts:
        deployment.wait_until_ready(started)
    return Service(hosts=hosts, upstreams=upstreams)


def run_case(folder: Path, case: Callable[[Deployment], bool]) -> int:
    """Run a case and end all processes that it started.

    Args:
        folder: folder of the case.
        case: runs the case; tells whether the rule was broken.

    Returns:
        Exit code.
    """
    deployment = Deployment(folder)
    try:
        is_broken = case(deployment)
    except Exception:
        deployment.note(traceback.format_exc())
        return NOT_RUN
    finally:
        deployment.close()
    return BROKEN if is_broken else HELD
