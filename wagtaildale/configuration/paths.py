"""Path templates: their segments, and the comparison of two templates."""

from __future__ import annotations

from enum import Enum
from typing import final


@final
class SegmentKind(Enum):
    """What one segment of a path template matches."""

    literal = 'literal'
    one = 'one'
    rest = 'rest'


def classify_segment(segment: str) -> SegmentKind:
    """Find what a segment of a path template matches.

    Args:
        segment: text between two slashes.

    Returns:
        Kind of the segment.
    """
    if not segment.startswith('{'):
        return SegmentKind.literal
    if segment.endswith('*}'):
        return SegmentKind.rest
    return SegmentKind.one


def split_template(path: str) -> tuple[str, ...]:
    """Split a template at its slashes.

    Args:
        path: path template, which starts with a slash.

    Returns:
        Segments of the template; one empty segment for ``/``.
    """
    return tuple(path[1:].split('/'))


def normalise_template(path: str) -> str:
    """Normalise a template: equivalent templates become equal texts.

    Args:
        path: path template.

    Returns:
        The template without the names of its parameters.

    Example:
        >>> normalise_template('/claims/{claim}/photos')
        '/claims/{}/photos'
    """
    placeholders = {SegmentKind.one: '{}', SegmentKind.rest: '{*}'}
    return ''.join(
        '/' + placeholders.get(classify_segment(segment), segment)
        for segment in split_template(path)
    )


def is_rest_last(path: str) -> bool:
    """Check that ``{name*}`` is used only as the last segment.

    Args:
        path: path template.

    Returns:
        Whether the template is valid in this respect.
    """
    return all(
        classify_segment(segment) is not SegmentKind.rest
        for segment in split_template(path)[:-1]
    )
