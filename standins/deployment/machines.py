"""Machines of a deployment: a node and a backend server as processes."""

from __future__ import annotations

import errno
import itertools
import os
import signal
import socket
import subprocess
import sys
import time
from contextlib import closing
from pathlib import Path
from typing import IO, Final

from msgspec import json

from standins.deployment.entries import PORTS
from standins.deployment.model import ClientPlan, Deployment, ServerPlan
from standins.deployment.verdict import Disturbance

ROOT: Final = Path(__file__).resolve().parents[2]
SETTINGS_VARIABLE: Final = 'WAGTAILDALE_NODE_FILE'
# Folder of the checkout that nodes run from, to compare an earlier landing.
CHECKOUT_VARIABLE: Final = 'DRAINS_CHECKOUT'
ARRIVALS_NAME: Final = 'arrivals'
WORD_NAME: Final = 'word'
END_SECONDS: Final = 10.0


class Machine:
    """A node and the backend server beside it.

    Attributes:
        host: IP address.
        zone: data centre.
        service: service of the backend server.
        instance: id of the backend server.
        settings_path: settings file of the node.
        log_path: log of the node.
        disturbances: disturbances of the node.
        node: process of the node, if it was started.
        server: process of the backend server, if it was started.
        is_busy: whether the node is stopped, started or paused by a run.
        is_gone: whether its server has ended for good.
        is_listed: whether the store has the server as ready.
    """

    def __init__(
        self, host: str, *, zone: str, service: str, speed: float, folder: Path
    ) -> None:
        """Describe a machine without starting anything.

        Args:
            host: IP address.
            zone: data centre.
            service: service of the backend server.
            speed: factor of the time that work takes.
            folder: folder of its files.
        """
        self.host = host
        self.zone = zone
        self.service = service
        self.instance = ''
        self.settings_path = folder / f'{host}.json'
        self.log_path = folder / f'{host}.log'
        self.disturbances: list[Disturbance] = []
        self.node: subprocess.Popen[bytes] | None = None
        self.server: subprocess.Popen[bytes] | None = None
        self.is_busy = False
        self.is_gone = False
        self.is_listed = False
        self._speed = speed
        self._folder = folder
        self._numbers = itertools.count(1)

    def start_node(self) -> None:
        """Start the node."""
        environment = {
            name: text
            for name, text in os.environ.items()
            if name in {'PATH', 'HOME', 'LANG'}
        }
        checkout = os.environ.get(CHECKOUT_VARIABLE, str(ROOT))
        environment['PYTHONPATH'] = checkout
        environment[SETTINGS_VARIABLE] = str(self.settings_path)
        with self.log_path.open('ab') as log:
            self.node = subprocess.Popen(
                [sys.executable, '-m', 'wagtaildale.platform'],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
                cwd=checkout,
            )
        self.end_disturbance()

    def start_server(
        self, deployment: Deployment, *, names_limit: bool = False
    ) -> None:
        """Start the backend server under a new id.

        Args:
            deployment: deployment that it belongs to.
            names_limit: whether it names a rate limit.
        """
        number = next(self._numbers)
        self.instance = 'i-{0}-{1}'.format(self.host.replace('.', '-'), number)
        plan = ServerPlan(
            deployment=deployment.name,
            instance=self.instance,
            host=self.host,
            service=self.service,
            speed=self._speed,
            slots=deployment.slots,
            seed=number,
            names_limit=names_limit,
            arrivals_path=str(
                self._folder / f'{self.instance}.{ARRIVALS_NAME}'
            ),
            word_path=str(self._folder / f'{self.instance}.{WORD_NAME}'),
        )
        self.server = subprocess.Popen(
            [sys.executable, '-m', 'standins.deployment.server'],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            cwd=ROOT,
        )
        _send_line(self.server.stdin, json.encode(plan))

    def wait_server(self) -> None:
        """Wait until the backend server listens."""
        assert self.server is not None
        assert self.server.stdout is not None
        self.server.stdout.readline()

    def wait_server_end(self) -> None:
        """Wait until the backend server has ended."""
        assert self.server is not None
        self.server.wait(END_SECONDS)

    def wait_node_end(self, seconds: float) -> None:
        """Wait until the node has ended.

        Args:
            seconds: longest time to wait.

        Raises:
            TimeoutExpired: if it has not ended by then.
        """
        assert self.node is not None
        self.node.wait(seconds)

    def signal_node(self, number: signal.Signals) -> None:
        """Send a signal to the node, if it runs.

        Args:
            number: the signal.
        """
        if number is not signal.SIGCONT:
            self.begin_disturbance(is_planned=number is signal.SIGTERM)
        if self.is_node_running():
            assert self.node is not None
            self.node.send_signal(number)
        if number is signal.SIGCONT:
            self.end_disturbance()

    def signal_server(self, number: signal.Signals) -> None:
        """Send a signal to the backend server, if it runs.

        Args:
            number: the signal.
        """
        if self.server is not None and self.server.poll() is None:
            self.server.send_signal(number)

    def begin_disturbance(self, *, is_planned: bool = False) -> None:
        """Record that a disturbance of the node begins.

        Args:
            is_planned: whether it is a planned stop.
        """
        self.disturbances.append(
            Disturbance(begins_at=time.monotonic(), is_planned=is_planned)
        )

    def end_disturbance(self) -> None:
        """Record that all disturbances of the node have ended."""
        now = time.monotonic()
        if not self.disturbances:
            self.begin_disturbance()
        for disturbance in self.disturbances:
            disturbance.ends_at = min(disturbance.ends_at, now)

    def is_node_running(self) -> bool:
        """Tell whether the node runs.

        Returns:
            Whether it was started and has not ended.
        """
        return self.node is not None and self.node.poll() is None

    def close(self) -> None:
        """Kill both processes."""
        for process in (self.node, self.server):
            if process is not None:
                process.kill()
                process.wait(END_SECONDS)


