"""A small deployment: store, upstreams, and the nodes as processes."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import tempfile
import time
import tomllib
from contextlib import closing
from http.client import HTTPConnection
from pathlib import Path
from typing import Any, Final

from review.harness_2.stores import Store

ROOT: Final = Path(__file__).resolve().parents[2]
READY_PORT: Final = 8141
APP_PORT: Final = 8145
INBOUND_PORT: Final = 8146
OUTBOUND_PORT: Final = 8147
CONTROL_PORT: Final = 8529
FIRST_ZONE: Final = 'derby'
ZONES: Final = (FIRST_ZONE, 'coventry')
HOST: Final = 'mesh.example'
PATIENCE_S: Final = 20.0
POLL_S: Final = 0.1
STATUS_OK: Final = 200
NETWORKS: Final = 200
FIRST_NETWORK: Final = 20
BOUNDS: Final = (
    'seedLagS=3',
    'reuseAfterS=2',
    'stableWindowMs=3000',
    'ackMs=4000',
    'catchUpS=4',
    'drainMs=2000',
    'graceS=6',
    'lossSlackMs=200',
    'applyMs=2000',
    'rollbackSlackMs=250',
    'skewMaxMs=5000',
    'budgetRatio=0.2',
    'budgetWindowS=10',
    'budgetSlack=64',
    'recoverS=15',
)


def make_host(number: int) -> str:
    """Give a loopback address that other scripts do not use.

    Args:
        number: last part of the address.

    Returns:
        The address.
    """
    third, second = divmod(os.getpid(), NETWORKS)
    return '127.{0}.{1}.{2}'.format(
        FIRST_NETWORK + second, FIRST_NETWORK + third % NETWORKS, number
    )


def make_rule(name: str, **changes: Any) -> dict[str, Any]:
    """Make a published rule.

    Args:
        name: name of the rule, which is also its prefix.
        changes: fields of the rule or of its action.

    Returns:
        The rule.
    """
    action = {'timeoutMs': 2000, 'attempts': 2, 'service': 'booking'}
    rule: dict[str, Any] = {
        'name': name,
        'kind': 'safe',
        'goalMs': 400,
        'priority': 1,
        'match': {'prefix': f'/{name}/'},
        'action': action,
    }
    for field, change in changes.items():
        (action if field in action else rule)[field] = change
    return rule


def make_configuration(
    version: int, rules: list[dict[str, Any]], services: list[str]
) -> dict[str, Any]:
    """Make a published configuration with one host.

    Args:
        version: its version.
        rules: rules of the host.
        services: names of the services.

    Returns:
        The configuration.
    """
    return {
        'version': f'{version:08x}',
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 67108864,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'listeners': [{'host': HOST, 'rules': rules}],
        'clusters': [
            {'name': name, 'maxConns': 130, 'healthPath': '/health'}
            for name in services
        ],
    }


def make_entry(host: str, *, service: str, zone: str = FIRST_ZONE) -> Any:
    """Make the entry of an upstream in the store.

    Args:
        host: address of its machine.
        service: service that it runs.
        zone: zone of its machine.

    Returns:
        The entry.
    """
    return {
        'address': f'{host}:{APP_PORT}',
        'info': {'service': service, 'version': 'v1', 'zone': zone, 'slots': 9},
        'status': {'state': 'ready', 'sequence': 7, 'coldLeftMs': 0},
        'born': 1_790_000_000_000,
    }


class Deployment:
    """The store and the processes of the nodes, and the record of a script."""

    def __init__(self, folder: Path) -> None:
        """Start the store.

        Args:
            folder: folder of the script, to which the record is written.
        """
        self.store = Store(make_host(1))
        self._record = (folder / 'record.txt').open('w')
        self._temporary = tempfile.TemporaryDirectory()
        self._nodes: dict[str, subprocess.Popen[bytes]] = {}
        self._begun_at = time.time()

    def note(self, text: str) -> None:
        """Write a line to the record.

        Args:
            text: the line.
        """
        at = time.time() - self._begun_at
        self._record.write(f'{at:8.3f} {text}\n')
        self._record.flush()

    def start_node(
        self, host: str, *, service: str, seeds: list[str], **changes: Any
    ) -> subprocess.Popen[bytes]:
        """Start a node as the deploy file does, and wait until it is ready.

        Args:
            host: address of its machine.
            service: service of the upstream beside it.
            seeds: addresses of the seed machines.
            changes: further fields of its settings.

        Returns:
            The process.
        """
        path = Path(self._temporary.name) / f'{host}.json'
        path.write_text(
            json.dumps({**self._make_settings(host, service, seeds), **changes})
        )
        kept = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        log = (Path(self._temporary.name) / f'{host}.log').open('ab')
        node = subprocess.Popen(
            deploy['roles']['node']['run'].split(),
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={
                **kept,
                'PYTHONPATH': 'target/deps',
                'PYTHONDONTWRITEBYTECODE': '1',
                'WAGTAILDALE_NODE_FILE': str(path),
            },
        )
        self._nodes[host] = node
        self.note(f'node {host} ({service}) started')
        return node

    def wait_until_ready(self, host: str) -> None:
        """Wait until a node is ready.

        Args:
            host: address of its machine.

        Raises:
            TimeoutError: if it does not get ready.
        """
        end = time.monotonic() + PATIENCE_S
        while not self._is_ready(host):
            if time.monotonic() > end:
                raise TimeoutError(f'{host} is not ready')
            time.sleep(POLL_S)
        self.note(f'node {host} is ready')

    def publish(
        self, version: int, listeners: list[dict[str, Any]], services: list[str]
    ) -> None:
        """Write a configuration with several hosts.

        Args:
            version: its version.
            listeners: the hosts with their rules.
            services: names of the services.
        """
        configuration = make_configuration(version, [], services)
        self.store.write('op/config', {**configuration, 'listeners': listeners})

    def wait_for_route(
        self, hosts: list[str], authority: str, path: str
    ) -> None:
        """Wait until all nodes have a route.

        Args:
            hosts: addresses of the machines.
            authority: host of the route.
            path: path on the route.

        Raises:
            TimeoutError: if one of them has it not in time.
        """
        end = time.monotonic() + PATIENCE_S
        for host in hosts:
            while (
                read_status(host, OUTBOUND_PORT, path, authority) != STATUS_OK
            ):
                if time.monotonic() > end:
                    raise TimeoutError(f'{host} has no route {path}')
                time.sleep(POLL_S)

    def signal_node(self, host: str, number: int) -> None:
        """Send a signal to a node.

        Args:
            host: address of its machine.
            number: number of the signal.
        """
        self._nodes[host].send_signal(number)
        self.note(f'node {host} gets signal {number}')

    def read_log(self, host: str) -> str:
        """Read what a node wrote.

        Args:
            host: address of its machine.

        Returns:
            Its log.
        """
        return (Path(self._temporary.name) / f'{host}.log').read_text()

    def close(self) -> None:
        """End all processes that were started."""
        for node in self._nodes.values():
            if node.poll() is None:
                node.send_signal(signal.SIGCONT)
                node.kill()
                node.wait()
        self.store.close()
        self._temporary.cleanup()
        self._record.close()

    def _make_settings(
        self, host: str, service: str, seeds: list[str]
    ) -> dict[str, Any]:
        return {
            'nodeName': f'sidecar-{host}',
            'role': 'node',
            'instanceClass': 'sidecar',
            'serves': ['sidecar', 'control_plane'],
            'ip': host,
            'zone': FIRST_ZONE,
            'region': 'midlands',
            'zones': dict.fromkeys(ZONES, 'midlands'),
            'listenAddrs': {
                'inbound': f'{host}:{INBOUND_PORT}',
                'outbound': f'{host}:{OUTBOUND_PORT}',
                'ready': f'{host}:{READY_PORT}',
                'control': f'{host}:{CONTROL_PORT}',
            },
            'internalPortRange': [7380, 7395],
            'seedNodes': [f'{seed}:{CONTROL_PORT}' for seed in seeds],
            'bootstrap': True,
            'limits': {
                'cpuShare': 0.86,
                'cpuCores': 1,
                'memoryMb': 300,
                'maxFds': 4100,
                'linkMbps': 1000.0,
                'diskMb': 0,
            },
            'heartbeatMs': 1500,
            'bounds': list(BOUNDS),
            'appAddr': f'{host}:{APP_PORT}',
            'service': service,
            'platform': {
                'address': self.store.address,
                'form': 'read',
                'readsPerS': 2000,
                'historyS': 20,
                'valueBytes': 1048576,
            },
        }

    def _is_ready(self, host: str) -> bool:
        try:
            return read_status(host, READY_PORT, '/ready') == STATUS_OK
        except OSError:
            return False


def read_status(host: str, port: int, path: str, authority: str = HOST) -> int:
    """Send a GET request on a connection of its own.

    Args:
        host: address of the machine.
        port: port.
        path: path.
        authority: what is sent as ``Host``.

    Returns:
        Status of the answer.
    """
    connection = HTTPConnection(host, port, timeout=1)
    with closing(connection):
        connection.request(
            'GET',
            path,
            headers={'Host': authority, 'X-Request-Id': f'{time.time_ns():x}'},
        )
        return connection.getresponse().status
