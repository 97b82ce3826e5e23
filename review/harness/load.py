"""Clients that send requests to all nodes of a fleet until they are stopped."""

from __future__ import annotations

import threading
from itertools import product
from typing import Final

from harness.clients import CUT, Client, Request
from harness.fleet import Fleet
from harness.nodes import Node, pause

STAGGER_SECONDS: Final = 0.4


class Load:
    """Clients of all nodes, each with one request at a time."""

    def __init__(
        self,
        fleet: Fleet,
        *,
        clients: int,
        method: str,
        path: str,
        limit_ms: int,
    ) -> None:
        self.requests: list[tuple[Node, Request]] = []
        self._limit_ms = limit_ms
        self._method = method
        self._path = path
        self._pause_seconds = STAGGER_SECONDS / clients
        self._is_over = threading.Event()
        self._threads = [
            threading.Thread(
                target=self._call,
                args=(node, number, Client(node.outbound, record=fleet.record)),
            )
            for node, number in product(fleet.nodes, range(clients))
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop the clients; wait for their last answers."""
        self._is_over.set()
        for thread in self._threads:
            thread.join()

    def count_served(self) -> int:
        """Count the requests that were answered with success."""
        return sum(request.is_served for _node, request in self.requests)

    def list_cut(self, node: Node) -> list[Request]:
        """List the requests to a node whose connection ended unanswered."""
        return [
            request
            for taker, request in self.requests
            if taker is node and request.ending == CUT
        ]

    def _call(self, node: Node, number: int, client: Client) -> None:
        pause(number * STAGGER_SECONDS)
        while not self._is_over.wait(self._pause_seconds):
            request = client.send(
                self._path, limit_ms=self._limit_ms, method=self._method
            )
            self.requests.append((node, request))
            self._is_over.wait(request.retry_after_seconds)
        client.close()