def start_clients(plan: ClientPlan) -> subprocess.Popen[bytes]:
    """Start a process of callers.

    Args:
        plan: how they are started.

    Returns:
        The process, which ends with the plan.
    """
    process = subprocess.Popen(
        [sys.executable, '-m', 'standins.deployment.client'],
        stdin=subprocess.PIPE,
        cwd=ROOT,
    )
    _send_line(process.stdin, json.encode(plan))
    return process


class MachineFactory:
    """Makes the machines of a deployment, each with an address of its own."""

    def __init__(
        self, deployment: Deployment, *, network: str, folder: Path
    ) -> None:
        """Prepare addresses.

        Args:
            deployment: the deployment.
            network: first three parts of their IP addresses.
            folder: folder of their files.
        """
        self._network = network
        self._folder = folder
        self._numbers = itertools.count(1)
        self._speeds = {
            name: itertools.cycle(deployment.speeds)
            for name in deployment.services
        }

    def make(self, *, zone: str, service: str) -> Machine:
        """Make a machine, nothing of which is started.

        Args:
            zone: data centre.
            service: service of its backend server.

        Returns:
            The machine.
        """
        machine = Machine(
            f'{self._network}.{next(self._numbers)}',
            zone=zone,
            service=service,
            speed=next(self._speeds[service]),
            folder=self._folder,
        )
        _check_ports(machine.host)
        return machine


def _check_ports(host: str) -> None:
    for port in PORTS:
        with closing(socket.socket()) as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((host, port))
            except OSError as error:
                if error.errno == errno.EADDRINUSE:
                    raise AddressInUseError(f'{host}:{port}') from error
                raise


class AddressInUseError(Exception):
    """Another process listens on an address of a machine."""


def _send_line(stream: IO[bytes] | None, text: bytes) -> None:
    assert stream is not None
    stream.write(text + b'\n')
    stream.flush()
