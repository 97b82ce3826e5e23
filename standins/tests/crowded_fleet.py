"""Two real nodes, a crowd at one of them, and what an ordinary caller gets."""

from __future__ import annotations

import asyncio
import time
from contextlib import closing, suppress
from functools import partial
from http.client import HTTPConnection, HTTPException
from typing import TYPE_CHECKING, Final, Protocol

from msgspec import Struct, structs

from standins.deployment.fleet import STATUS_OK, DeploymentFleet
from standins.deployment.model import ENTRY_PORT, HOST_NAME
from standins.deployment.profiles import TWO_NODES
from standins.tests.crowds import CrowdRun
from standins.tests.process_usage import ProcessUsage
from wagtaildale.testing.loopback import choose_network

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from standins.deployment.machines import Machine
    from standins.tests.crowds import Crowd

MEGABYTE: Final = 1_000_000
MEMORY_MB: Final = 100
MAX_FDS: Final = 4100
TRIES: Final = 10
TRY_SECONDS: Final = 2.0
MILLISECONDS: Final = 1000
PAUSE_SECONDS: Final = 0.2
HOLD_SECONDS: Final = 1.0


class ClientRun(Protocol):
    """Clients that don't behave, at one node.

    Attributes:
        answered: number of clients, or of requests, that were answered.
    """

    answered: int

    async def gather(self) -> None:
        """Connect all clients, and wait until they are there."""

    async def leave(self) -> None:
        """Close all connections."""


class CrowdOutcome(Struct, frozen=True, kw_only=True):
    """What was seen of a crowd.

    Attributes:
        ended: machines whose node has ended.
        peak_bytes: most memory of a node, bytes.
        peak_descriptors: most descriptors of a node.
        beside: whether an ordinary request was answered beside the crowd.
        afterwards: whether one was answered after the crowd had gone.
        answered: clients of the crowd, or requests, that were answered.
    """

    ended: tuple[str, ...]
    peak_bytes: int
    peak_descriptors: int
    beside: bool
    afterwards: bool
    answered: int


async def run_crowd(
    crowd: Crowd,
    folder: Path,
    *,
    memory_mb: int = MEMORY_MB,
    max_fds: int = MAX_FDS,
) -> CrowdOutcome:
    """Let a crowd come to one of two nodes, and leave.

    Args:
        crowd: the crowd.
        folder: folder of settings and logs.
        memory_mb: memory of each node, megabytes.
        max_fds: most descriptors of each node.

    Returns:
        What was seen.
    """
    return await run_clients(
        partial(CrowdRun, crowd), folder, memory_mb=memory_mb, max_fds=max_fds
    )


async def run_clients(
    make_run: Callable[[str], ClientRun],
    folder: Path,
    *,
    memory_mb: int = MEMORY_MB,
    max_fds: int = MAX_FDS,
) -> CrowdOutcome:
    """Let clients come to one of two nodes, and leave.

    Args:
        make_run: makes the clients of the node with an IP address.
        folder: folder of settings and logs.
        memory_mb: memory of each node, megabytes.
        max_fds: most descriptors of each node.

    Returns:
        What was seen.
    """
    deployment = structs.replace(
        TWO_NODES, memory_mb=memory_mb, max_fds=max_fds
    )
    fleet = DeploymentFleet(deployment, network=choose_network(), folder=folder)
    with closing(fleet):
        await fleet.start()
        run = make_run(fleet.machines[0].host)
        return await _observe(run, fleet.machines)


async def _observe(run: ClientRun, machines: list[Machine]) -> CrowdOutcome:
    host = machines[0].host
    usages = [_start_to_measure(each) for each in machines]
    await run.gather()
    await asyncio.sleep(HOLD_SECONDS)
    beside = await asyncio.to_thread(is_served, host)
    await run.leave()
    afterwards = await asyncio.to_thread(is_served, host)
    for usage in usages:
        usage.stop()
    return CrowdOutcome(
        ended=tuple(
            each.host for each in machines if not each.is_node_running()
        ),
        peak_bytes=max(each.peak_bytes for each in usages),
        peak_descriptors=max(each.peak_descriptors for each in usages),
        beside=beside,
        afterwards=afterwards,
        answered=run.answered,
    )


def is_served(host: str) -> bool:
    """Ask as an ordinary caller does, again if the request was refused.

    Args:
        host: IP address of the node.

    Returns:
        Whether one of the tries was answered with success.
    """
    for number in range(TRIES):
        if _try(host, f'ordinary-{number}') == STATUS_OK:
            return True
        time.sleep(PAUSE_SECONDS)
    return False


def _try(host: str, request_id: str) -> int:
    connection = HTTPConnection(host, ENTRY_PORT, timeout=TRY_SECONDS)
    with closing(connection), suppress(OSError, HTTPException):
        return _ask(connection, request_id)
    return 0


def _ask(connection: HTTPConnection, request_id: str) -> int:
    headers = {
        'Host': HOST_NAME,
        'X-Request-Id': request_id,
        'X-Deadline-Ms': str(round(TRY_SECONDS * MILLISECONDS)),
    }
    connection.request('GET', '/lookup/5/', headers=headers)
    response = connection.getresponse()
    response.read()
    return response.status


def _start_to_measure(machine: Machine) -> ProcessUsage:
    assert machine.node is not None
    usage = ProcessUsage(machine.node.pid, host=machine.host)
    usage.start()
    return usage
