"""Starts a small fleet on loopback addresses: nodes and their stand-ins.

Used by the demo, the benchmarks and the soak; a node itself starts nothing.
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

from msgspec import Struct, field, json, structs

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
    """Somebody else listens where a fleet would."""


class Placement(Struct, frozen=True, kw_only=True):
    """Which services run in which data centres, and how many of each.

    Attributes:
        region: of all data centres.
        data_centres: by name.
        services: by name, the number of instances, spread in turn.
    """

    region: str
    data_centres: tuple[str, ...]
    services: dict[str, int]


class FleetOptions(Struct, kw_only=True):
    """How a fleet is started.

    Attributes:
        spread: the daemons' distribution setting.
        backend: how the backend servers behave.
        program: module that runs a node.
        log_level: of the nodes.
        extra_arguments: more arguments for each node.
        extra_settings: TOML that is added to each node's settings.
        network: third part of the first instance's IP number.
    """

    spread: str = 'prompt'
    backend: BackendFaults = field(default_factory=BackendFaults)
    program: str = 'wagtaildale.daemon'
    log_level: str = 'info'
    extra_arguments: tuple[str, ...] = ()
    extra_settings: str = ''
    network: int = 1


class NodeProcess:
    """One node's process and its files."""

    def __init__(self, record: InstanceRecord, folder: Path) -> None:
        """Describe a node; ``start`` runs it.

        Args:
            record: its instance.
            folder: for settings and log.
        """
        self.record = record
        self.settings = folder / f'{record.instance}.toml'
        self.log_path = folder / f'{record.instance}.log'
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, options: FleetOptions) -> None:
        """Start the process.

        Args:
            options: which program, and its arguments.
        """
        command = [sys.executable, '-m', options.program]
        command += ['--settings', str(self.settings), *options.extra_arguments]
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(command, stderr=log, stdout=log)

    def is_running(self) -> bool:
        """Tell whether the process runs.

        Returns:
            Whether it was started and has not ended.
        """
        return self.process is not None and self.process.poll() is None

    def terminate(self) -> None:
        """Begin a planned stop."""
        if self.process is not None:
            self.process.terminate()

    def send_signal(self, number: int) -> None:
        """Send a signal to the process.

        Args:
            number: of the signal.
        """
        if self.process is not None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def wait(self) -> int:
        """Wait until the process has ended, killing it at last.

        Returns:
            Its exit code.
        """
        assert self.process is not None
        try:
            return self.process.wait(STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self.kill()
            return self.process.returncode

    def report(self) -> NodeReport | None:
        """Ask the node for its state.

        Returns:
            The report, or nothing if it does not answer.
        """
        address = (self.record.host, self.record.admin_port)
        return read_json(address, '/v1/node', NodeReport)


class Fleet(Closing):
    """Stand-ins of platform and backend servers, and nodes beside them."""

    def __init__(
        self,
        placement: Placement,
        *,
        options: FleetOptions | None = None,
    ) -> None:
        """Describe the fleet and start its platform.

        Args:
            placement: services and data centres.
            options: how it is started.
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
        """Publish, start everything and wait until every node is ready.

        Args:
            compiled: the first version.

        Raises:
            TimeoutError: when a node is not ready in a minute.
        """
        self.platform.publish(compiled)
        self.publish_instances()
        self.start_backends()
        for node in self.nodes:
            self.write_settings(node)
            node.start(self.options)
        self.wait_ready(self.nodes)

    def publish_instances(self, *, leaving: Collection[str] = ()) -> None:
        """List the instances as they are at the platform.

        Args:
            leaving: instances that are listed as leaving.
        """
        self.list_index += 1
        listed = tuple(
            structs.replace(record, state=ListedState.leaving)
            if record.instance in leaving
            else record
            for record in self.records
        )
        self.platform.publish_instances(self.list_index, listed)

    def start_backends(self) -> None:
        """Start the process of the backend servers, and wait for it."""
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
            nodes: that were started.

        Raises:
            TimeoutError: when one is not in a minute.
        """
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        for node in nodes:
            while not self._is_ready(node):
                if time.monotonic() > deadline or not node.is_running():
                    tail = node.log_path.read_text()[-LOG_TAIL_CHARACTERS:]
                    raise TimeoutError(f'{node.record.instance}: {tail}')
                time.sleep(POLL_SECONDS)

    def close(self) -> None:
        """End every process that was started."""
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
            node: whose.
        """
        record = node.record
        seeds = [
            other.control_address
            for other in self.records[: SEED_NODES + 1]
            if other.instance != record.instance
        ]
        node.settings.write_text(
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


def _make_records(placement: Placement, network: int) -> list[InstanceRecord]:
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


def _make_host(position: int, first: int) -> str:
    network, number = divmod(position, NODES_PER_NETWORK)
    return f'127.0.{first + network}.{number + 1}'


def _check_addresses(records: list[InstanceRecord]) -> None:
    """Check that a fleet's addresses are free.

    Failure guarded here: two runs have the same addresses, nodes of one find
    those of the other, and both meshes mix.

    Args:
        records: of the fleet's instances.

    Raises:
        AddressInUseError: with the first address that is taken.
    """
    for record in records:
        for port in _list_ports(record):
            if _is_in_use(record.host, port):
                raise AddressInUseError(f'{record.host}:{port} is taken')


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
        # As the nodes bind: connections of an earlier run that are still
        # being closed take no address.
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
