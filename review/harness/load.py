"""Clients that send requests to all nodes of a fleet until they are stopped."""

from __future__ import annotations

import threading
from dataclasses import dataclass
from itertools import product
from typing import Final

from harness.clients import CUT, Client, Request
from harness.fleet import Fleet
from harness.nodes import Node, pause

PAUSE_SECONDS: Final = 0.05


@dataclass(frozen=True)
class Traffic:
    """What the clients of each node send.

    Attributes:
        clients: clients of a node, each with one request at a time.
        spread_seconds: time in which they begin one after the other.
        method: HTTP method.
        path: path of the requests.
        limit_ms: time limit of a request, milliseconds.
    """

    clients: int
    spread_seconds: float
    method: str
    path: str
    limit_ms: int


class Load:
    """Clients of all nodes, each with a connection that is kept."""

    def __init__(self, fleet: Fleet, traffic: Traffic) -> None:
        self.requests: list[tuple[Node, Request]] = []
        self._traffic = traffic
        self._is_over = threading.Event()
        self._threads = [
            threading.Thread(
                target=self._call,
                args=(node, number, Client(node.outbound, record=fleet.record)),
                daemon=True,
            )
            for node, number in product(fleet.nodes, range(traffic.clients))
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
        traffic = self._traffic
        pause(number * traffic.spread_seconds / traffic.clients)
        while not self._is_over.wait(PAUSE_SECONDS):
            request = client.send(
                traffic.path, limit_ms=traffic.limit_ms, method=traffic.method
            )
            self.requests.append((node, request))
            self._is_over.wait(request.retry_after_seconds)
        client.close()
