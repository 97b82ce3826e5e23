"""The machines of a running deployment and the store that they read."""

from __future__ import annotations

import asyncio
import time
from contextlib import closing
from http.client import HTTPConnection, HTTPException
from typing import TYPE_CHECKING, Final

from msgspec import json

from standins.deployment.entries import (
    build_configuration,
    build_entry,
    build_settings,
)
from standins.deployment.machines import Machine, MachineFactory
from standins.deployment.model import READY_PORT
from standins.deployment.store import Store

if TYPE_CHECKING:
    from pathlib import Path

    from standins.deployment.model import Deployment

CONFIGURATION_KEY: Final = 'op/config'
ENTRY_PREFIX: Final = 'servers/'
SEEDS: Final = 3
READY_SECONDS: Final = 30.0
POLL_SECONDS: Final = 0.1
PROBE_SECONDS: Final = 0.5
STATUS_OK: Final = 200


class DeploymentFleet:
    """Machines with their nodes and servers, and the store.

    Attributes:
        deployment: deployment that runs.
        store: store that the nodes read.
        machines: all machines, those that are gone as well.
    """

    def __init__(
        self,
        deployment: Deployment,
        *,
        network: str,
        folder: Path,
        names_limits: bool = False,
    ) -> None:
        """Describe the machines; nothing is started.

        Args:
            deployment: deployment that runs.
            network: first three parts of the IP addresses.
            folder: folder of settings, logs and records.
            names_limits: whether servers name rate limits.
        """
        self._names_limits = names_limits
        self.deployment = deployment
        self.store = Store()
        self.machines: list[Machine] = []
        self._folder = folder
        self._version = 0
        self._factory = MachineFactory(
            deployment, network=network, folder=folder
        )

    async def start(self) -> None:
        """Start all machines and wait until their nodes are ready.

        Raises:
            TimeoutError: if a node is not ready in time.
        """
        await self.publish_version()
        places = zip(
            self.deployment.zones, self.deployment.machines, strict=True
        )
        await asyncio.gather(
            *(
                self.add_machine(zone=zone, service=service)
                for zone, services in places
                for service in services
            ),
        )

    async def add_machine(self, *, zone: str, service: str) -> None:
        """Start a machine and wait until its node is ready.

        Args:
            zone: data centre of the machine.
            service: service of its backend server.

        Raises:
            TimeoutError: if the node is not ready in time.
        """
        machine = self._factory.make(zone=zone, service=service)
        self.machines.append(machine)
        machine.start_server(self.deployment, names_limit=self._names_limits)
        await asyncio.to_thread(machine.wait_server)
        await self.store.listen(machine.host)
        self._write_settings(machine)
        machine.start_node()
        await self.write_entry(machine)
        machine.is_listed = True
        await self._wait_ready(machine)
        self.write_hosts()

    async def write_entry(
        self, machine: Machine, *, state: str = 'ready'
    ) -> None:
        """Write the entry of a machine's server.

        Args:
            machine: machine of the server.
            state: state that the server reports.
        """
        entry = build_entry(machine, self.deployment, state=state)
        await self.store.write(f'{ENTRY_PREFIX}{machine.instance}', entry)

    async def remove_entry(self, machine: Machine) -> None:
        """Remove the entry of a machine's server, if it is there.

        Args:
            machine: machine of the server.
        """
        await self.store.remove(f'{ENTRY_PREFIX}{machine.instance}')

    def hide_next_change(self, machine: Machine) -> None:
        """Make watches leave out the next change of a server's entry.

        Args:
            machine: machine of the server.
        """
        self.store.hidden_keys.add(f'{ENTRY_PREFIX}{machine.instance}')

    async def publish_version(self) -> None:
        """Publish the next version of the configuration."""
        self._version += 1
        configuration = build_configuration(self.deployment, self._version)
        await self.store.write(CONFIGURATION_KEY, configuration)

    def write_hosts(self) -> None:
        """Tell callers which machines are there."""
        for zone in self.deployment.zones:
            hosts = [
                each.host
                for each in self.machines
                if each.zone == zone and not each.is_gone
            ]
            path = self._folder / f'{zone}.hosts'
            scratch = path.with_suffix('.new')
            scratch.write_bytes(json.encode(hosts))
            scratch.rename(path)

    def close(self) -> None:
        """Kill all processes and stop the store."""
        for machine in self.machines:
            machine.close()
        self.store.close()

    def _write_settings(self, machine: Machine) -> None:
        seeds = [each.host for each in self.machines[:SEEDS]]
        settings = build_settings(machine, self.deployment, seeds=seeds)
        machine.settings_path.write_bytes(json.encode(settings))

    async def _wait_ready(self, machine: Machine) -> None:
        deadline = time.monotonic() + READY_SECONDS
        while not await asyncio.to_thread(_is_ready, machine.host):
            if time.monotonic() > deadline:
                raise TimeoutError(f'{machine.host} is not ready')
            await asyncio.sleep(POLL_SECONDS)


def _is_ready(host: str) -> bool:
    connection = HTTPConnection(host, READY_PORT, timeout=PROBE_SECONDS)
    with closing(connection):
        try:
            return _ask(connection) == STATUS_OK
        except (OSError, HTTPException):
            return False


def _ask(connection: HTTPConnection) -> int:
    connection.request('GET', '/ready')
    return connection.getresponse().status
