"""The log: one line of key=value pairs for each event.

The house style asks for python-json-logger; its ``json_serializer`` hook
writes the fields as key=value pairs in place of JSON. Lines go to standard
output from a thread of their own, behind a bounded buffer: whoever records
an event never waits for whoever reads the log.
"""

from __future__ import annotations

import logging
import os
import re
import threading
import time
from collections import Counter, deque
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from pythonjsonlogger.json import JsonFormatter

from wagtaildale.telemetry.clock import read_milliseconds
from wagtaildale.telemetry.events import EventKind

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from wagtaildale.telemetry.events import Event

MILLISECONDS_PER_SECOND: Final = 1000
# Lines a second of each kind: more than a node has at its usual load (about
# 150 calls a second), so that a storm of one kind leaves the others be.
LINES_PER_SECOND: Final = 50
LINES_OF_CALLS: Final = 200
CALL_KINDS: Final = MappingProxyType(
    dict.fromkeys(
        (
            EventKind.call_answered,
            EventKind.call_failed,
            EventKind.call_refused,
            EventKind.run_ended,
        ),
        LINES_OF_CALLS,
    ),
)
# Lines that wait for the reader of standard output: some seconds of them.
BUFFERED: Final = 4096
# A line is at most this late, and may be lost with a process that is killed.
GATHER_SECONDS: Final = 0.05
LINES_AT_ONCE: Final = 256
STANDARD_OUTPUT: Final = 1
# How long the last lines may take when the process ends.
CLOSE_SECONDS: Final = 0.3
PLAIN: Final = re.compile(r'^[\w.:/+@-]+$')


def write_pairs(fields: Mapping[str, object], **_options: object) -> str:
    """Write fields as key=value pairs on one line.

    Args:
        fields: what the log record holds.
        _options: what python-json-logger passes for JSON; of no use here.

    Returns:
        Pairs parted by blanks, empty fields left out.

    Example:
        >>> write_pairs({'kind': 'node-ready', 'detail': 'in 2 s'})
        'kind=node-ready detail="in 2 s"'
    """
    return ' '.join(
        f'{key}={_quote(str(field))}'
        for key, field in fields.items()
        if field not in {None, '', 0}
    )


def open_log(*, level: str) -> EventLog:
    """Open the process's log on standard output.

    Args:
        level: name of the lowest level that is written.

    Returns:
        A sink for an ``EventRecorder``.
    """
    return EventLog(_write_out, level=level)


class EventLog:
    """Writes events behind a bounded buffer.

    Failures guarded here: in a storm (half the fleet gone at once) thousands
    of events a second would cost more than the work itself, so each kind has
    a rate, and the lines over it are counted; the count is written with the
    next line. And a reader that stops reading standard output would stop
    every thread that logs; only the writer's own waits for it, and what does
    not fit the buffer is counted alike.
    """

    def __init__(
        self,
        sink: Callable[[bytes], None],
        *,
        level: str = 'info',
    ) -> None:
        """Write to a sink; lines wait until ``start``.

        Args:
            sink: takes whole lines; may take its time.
            level: name of the lowest level that is written.
        """
        self._sink = sink
        self._least = logging.getLevelNamesMapping()[level.upper()]
        self._formatter = JsonFormatter(json_serializer=write_pairs)
        self._second = 0
        self._taken: Counter[EventKind] = Counter()
        self._left_out = 0
        self._lines: deque[Event] = deque()
        self._wake = threading.Event()
        self._closing = False
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __call__(self, event: Event) -> None:
        """Take an event, or count it as left out; never waits.

        Args:
            event: what happened.
        """
        if find_level(event) < self._least:
            return
        if len(self._lines) >= BUFFERED or not self._is_within_rate(event):
            self._left_out += 1
            return
        self._lines.append(event)
        if not self._wake.is_set():
            self._wake.set()

    def start(self) -> None:
        """Write lines from now on."""
        self._thread.start()

    @property
    def left_out(self) -> int:
        """How many events were not written since the last line that was."""
        return self._left_out

    def close(self) -> None:
        """Write what waits, as far as that takes no longer than a moment."""
        self._closing = True
        self._wake.set()
        self._thread.join(CLOSE_SECONDS)

    def _run(self) -> None:
        while not self._closing:
            self._wake.wait()
            # A write for each line would wake this thread for each call.
            time.sleep(GATHER_SECONDS)
            self._wake.clear()
            while self._lines:
                self._sink(self._write_lines())

    def _write_lines(self) -> bytes:
        lines: list[str] = []
        while self._lines and len(lines) < LINES_AT_ONCE:
            event = self._lines.popleft()
            left_out = self._left_out
            self._left_out -= left_out
            fields = _list_fields(event, left_out)
            lines.append(self._formatter.jsonify_log_record(fields))
        return '\n'.join((*lines, '')).encode()

    def _is_within_rate(self, event: Event) -> bool:
        second = read_milliseconds(event.stamp) // MILLISECONDS_PER_SECOND
        if second != self._second:
            self._second = second
            self._taken.clear()
        self._taken[event.kind] += 1
        most = CALL_KINDS.get(event.kind, LINES_PER_SECOND)
        return self._taken[event.kind] <= most


def find_level(event: Event) -> int:
    """Find the level of an event.

    Args:
        event: what happened.

    Returns:
        The level's number: a warning where something is wrong.
    """
    return logging.WARNING if event.code else logging.INFO


def _write_out(lines: bytes) -> None:
    rest = memoryview(lines)
    while rest:
        rest = rest[os.write(STANDARD_OUTPUT, rest) :]


def _list_fields(event: Event, left_out: int) -> dict[str, object]:
    return {
        'at_ms': read_milliseconds(event.stamp),
        'node': event.node,
        'incarnation': event.incarnation,
        'kind': event.kind.value,
        'request': event.request,
        'code': event.code,
        'version': event.version,
        'subject': event.subject,
        **event.inputs,
        'detail': event.detail,
        'left_out': left_out,
    }


def _quote(text: str) -> str:
    if PLAIN.match(text):
        return text
    escaped = text.replace('\\', r'\\').replace('"', r'\"')
    return '"{0}"'.format(escaped.replace('\n', r'\n'))
