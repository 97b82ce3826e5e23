"""Runs the stand-in of a backend server on a thread, for tests."""

from __future__ import annotations

import asyncio
import threading
from typing import Final

from standins.backend import BackendFaults, BackendSpec, BackendStandIn
from wagtaildale.testing.closing import Closing

TIMEOUT_SECONDS: Final = 5.0


class BackendThread(Closing):
    """A backend server that runs on a thread of this process.

    Example:
        >>> with BackendThread('a', host='127.0.0.1', port=8090) as backend:
        ...     backend.counts.runs
        0
    """

    def __init__(
        self,
        name: str,
        *,
        host: str,
        port: int,
        entry_port: int = 0,
        faults: BackendFaults | None = None,
    ) -> None:
        """Start the server and wait until it listens.

        Args:
            name: name included in responses.
            host: IP address to listen on.
            port: port to listen on.
            entry_port: port of the node beside it for the backend
                server's own calls.
            faults: initial behaviour.
        """
        spec = BackendSpec(
            name=name,
            host=host,
            port=port,
            entry_port=entry_port,
            faults=faults or BackendFaults(service_ms=0),
        )
        self._backend = BackendStandIn(spec)
        self.counts = self._backend.counts
        self._loop = asyncio.new_event_loop()
        self._listening = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        assert self._listening.wait(TIMEOUT_SECONDS)

    @property
    def faults(self) -> BackendFaults:
        """Simulated faults; may be changed while the server runs."""
        return self._backend.spec.faults

    def close(self) -> None:
        """Stop the server and abort its connections."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(TIMEOUT_SECONDS)

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_until_complete(self._backend.listen())
        self._listening.set()
        self._loop.run_forever()
        self._backend.close()
        tasks = asyncio.all_tasks(self._loop)
        for task in tasks:
            task.cancel()
        self._loop.run_until_complete(
            asyncio.gather(*tasks, return_exceptions=True),
        )
        self._loop.close()
