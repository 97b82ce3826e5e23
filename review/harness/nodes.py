"""Nodes of the project as processes, started as the deploy file tells."""

from __future__ import annotations

import json
import os
import random
from signal import Signals
import socket
import subprocess
import tempfile
import threading
import tomllib
from collections.abc import Callable
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from shutil import rmtree
from typing import Final

from harness.node_settings import APP_PORT, PORTS
from harness.record import Record, read_clock

ROOT: Final = Path(__file__).resolve().parents[2]
ADMIN_PORT: Final = 9464
LARGEST_PART: Final = 250
READY_SECONDS: Final = 30
POLL_SECONDS: Final = 0.02
PROBE_SECONDS: Final = 0.5
STATUS_OK: Final = 200
_never = threading.Event()


def pick_hosts(count: int) -> tuple[str, ...]:
    """Pick loopback addresses on which all ports of a node are free."""
    parts = random.sample(range(2, LARGEST_PART), k=2)
    net = '127.{0}.{1}'.format(*parts)
    hosts = tuple(f'{net}.{number + 1}' for number in range(count))
    for host in hosts:
        for port in (*PORTS.values(), APP_PORT, ADMIN_PORT):
            with socket.socket() as probe:
                probe.bind((host, port))
    return hosts


class Node:
    """A node beside one upstream."""

    def __init__(
        self,
        host: str,
        *,
        settings: dict[str, object],
        record: Record,
    ) -> None:
        self.host = host
        self.exits: list[int] = []
        self._record = record
        self._folder = Path(tempfile.mkdtemp(prefix='node-'))
        self._process: subprocess.Popen[bytes] | None = None
        self._settings = self._folder / 'settings.json'
        self._settings.write_text(json.dumps(settings))

    @property
    def outbound(self) -> tuple[str, int]:
        """Address for requests of clients."""
        return self.host, PORTS['outbound']

    def find_line(self, text: str) -> str:
        """Return the last line of the log that has a text, if any."""
        written = (self._folder / 'log').read_text().splitlines()
        found = [line for line in written if text in line]
        return found[-1] if found else f'{self.host} logged no {text}'

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        with (self._folder / 'log').open('ab') as log:
            self._process = subprocess.Popen(
                deploy['roles']['node']['run'].split(' '),
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', '/'),
                    'LANG': os.environ.get('LANG', 'C.UTF-8'),
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'WAGTAILDALE_NODE_FILE': str(self._settings),
                },
            )
        self._record.note(f'node {self.host} is started')

    def find_exit(self) -> int | None:
        """Return the exit code if the process has ended, and note it."""
        process = self._process
        code = None if process is None else process.poll()
        if code is not None:
            self._process = None
            self.exits.append(code)
            self._record.note(f'node {self.host} ended by itself: {code}')
        return code

    def send_signal(self, number: Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self._record.note(f'{number.name} to node {self.host}')
        self._process.send_signal(number)

    def is_ready(self) -> bool:
        """Ask the node whether it is ready, as the platform does."""
        connection = HTTPConnection(
            self.host, PORTS['ready'], timeout=PROBE_SECONDS
        )
        try:
            return _ask(connection) == STATUS_OK
        except (OSError, HTTPException):
            return False
        finally:
            connection.close()

    def wait_for_end(self, seconds: float) -> None:
        """Wait for the process to end; kill it after a time."""
        process = self._process
        if process is None:
            return
        try:
            process.wait(seconds)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        self._process = None

    def close(self) -> None:
        """Kill the process."""
        if self._process is not None:
            self._process.kill()
        self.wait_for_end(READY_SECONDS)
        rmtree(self._folder)


def wait_until(
    condition: Callable[[], bool], seconds: float = READY_SECONDS
) -> bool:
    """Wait for a condition; tell whether it holds."""
    deadline = read_clock() + seconds
    while not condition():
        if read_clock() > deadline:
            return False
        pause(POLL_SECONDS)
    return True


def pause(seconds: float) -> None:
    """Wait for some time."""
    _never.wait(max(0, seconds))


def _ask(connection: HTTPConnection) -> int:
    connection.request('GET', '/ready')
    return connection.getresponse().status
