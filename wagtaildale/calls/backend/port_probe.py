"""Probes the port of a backend server without sending a request."""

from __future__ import annotations

import errno
from enum import Enum
from typing import TYPE_CHECKING, Final, final

from wagtaildale.reactor.stream import open_stream

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.calls.addresses import Address
    from wagtaildale.reactor.loop import Loop

# A port on the same machine accepts or refuses a connection at once.
PROBE_TIMEOUT_SECONDS: Final = 0.1


@final
class ProbeResult(Enum):
    """Result of a port probe."""

    opened = 'opened'
    refused = 'refused'
    silent = 'silent'


class PortProbe:
    """One attempt to connect to a port; a ``StreamReceiver``."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        *,
        on_result: Callable[[ProbeResult], None],
    ) -> None:
        """Start connecting.

        Args:
            loop: event loop of the connection.
            address: address of the server.
            on_result: callback for the result.
        """
        self._on_result = on_result
        self._alarm = loop.alarms.set(PROBE_TIMEOUT_SECONDS, self._on_timeout)
        self._stream = open_stream(loop, (address.host, address.port), self)

    def on_open(self) -> None:
        """Report an open port; see ``StreamReceiver``."""
        self._finish(ProbeResult.opened)

    def on_bytes(self, chunk: bytes) -> None:
        """Do nothing, since no request was sent."""

    def on_end(self) -> None:
        """Do nothing, since the connection is closed as soon as it opens."""

    def on_lost(self, error: OSError) -> None:
        """Report a refused or silent port; see ``StreamReceiver``.

        Args:
            error: reason why the connection failed.
        """
        is_refused = error.errno == errno.ECONNREFUSED
        self._finish(ProbeResult.refused if is_refused else ProbeResult.silent)

    def on_drained(self) -> None:
        """Do nothing, since nothing was sent."""

    def _on_timeout(self) -> None:
        # Without an answer it is unknown whether the server has ended.
        self._finish(ProbeResult.silent)

    def _finish(self, probe_result: ProbeResult) -> None:
        self._alarm.cancel()
        self._stream.close()
        self._on_result(probe_result)
