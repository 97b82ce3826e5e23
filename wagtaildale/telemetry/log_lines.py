"""Parses lines of the event log, written by one process or by many.

Text before the first key=value pair, such as a host name or a time that a log
collector adds, is skipped.
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
# Keys that every event may have; all other keys of a line are its inputs.
EVENT_KEYS: Final = frozenset(
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
    """One event as written in the log.

    Attributes:
        at_ms: wall-clock part of the event's stamp, milliseconds.
        node: node that wrote the line.
        incarnation: incarnation of the node's process.
        kind: kind of the event.
        request: id of the request concerned, if any.
        code: numbered result code; 0 if nothing is wrong.
        version: version of the configuration or the list concerned.
        subject: class, peer or service concerned.
        detail: further information for readers.
        left_out: number of lines dropped just before this one.
        inputs: values that the decision was based on.
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


class ParsedLog(Struct, kw_only=True):
    """Parsed lines, with counts of those that could not be parsed.

    Attributes:
        lines: parsed lines in the order of the input.
        torn: number of lines that begin like a log line but cannot be parsed.
        foreign: number of lines of other programs.
    """

    lines: list[LogLine] = []
    torn: int = 0
    foreign: int = 0


def read_lines(texts: Iterable[str]) -> ParsedLog:
    """Parse the log of one or more processes.

    Args:
        texts: lines of text; lines of other programs may be among them.

    Returns:
        Parsed lines, and counts of the others.
    """
    parsed_log = ParsedLog()
    for text in texts:
        line_start = text.find(FIRST_KEY)
        if line_start < 0:
            parsed_log.foreign += bool(text.strip())
            continue
        line = _read_line(text[line_start:])
        if line is None:
            parsed_log.torn += 1
        else:
            parsed_log.lines.append(line)
    return parsed_log


def _read_line(text: str) -> LogLine | None:
    pairs = {key: _unquote(matched) for key, matched in PAIR.findall(text)}
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
                key: matched
                for key, matched in pairs.items()
                if key not in EVENT_KEYS
            },
        )
    except (KeyError, ValueError):
        # The line is cut off, or another version of this program wrote it.
        return None


def _unquote(matched: str) -> str:
    if not matched.startswith('"'):
        return matched
    return ESCAPED.sub(_unescape, matched[1:-1])


def _unescape(match: re.Match[str]) -> str:
    return '\n' if match.group(1) == 'n' else match.group(1)
