"""Starts a small fleet on loopback addresses: nodes and their stand-ins.

Used by tests, the demo, the benchmarks and the soak. Nodes never start
processes themselves.
"""

from __future__ import annotations

import errno
import socket
import subprocess
import sys
import tempfile
import time
from contextlib import closing
from pathlib import Path
from typing import IO, TYPE_CHECKING, Any, Final

from msgspec import UNSET, Struct, field, json, structs

from standins.backend import BackendFaults, BackendSpec
from standins.client import read_json
from standins.platform import PlatformStandIn
from wagtaildale.admin.model import NodeReport
from wagtaildale.membership.records import InstanceRecord
from wagtaildale.testing.closing import Closing
from wagtaildale.types import (
    DataCentre,
    InstanceId,
    ListedState,
    Region,
    ServiceName,
)

if TYPE_CHECKING:
    from collections.abc import Collection

    from wagtaildale.configuration.compiled import Compiled

ENTRY_PORT: Final = 8080
OWNER_PORT: Final = 8081
CONTROL_PORT: Final = 8082
ADMIN_PORT: Final = 8083
BACKEND_PORT: Final = 8090
NODES_PER_NETWORK: Final = 200
SEED_NODES: Final = 3
START_TIMEOUT_SECONDS: Final = 60.0
STOP_TIMEOUT_SECONDS: Final = 15.0
POLL_SECONDS: Final = 0.05
LOG_TAIL_CHARACTERS: Final = 2000


class AddressInUseError(Exception):
    """Another process listens on an address of the fleet."""


class Placement(Struct, frozen=True, kw_only=True):
    """Number of instances of each service and their data centres.

    Attributes:
        region: region of all data centres.
        data_centres: names of the data centres.
        services: number of instances by service name; instances are
            assigned to the data centres in turn.
    """

    region: str
    data_centres: tuple[str, ...]
    services: dict[str, int]


class FleetOptions(Struct, kw_only=True):
    """Settings of a fleet.

    Attributes:
        spread: distribution setting of the nodes.
        backend: initial behaviour of the backend servers.
        program: module that runs a node.
        log_level: log level of the nodes.
        extra_arguments: additional command-line arguments of each node.
        extra_settings: TOML appended to the settings of each node.
        network: first three parts of the IP address of the first instance.
    """

    spread: str = 'prompt'
    backend: BackendFaults = field(default_factory=BackendFaults)
    program: str = 'wagtaildale.daemon'
    log_level: str = 'info'
    extra_arguments: tuple[str, ...] = ()
    extra_settings: str = ''
    network: str = '127.0.1'


