"""Measures memory and descriptors of a process while a test runs."""

from __future__ import annotations

import os
import socket
import struct
import threading
from pathlib import Path
from typing import Final

SAMPLE_SECONDS: Final = 0.05
PAGE_BYTES: Final = os.sysconf('SC_PAGE_SIZE')
TCP_TABLE: Final = Path('/proc/net/tcp')


class ProcessUsage:
    """Samples the use of memory and descriptors of one process.

    Attributes:
        peak_bytes: most resident bytes, received bytes that the process has
            not read included.
        peak_descriptors: most open descriptors.
    """

    def __init__(self, pid: int, *, host: str) -> None:
        """Describe the process; ``start`` begins to sample.

        Args:
            pid: id of the process.
            host: IP address that it listens on.
        """
        self.peak_bytes = 0
        self.peak_descriptors = 0
        self._folder = Path('/proc') / str(pid)
        self._host = _format_host(host)
        self._is_over = threading.Event()
        self._thread = threading.Thread(target=self._sample_all, daemon=True)

    def start(self) -> None:
        """Begin to sample."""
        self._thread.start()

    def stop(self) -> None:
        """End the samples."""
        self._is_over.set()
        self._thread.join()

    def _sample_all(self) -> None:
        while not self._is_over.wait(SAMPLE_SECONDS):
            try:
                self._sample()
            except OSError:
                # The process has ended; the test asks whether it still runs.
                return

    def _sample(self) -> None:
        resident = (self._folder / 'statm').read_text().split()[1]
        size = int(resident) * PAGE_BYTES + _count_unread_bytes(self._host)
        self.peak_bytes = max(self.peak_bytes, size)
        descriptors = len(os.listdir(self._folder / 'fd'))
        self.peak_descriptors = max(self.peak_descriptors, descriptors)


def _format_host(host: str) -> str:
    # The kernel writes the address as one number in its own byte order.
    return '{0:08X}'.format(struct.unpack('=I', socket.inet_aton(host))[0])


def _count_unread_bytes(host: str) -> int:
    total = 0
    for line in TCP_TABLE.read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1].startswith(host):
            total += int(fields[4].partition(':')[2], 16)
    return total
