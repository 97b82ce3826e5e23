"""A small deployment: store, upstreams and the nodes beside them."""

from __future__ import annotations

from dataclasses import dataclass
from types import TracebackType
from typing import Any, Final

from harness.configurations import (
    CONFIGURATION_KEY,
    FIRST_VERSION,
    SERVICE,
    build_configuration,
)
from harness.node_settings import APP_PORT, build_settings
from harness.nodes import Node, pick_hosts, wait_until
from harness.record import Record
from harness.store import Store
from harness.upstreams import Upstream

BORN_MS: Final = 1_790_000_000_000
MAX_SEEDS: Final = 3


@dataclass(frozen=True)
class Deployment:
    """A small deployment.

    Attributes:
        zones: zone of each machine.
        slots: requests that an upstream works on at once.
        services: service of each machine's upstream; one for all if empty.
    """

    zones: tuple[str, ...]
    slots: int
    services: tuple[str, ...] = ()


class Fleet:
    """Nodes with one upstream each, of one service if none are named."""

    def __init__(self, record: Record, deployment: Deployment) -> None:
        zones = deployment.zones
        self.record = record
        self.store = Store()
        self.zones = zones
        self.services = deployment.services or (SERVICE,) * len(zones)
        self.slots = deployment.slots
        hosts = pick_hosts(len(zones))
        self.upstreams = [
            Upstream(
                f'i-{number:08x}',
                host,
                port=APP_PORT,
                slots=deployment.slots,
                record=record,
            )
            for number, host in enumerate(hosts, start=1)
        ]
        self.nodes = [
            Node(
                host,
                settings=build_settings(
                    host,
                    zone=zone,
                    service=service,
                    seeds=hosts[:MAX_SEEDS],
                    store=self.store.address,
                ),
                record=record,
            )
            for host, zone, service in zip(
                hosts, zones, self.services, strict=True
            )
        ]

    def __enter__(self) -> Fleet:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for node in self.nodes:
            node.close()
        for upstream in self.upstreams:
            upstream.close()
        self.store.close()

    def start(self, rule: dict[str, Any]) -> bool:
        """Publish one rule and all upstreams; tell whether all got ready."""
        self.store.write_json(
            CONFIGURATION_KEY, build_configuration(FIRST_VERSION, (rule,))
        )
        for index, node in enumerate(self.nodes):
            self.store.write_json(self.name_entry(index), self.entry(index))
            node.start()
        return wait_until(self._are_ready)

    def name_entry(self, index: int) -> str:
        """Return the key of an upstream's entry."""
        return f'servers/{self.upstreams[index].instance}'

    def entry(self, index: int) -> dict[str, Any]:
        """Build the entry of an upstream."""
        return {
            'address': f'{self.nodes[index].host}:{APP_PORT}',
            'zone': self.zones[index],
            'version': 'v1',
            'info': {
                'service': self.services[index],
                'version': 'v1',
                'zone': self.zones[index],
                'slots': self.slots,
            },
            'status': {'state': 'ready', 'sequence': 1, 'coldLeftMs': 0},
            'born': BORN_MS,
        }

    def _are_ready(self) -> bool:
        return all(node.is_ready() for node in self.nodes)