class NodeProcess:
    """A node process with its settings and log files."""

    def __init__(self, record: InstanceRecord, folder: Path) -> None:
        """Describe a node without starting it.

        Args:
            record: instance record of the node.
            folder: folder of its settings and log files.
        """
        self.record = record
        self.settings_path = folder / f'{record.instance}.toml'
        self.log_path = folder / f'{record.instance}.log'
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, options: FleetOptions) -> None:
        """Start the process.

        Args:
            options: program and arguments.
        """
        command = [sys.executable, '-m', options.program]
        command += [
            '--settings',
            str(self.settings_path),
            *options.extra_arguments,
        ]
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(command, stderr=log, stdout=log)

    def is_running(self) -> bool:
        """Check whether the process runs.

        Returns:
            Whether it was started and has not exited.
        """
        return self.process is not None and self.process.poll() is None

    def terminate(self) -> None:
        """Send SIGTERM, which begins a planned stop."""
        if self.process is not None:
            self.process.terminate()

    def send_signal(self, number: int) -> None:
        """Send a signal to the process.

        Args:
            number: signal number.
        """
        if self.process is not None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def wait(self) -> int:
        """Wait until the process has exited; kill it after a timeout.

        Returns:
            Exit code of the process.
        """
        assert self.process is not None
        try:
            return self.process.wait(STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self.kill()
            return self.process.returncode

    def report(self) -> NodeReport | None:
        """Read the state of the node from its admin API.

        Returns:
            The report, or None if the node does not respond.
        """
        address = (self.record.host, self.record.admin_port)
        return read_json(address, '/v1/node', NodeReport)


class Fleet(Closing):
    """A platform, backend servers and a node beside each of them."""

    def __init__(
        self,
        placement: Placement,
        *,
        options: FleetOptions | None = None,
    ) -> None:
        """Start the platform; nodes and backend servers are not started.

        Args:
            placement: services and data centres.
            options: settings of the fleet.

        Raises:
            AddressInUseError: if an address of the fleet is in use.
        """
        self.options = options or FleetOptions()
        self.records = _make_records(placement, self.options.network)
        _check_addresses(self.records)
        self.folder = Path(tempfile.mkdtemp(prefix='wagtaildale-'))
        self.platform = PlatformStandIn('127.0.0.1', 0)
        self.nodes = [
            NodeProcess(record, self.folder) for record in self.records
        ]
        self.list_index = 0
        self._backends: list[subprocess.Popen[Any]] = []

    def start(self, compiled: Compiled) -> None:
        """Publish, start all processes and wait until the nodes are ready.

        Args:
            compiled: first configuration version.

        Raises:
            TimeoutError: if a node is not ready within a minute.
        """
        self.platform.publish(compiled)
        self.publish_instances()
        self.start_backends()
        for node in self.nodes:
            self.write_settings(node)
            node.start(self.options)
        self.wait_ready(self.nodes)

    def publish_instances(
        self,
        *,
        leaving: Collection[str] = (),
        evacuated: Collection[str] = (),
    ) -> None:
        """Publish the current instance list at the platform.

        Args:
            leaving: names of the instances to list as leaving.
            evacuated: data centres to list as evacuated.
        """
        self.list_index += 1
        listed = tuple(
            structs.replace(
                record,
                state=_find_state(record, leaving),
                evacuated=record.data_centre in evacuated or UNSET,
            )
            for record in self.records
        )
        self.platform.publish_instances(self.list_index, listed)

    def start_backends(self) -> None:
        """Start the backend server process and wait until it listens."""
        specs = [
            BackendSpec(
                name=record.instance,
                host=record.host,
                port=BACKEND_PORT,
                entry_port=record.entry_port,
                faults=self.options.backend,
            )
            for record in self.records
        ]
        process = subprocess.Popen(
            [sys.executable, '-m', 'standins.backend'],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        _write_input(process.stdin, json.encode(specs))
        assert process.stdout is not None
        process.stdout.readline()
        self._backends.append(process)

    def wait_ready(self, nodes: list[NodeProcess]) -> None:
        """Wait until nodes are ready.

        Args:
            nodes: started nodes.

        Raises:
            TimeoutError: if a node exits or is not ready within a minute.
        """
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        for node in nodes:
            while not self._is_ready(node):
                if time.monotonic() > deadline or not node.is_running():
                    tail = node.log_path.read_text()[-LOG_TAIL_CHARACTERS:]
                    raise TimeoutError(
                        f'{node.record.instance} is not ready; log: {tail}',
                    )
                time.sleep(POLL_SECONDS)

    def close(self) -> None:
        """Kill all processes and stop the platform."""
        for node in self.nodes:
            if node.is_running():
                node.kill()
        for process in self._backends:
            process.kill()
            process.wait()
        self.platform.close()

    def write_settings(self, node: NodeProcess) -> None:
        """Write the settings file of a node.

        Args:
            node: node to write the file for.
        """
        record = node.record
        seeds = [
            other.control_address
            for other in self.records[: SEED_NODES + 1]
            if other.instance != record.instance
        ]
        node.settings_path.write_text(
            f"""
instance = "{record.instance}"
service = "{record.service}"
data_centre = "{record.data_centre}"
region = "{record.region}"
host = "{record.host}"
entry_port = {record.entry_port}
owner_port = {record.owner_port}
control_port = {record.control_port}
admin_port = {record.admin_port}

[backend]
host = "{record.host}"
port = {BACKEND_PORT}
slots = {self.options.backend.slots}

[platform]
url = "{self.platform.url}"

[distribution]
spread = "{self.options.spread}"
seeds = {seeds!r}

[log]
level = "{self.options.log_level}"
{self.options.extra_settings}
""",
        )

    def _is_ready(self, node: NodeProcess) -> bool:
        report = node.report()
        return report is not None and report.state == 'ready'


def _find_state(
    record: InstanceRecord, leaving: Collection[str]
) -> ListedState:
    is_leaving = record.instance in leaving
    return ListedState.leaving if is_leaving else ListedState.live


def _make_records(placement: Placement, network: str) -> list[InstanceRecord]:
    records: list[InstanceRecord] = []
    for service, count in placement.services.items():
        for number in range(count):
            position = len(records)
            names = placement.data_centres
            records.append(
                InstanceRecord(
                    instance=InstanceId(f'{service}-{number + 1}'),
                    service=ServiceName(service),
                    data_centre=DataCentre(names[position % len(names)]),
                    region=Region(placement.region),
                    host=_make_host(position, network),
                    entry_port=ENTRY_PORT,
                    owner_port=OWNER_PORT,
                    control_port=CONTROL_PORT,
                    admin_port=ADMIN_PORT,
                ),
            )
    return records


def _make_host(position: int, first: str) -> str:
    further, number = divmod(position, NODES_PER_NETWORK)
    prefix, _point, third = first.rpartition('.')
    return f'{prefix}.{int(third) + further}.{number + 1}'


def _check_addresses(records: list[InstanceRecord]) -> None:
    """Check that no other process uses the addresses of a fleet.

    All runs use the same addresses. Without this check, the nodes of two
    concurrent runs find each other and the two meshes mix.

    Args:
        records: instances of the fleet.

    Raises:
        AddressInUseError: with the first address that is in use.
    """
    for record in records:
        for port in _list_ports(record):
            if _is_in_use(record.host, port):
                raise AddressInUseError(
                    f'{record.host}:{port} is already in use'
                )


def _list_ports(record: InstanceRecord) -> tuple[int, ...]:
    return (
        record.entry_port,
        record.owner_port,
        record.control_port,
        record.admin_port,
        BACKEND_PORT,
    )


def _is_in_use(host: str, port: int) -> bool:
    with closing(socket.socket(socket.AF_INET, socket.SOCK_STREAM)) as sock:
        # Nodes bind with this option too: connections of an earlier run in
        # TIME_WAIT do not block an address.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, port))
        except OSError as error:
            if error.errno == errno.EADDRINUSE:
                return True
            raise
    return False


def _write_input(stream: IO[Any] | None, text: bytes) -> None:
    assert stream is not None
    stream.write(text)
    stream.close()
