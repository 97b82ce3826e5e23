"""HTTP endpoint that reports whether this node accepts callers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.calls.http.responses import ResponseHead
from wagtaildale.types import NodeState

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.calls.http.exchanges import Exchange

READY_PATH: Final = b'/ready'
READY_STATUS: Final = 200
UNREADY_STATUS: Final = 503
NOT_FOUND_STATUS: Final = 404


class ReadinessHandler:
    """Answers ``GET /ready``; a ``RequestHandler``.

    It runs in the event loop that carries the calls, so that a node whose calls
    are stuck does not report that it is ready.
    """

    def __init__(self, read_state: Callable[[], NodeState]) -> None:
        """Create a handler that reads the state for each request.

        Args:
            read_state: returns the state of the node.
        """
        self._read_state = read_state

    def handle_request(self, exchange: Exchange) -> None:
        """Answer one request; see ``RequestHandler``.

        Args:
            exchange: exchange with the request.
        """
        state = self._read_state()
        status = UNREADY_STATUS
        if exchange.message.target.partition(b'?')[0] != READY_PATH:
            status = NOT_FOUND_STATUS
        elif state is NodeState.ready:
            status = READY_STATUS
        headers = ((b'content-type', b'text/plain'),)
        head = ResponseHead(status=status, headers=headers)
        exchange.begin_response(head, body=state.value.encode())
