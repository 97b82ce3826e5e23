"""Event log: one line of key=value pairs for each event.

The project's style requires python-json-logger; its ``json_serializer`` hook
writes the fields as key=value pairs instead of JSON. A separate thread writes
the lines from a bounded buffer to standard output, so a thread that records
an event never waits for the reader of the log.
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
# Limits are set for each kind and lie above the rate at a node's usual load
# (about 150 calls per second), so a burst of one kind does not displace lines
# of other kinds.
LINES_PER_SECOND: Final = 50
CALL_LINES_PER_SECOND: Final = 200
CALL_KINDS: Final = MappingProxyType(
    dict.fromkeys(
        (
            EventKind.call_answered,
            EventKind.call_failed,
            EventKind.call_refused,
            EventKind.run_ended,
        ),
        CALL_LINES_PER_SECOND,
    ),
)
# Holds several seconds of lines while the reader of standard output is slow.
MAX_BUFFERED_LINES: Final = 4096
# Delay before a batch is written; lines of this time are lost if the process
# is killed.
BATCH_DELAY_SECONDS: Final = 0.05
MAX_BATCH_LINES: Final = 256
STANDARD_OUTPUT: Final = 1
# Time for writing the last lines when the process ends.
CLOSE_SECONDS: Final = 0.3
UNQUOTED: Final = re.compile(r'^[\w.:/+@-]+$')


def write_pairs(fields: Mapping[str, object], **_options: object) -> str:
    """Write fields as key=value pairs on one line.

    Args:
        fields: fields of the log record.
        _options: JSON options of python-json-logger, which are ignored.

    Returns:
        Pairs separated by spaces, without empty fields.

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
    """Create the log of the process, which goes to standard output.

    Args:
        level: name of the lowest level that is written.

    Returns:
        Sink for an ``EventRecorder``.
    """
    return EventLog(_write_stdout, level=level)


class EventLog:
    """Writes events through a bounded buffer.

    Two overloads are limited. When half of the fleet fails at once, writing
    thousands of events per second would cost more than handling the calls, so
    each kind has a rate limit; lines above it are dropped and counted, and
    the next line contains the count. When the reader of standard output stops
    reading, every thread that logs would block; here only the writing thread
    waits, and events that do not fit in the buffer are dropped and counted in
    the same way.
    """

    def __init__(
        self,
        sink: Callable[[bytes], None],
        *,
        level: str = 'info',
    ) -> None:
        """Create a log that buffers lines until ``start``.

        Args:
            sink: function that writes complete lines; it may block.
            level: name of the lowest level that is written.
        """
        self._sink = sink
        self._min_level = logging.getLevelNamesMapping()[level.upper()]
        self._formatter = JsonFormatter(json_serializer=write_pairs)
        self._second = 0
        self._counts: Counter[EventKind] = Counter()
        self._left_out = 0
        self._lines: deque[Event] = deque()
        self._wake = threading.Event()
        self._closing = False
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __call__(self, event: Event) -> None:
        """Add an event to the buffer, or count it as dropped; never blocks.

        Args:
            event: event to write.
        """
        if find_level(event) < self._min_level:
            return
        if len(self._lines) >= MAX_BUFFERED_LINES or not self._is_within_rate(
            event
        ):
            self._left_out += 1
            return
        self._lines.append(event)
        if not self._wake.is_set():
            self._wake.set()

    def start(self) -> None:
        """Start the thread that writes the lines."""
        self._thread.start()

    @property
    def left_out(self) -> int:
        """Number of events dropped since the last line was written."""
        return self._left_out

    def close(self) -> None:
        """Write the buffered lines, for at most ``CLOSE_SECONDS``."""
        self._closing = True
        self._wake.set()
        self._thread.join(CLOSE_SECONDS)

    def _run(self) -> None:
        while not self._closing:
            self._wake.wait()
            # Writes lines in batches: otherwise this thread would wake for
            # every call.
            time.sleep(BATCH_DELAY_SECONDS)
            self._wake.clear()
            while self._lines:
                self._sink(self._write_lines())

    def _write_lines(self) -> bytes:
        lines: list[str] = []
        while self._lines and len(lines) < MAX_BATCH_LINES:
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
            self._counts.clear()
        self._counts[event.kind] += 1
        limit = CALL_KINDS.get(event.kind, LINES_PER_SECOND)
        return self._counts[event.kind] <= limit


def find_level(event: Event) -> int:
    """Find the log level of an event.

    Args:
        event: event to write.

    Returns:
        Number of the level: warning if the event has a result code, otherwise
        info.
    """
    return logging.WARNING if event.code else logging.INFO


def _write_stdout(lines: bytes) -> None:
    unwritten = memoryview(lines)
    while unwritten:
        unwritten = unwritten[os.write(STANDARD_OUTPUT, unwritten) :]


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
    if UNQUOTED.match(text):
        return text
    escaped = text.replace('\\', r'\\').replace('"', r'\"')
    return '"{0}"'.format(escaped.replace('\n', r'\n'))
