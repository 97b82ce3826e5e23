"""The log: one line of key=value pairs for each event.

The house style asks for python-json-logger; its ``json_serializer`` hook
writes the fields as key=value pairs in place of JSON.
"""

from __future__ import annotations

import logging
import re
import sys
from typing import TYPE_CHECKING, Final

from pythonjsonlogger.json import JsonFormatter

from wagtaildale.telemetry.clock import read_milliseconds

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from wagtaildale.telemetry.events import Event

LOGGER_NAME: Final = 'wagtaildale'
MILLISECONDS_PER_SECOND: Final = 1000
LINES_PER_SECOND: Final = 50
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


def open_log(*, level: str) -> Callable[[Event], None]:
    """Open the process's log on standard error.

    Args:
        level: name of the lowest level that is written.

    Returns:
        A sink for an ``EventRecorder``.
    """
    stream = logging.StreamHandler(sys.stderr)
    stream.setFormatter(JsonFormatter(json_serializer=write_pairs))
    logger = logging.getLogger(LOGGER_NAME)
    logger.handlers = [stream]
    logger.setLevel(level.upper())
    logger.propagate = False
    return EventLog(logger).write


class EventLog:
    """Writes events, at most ``LINES_PER_SECOND`` of them.

    In a storm (half the fleet gone at once) thousands of events a second
    would cost more than the work itself; the lines over the rate are
    counted and the count is written with the next line that passes.
    """

    def __init__(self, logger: logging.Logger) -> None:
        """Write through a logger.

        Args:
            logger: takes the lines.
        """
        self._logger = logger
        self._second = 0
        self._written = 0
        self._left_out = 0

    def write(self, event: Event) -> None:
        """Write one event, or count it as left out.

        Args:
            event: what happened.
        """
        milliseconds = read_milliseconds(event.stamp)
        if not self._take_line(milliseconds // MILLISECONDS_PER_SECOND):
            self._left_out += 1
            return
        fields = {
            'at_ms': milliseconds,
            'node': event.node,
            'incarnation': event.incarnation,
            'kind': event.kind.value,
            'code': event.code,
            'version': event.version,
            'subject': event.subject,
            'detail': event.detail,
            'left_out': self._left_out,
        }
        self._left_out = 0
        level = logging.WARNING if event.code else logging.INFO
        self._logger.log(level, '', extra=fields)

    def _take_line(self, second: int) -> bool:
        if second != self._second:
            self._second = second
            self._written = 0
        self._written += 1
        return self._written <= LINES_PER_SECOND


def _quote(text: str) -> str:
    if PLAIN.match(text):
        return text
    escaped = text.replace('\\', r'\\').replace('"', r'\"')
    return '"{0}"'.format(escaped.replace('\n', r'\n'))
