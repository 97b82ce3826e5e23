"""Writes a timeline of events as one self-contained HTML page with a plot.

Each node has a lane, and each event is a mark whose colour shows its group.
The page loads no scripts or other files, so it can be opened offline.
"""

from __future__ import annotations

from html import escape
from typing import TYPE_CHECKING, Final

from wagtaildale.telemetry.clock import read_milliseconds
from wagtaildale.telemetry.events import EventKind

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wagtaildale.telemetry.events import Event

LANE_PX: Final = 22
LEFT_PX: Final = 150
WIDTH_PX: Final = 1100
RIGHT_PX: Final = 80
TOP_PX: Final = 30
TICKS: Final = 8
RADIUS_PX: Final = 4
FAULT_COLOUR: Final = '#c62828'
VERSION_COLOUR: Final = '#1565c0'
FLEET_COLOUR: Final = '#ef6c00'
OTHER_COLOUR: Final = '#607d8b'
VERSION_KINDS: Final = frozenset(
    (
        EventKind.version_applied,
        EventKind.instances_applied,
    ),
)
FAULT_KINDS: Final = frozenset(
    (
        EventKind.peer_suspected,
        EventKind.peer_dead,
        EventKind.woke_late,
        EventKind.source_failed,
    ),
)
STYLE: Final = """
body { font: 14px sans-serif; margin: 2em; color: #222; }
svg text { font-size: 11px; fill: #444; }
table { border-collapse: collapse; margin-top: 1em; }
td, th { padding: 2px 10px; text-align: left; font-size: 13px; }
tr:nth-child(even) { background: #f4f4f4; }
.key span { display: inline-block; width: 10px; height: 10px;
  border-radius: 5px; margin: 0 4px 0 14px; }
"""
PAGE: Final = """<!doctype html>
<html lang="en"><head><meta charset="utf-8">
<title>wagtaildale time line</title><style>{style}</style></head><body>
<h1>Time line of {count} events</h1>
<p class="key">{key}</p>
{plot}
<table><tr><th>ms</th><th>node</th><th>kind</th><th>code</th>
<th>about</th></tr>
{rows}
</table></body></html>
"""


def write_page(events: Sequence[Event]) -> str:
    """Write the page.

    Args:
        events: events in causal order.

    Returns:
        HTML text of the page.
    """
    return PAGE.format(
        style=STYLE,
        count=len(events),
        key=_write_key(),
        plot=_write_plot(events),
        rows='\n'.join(_write_row(event) for event in events),
    )


def _write_key() -> str:
    meanings = (
        (VERSION_COLOUR, 'a version came into force'),
        (FLEET_COLOUR, 'a node came or left'),
        (FAULT_COLOUR, 'a fault or suspicion'),
        (OTHER_COLOUR, 'anything else'),
    )
    return ''.join(
        f'<span style="background:{colour}"></span>{meaning}'
        for colour, meaning in meanings
    )


def _write_plot(events: Sequence[Event]) -> str:
    if not events:
        return '<p>No events.</p>'
    nodes = sorted({event.node for event in events})
    height = TOP_PX + LANE_PX * (len(nodes) + 1)
    first, span = _find_span(events)
    lanes = _write_lanes(nodes)
    marks = [
        _write_mark(event, first, span, nodes.index(event.node))
        for event in events
    ]
    head = (
        f'<svg width="{LEFT_PX + WIDTH_PX + RIGHT_PX}" height="{height}" '
        'role="img">'
    )
    return ''.join((head, _write_scale(span, height), lanes, *marks, '</svg>'))


def _find_span(events: Sequence[Event]) -> tuple[int, int]:
    first = read_milliseconds(events[0].stamp)
    return first, max(1, read_milliseconds(events[-1].stamp) - first)


def _write_scale(span: int, height: int) -> str:
    ticks = []
    for number in range(TICKS + 1):
        place = LEFT_PX + WIDTH_PX * number // TICKS
        label = f'{span * number // TICKS} ms'
        ticks.append(
            f'<line x1="{place}" y1="{TOP_PX}" x2="{place}" y2="{height}" '
            f'stroke="#eee"/><text x="{place}" y="{TOP_PX - RADIUS_PX}">'
            f'{label}</text>',
        )
    return ''.join(ticks)


def _write_lanes(nodes: Sequence[str]) -> str:
    return ''.join(
        _write_lane(name, TOP_PX + LANE_PX * (number + 1))
        for number, name in enumerate(nodes)
    )


def _write_lane(name: str, place: int) -> str:
    return (
        f'<text x="0" y="{place + RADIUS_PX}">{escape(name)}</text>'
        f'<line x1="{LEFT_PX}" y1="{place}" x2="{LEFT_PX + WIDTH_PX}" '
        f'y2="{place}" stroke="#ccc"/>'
    )


def _write_mark(event: Event, first: int, span: int, lane: int) -> str:
    elapsed = read_milliseconds(event.stamp) - first
    place = LEFT_PX + WIDTH_PX * elapsed // span
    height = TOP_PX + LANE_PX * (lane + 1)
    title = escape(f'{event.kind.value} {_describe(event)}')
    return (
        f'<circle cx="{place}" cy="{height}" r="{RADIUS_PX}" '
        f'fill="{_find_colour(event)}"><title>{title}</title></circle>'
    )


def _find_colour(event: Event) -> str:
    if event.code or event.kind in FAULT_KINDS:
        return FAULT_COLOUR
    if event.kind in VERSION_KINDS:
        return VERSION_COLOUR
    if event.kind.value.startswith(('peer-', 'node-')):
        return FLEET_COLOUR
    return OTHER_COLOUR


def _write_row(event: Event) -> str:
    cells = (
        str(read_milliseconds(event.stamp)),
        event.node,
        event.kind.value,
        str(event.code or ''),
        _describe(event),
    )
    return '<tr><td>{0}</td></tr>'.format(
        '</td><td>'.join(escape(cell) for cell in cells),
    )


def _describe(event: Event) -> str:
    version = f'version {event.version}' if event.version else ''
    texts = (version, event.subject, event.detail)
    return ' '.join(text for text in texts if text)
