"""A loop that a test steps by hand.

The actions of the other side then always take effect before the loop polls.
"""

from __future__ import annotations

import select
from typing import TYPE_CHECKING, Final

from wagtaildale.calls.tests.pairs import wait_until
from wagtaildale.reactor.loop import Loop

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

STEP_SECONDS: Final = 0.01


class ManualLoop:
    """Owns a loop and steps it until a condition holds."""

    def __init__(self) -> None:
        self.defects: list[BaseException] = []
        self.loop = Loop(
            on_defect=self.defects.append,
            on_late=lambda _seconds: None,
        )

    def step_until(self, condition: Callable[[], bool]) -> None:
        wait_until(lambda: self._step(condition))

    def _step(self, condition: Callable[[], bool]) -> bool:
        if condition():
            return True
        self.loop.step(STEP_SECONDS)
        return condition()


def is_readable(sock: socket.socket) -> bool:
    return bool(select.select([sock], [], [], 0)[0])
