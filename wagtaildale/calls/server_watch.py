"""Whether the backend server beside a node is up.

Failure guarded here: a server ends, and every entry finds that out by itself,
again and again, by requests that its port refuses. The owner knows within
milliseconds; it looks by itself when the server is back.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.calls.knock import Knock, Knocked
from wagtaildale.telemetry.events import EventKind
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.calls.addresses import Address
    from wagtaildale.reactor.loop import Loop
    from wagtaildale.telemetry.events import EventRecorder

# A server takes seconds to start; each try costs it a connection.
KNOCK_SECONDS: Final = 0.25
# A server that is not back by then takes seconds.
QUICK_SECONDS: Final = 0.5
MILLISECONDS: Final = 1000


class ServerWatch:
    """Knows whether the server takes connections.

    Attributes:
        is_up: whether it does, as far as is known.
        changed_at: since when, seconds on the clock.
        listeners: are told, when it changes and with each try in between.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        *,
        recorder: EventRecorder,
    ) -> None:
        """Begin with a server that is taken to be up.

        Args:
            loop: carries connections to it.
            address: of the server.
            recorder: gets an event when it goes down, and is up again.
        """
        self.is_up = True
        self.changed_at = read_clock()
        self.listeners: list[Callable[[], None]] = []
        self._waiting: list[Callable[[], None]] = []
        self._loop = loop
        self._address = address
        self._recorder = recorder

    @property
    def up_seconds(self) -> float:
        """For how long the server has been up; 0 while it is down."""
        return read_clock() - self.changed_at if self.is_up else 0

    def wait_up(self, on_over: Callable[[], None]) -> None:
        """Wait for a server that may be back in a moment.

        Args:
            on_over: is told when it is up, or is not back soon; perhaps
                before this returns.
        """
        if self.is_up or read_clock() - self.changed_at >= QUICK_SECONDS:
            on_over()
        else:
            self._waiting.append(on_over)

    def note_down(self) -> None:
        """Learn that the server takes no connection."""
        if self.is_up:
            self._change(is_up=False)
            self._recorder.record(EventKind.server_down)
            self._wait()

    def note_up(self) -> None:
        """Learn that the server has taken a connection."""
        if not self.is_up:
            since = self.changed_at
            self._change(is_up=True)
            down = read_clock() - since
            self._recorder.record(
                EventKind.server_up,
                inputs={'down_ms': round(down * MILLISECONDS)},
            )

    def _change(self, *, is_up: bool) -> None:
        self.is_up = is_up
        self.changed_at = read_clock()
        self._tell()
        if is_up:
            self._end_waiting()

    def _end_waiting(self) -> None:
        waiting = self._waiting
        self._waiting = []
        for tell in waiting:
            tell()

    def _tell(self) -> None:
        for tell in self.listeners:
            tell()

    def _wait(self) -> None:
        self._loop.alarms.set(KNOCK_SECONDS, self._knock)

    def _knock(self) -> None:
        if not self.is_up:
            Knock(self._loop, self._address, on_word=self._take_knock)

    def _take_knock(self, word: Knocked) -> None:
        if word is Knocked.opened:
            self.note_up()
        elif not self.is_up:
            # Word of it may have been lost, or an entry is new.
            self._tell()
            self._wait()
            if read_clock() - self.changed_at >= QUICK_SECONDS:
                self._end_waiting()
