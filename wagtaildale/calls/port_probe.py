"""Tries the port of the backend server beside a node, and asks nothing."""

from __future__ import annotations

import errno
from enum import Enum
from typing import TYPE_CHECKING, Final, final

from wagtaildale.reactor.stream import open_stream

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.calls.addresses import Address
    from wagtaildale.reactor.loop import Loop

# A port on the same machine answers or refuses at once.
PROBE_TIMEOUT_SECONDS: Final = 0.1


@final
class ProbeResult(Enum):
    """What a port did."""

    opened = 'opened'
    refused = 'refused'
    silent = 'silent'


class PortProbe:
    """One try of a port; a ``StreamReceiver``."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        *,
        on_result: Callable[[ProbeResult], None],
    ) -> None:
        """Begin.

        Args:
            loop: carries the connection.
            address: of the server.
            on_result: is told what the port did.
        """
        self._on_result = on_result
        self._alarm = loop.alarms.set(PROBE_TIMEOUT_SECONDS, self._give_up)
        self._stream = open_stream(loop, (address.host, address.port), self)

    def on_open(self) -> None:
        """Conclude: somebody listens; see ``StreamReceiver``."""
        self._conclude(ProbeResult.opened)

    def on_bytes(self, chunk: bytes) -> None:
        """Do nothing: nothing was asked."""

    def on_end(self) -> None:
        """Do nothing: the connection is closed once it is open."""

    def on_lost(self, error: OSError) -> None:
        """Conclude; see ``StreamReceiver``.

        Args:
            error: why no connection came about.
        """
        is_refused = error.errno == errno.ECONNREFUSED
        self._conclude(
            ProbeResult.refused if is_refused else ProbeResult.silent
        )

    def on_drained(self) -> None:
        """Do nothing: nothing was sent."""

    def _give_up(self) -> None:
        # Nobody can say whether the server ended.
        self._conclude(ProbeResult.silent)

    def _conclude(self, outcome: ProbeResult) -> None:
        self._alarm.cancel()
        self._stream.close()
        self._on_result(outcome)
