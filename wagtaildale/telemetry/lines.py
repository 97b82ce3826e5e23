"""Reads the log back: lines of key=value pairs, as many processes wrote them.

Whatever stands before the first pair (a host, a time that a collector put
there) is passed over.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.telemetry.events import EventKind
from wagtaildale.types import InstanceId

if TYPE_CHECKING:
    from collections.abc import Iterable

FIRST_KEY: Final = 'at_ms='
PAIR: Final = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)(?:\s|$)')
ESCAPED: Final = re.compile(r'\\(.)')
# What a line has of its own; the rest is what decided the event.
OWN_KEYS: Final = frozenset(
    (
        'at_ms',
        'node',
        'incarnation',
        'kind',
        'request',
        'code',
        'version',
        'subject',
        'detail',
        'left_out',
    ),
)


class LogLine(Struct, frozen=True, kw_only=True):
    """One event as the log has it.

    Attributes:
        at_ms: milliseconds of the hybrid clock.
        node: that wrote it.
        incarnation: of its process.
        kind: what happened.
        request: id of the request, if it is about one.
        code: numbered result code; 0 where nothing is wrong.
        version: of configuration or list that it is about.
        subject: class, peer or service.
        detail: anything more.
        left_out: lines that were not written before this one.
        inputs: what decided it.
    """

    at_ms: int
    node: InstanceId
    kind: EventKind
    incarnation: int = 0
    request: str = ''
    code: int = 0
    version: int = 0
    subject: str = ''
    detail: str = ''
    left_out: int = 0
    inputs: dict[str, str] = {}


class LogReading(Struct, kw_only=True):
    """Lines that were read, and what was passed over.

    Attributes:
        lines: in the order of the files.
        torn: lines that begin as one of the log and cannot be read.
        foreign: lines of other programs.
    """

    lines: list[LogLine] = []
    torn: int = 0
    foreign: int = 0


def read_lines(texts: Iterable[str]) -> LogReading:
    """Read the log of one or many processes.

    Args:
        texts: lines, those of other programs among them.

    Returns:
        What could be read, and counts of the rest.
    """
    reading = LogReading()
    for text in texts:
        start = text.find(FIRST_KEY)
        if start < 0:
            reading.foreign += bool(text.strip())
            continue
        line = _read_line(text[start:])
        if line is None:
            reading.torn += 1
        else:
            reading.lines.append(line)
    return reading


def _read_line(text: str) -> LogLine | None:
    pairs = {key: _unquote(found) for key, found in PAIR.findall(text)}
    try:
        return LogLine(
            at_ms=int(pairs['at_ms']),
            node=InstanceId(pairs['node']),
            kind=EventKind(pairs['kind']),
            incarnation=int(pairs.get('incarnation', 0)),
            request=pairs.get('request', ''),
            code=int(pairs.get('code', 0)),
            version=int(pairs.get('version', 0)),
            subject=pairs.get('subject', ''),
            detail=pairs.get('detail', ''),
            left_out=int(pairs.get('left_out', 0)),
            inputs={
                key: found
                for key, found in pairs.items()
                if key not in OWN_KEYS
            },
        )
    except (KeyError, ValueError):
        # Torn, or of another version of this program: counted as such.
        return None


def _unquote(found: str) -> str:
    if not found.startswith('"'):
        return found
    return ESCAPED.sub(_unescape, found[1:-1])


def _unescape(match: re.Match[str]) -> str:
    return '\n' if match.group(1) == 'n' else match.group(1)
