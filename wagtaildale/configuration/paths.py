"""Path templates: their segments, and when two of them are the same."""

from __future__ import annotations

from enum import Enum
from typing import final


@final
class SegmentKind(Enum):
    """What one segment of a template matches."""

    literal = 'literal'
    one = 'one'
    rest = 'rest'


def classify_segment(segment: str) -> SegmentKind:
    """Tell what a segment of a template matches.

    Args:
        segment: text between two slashes.

    Returns:
        Its kind.
    """
    if not segment.startswith('{'):
        return SegmentKind.literal
    if segment.endswith('*}'):
        return SegmentKind.rest
    return SegmentKind.one


def split_template(path: str) -> tuple[str, ...]:
    """Split a template at its slashes.

    Args:
        path: template that starts with a slash.

    Returns:
        Its segments; one empty segment for ``/``.
    """
    return tuple(path[1:].split('/'))


def normalise_template(path: str) -> str:
    """Give the form in which equal templates are the same text.

    Args:
        path: template.

    Returns:
        The template with the names of its parameters taken out.

    Example:
        >>> normalise_template('/claims/{claim}/photos')
        '/claims/{}/photos'
    """
    marks = {SegmentKind.one: '{}', SegmentKind.rest: '{*}'}
    return ''.join(
        '/' + marks.get(classify_segment(segment), segment)
        for segment in split_template(path)
    )


def is_rest_last(path: str) -> bool:
    """Check that ``{name*}`` stands only at the end.

    Args:
        path: template.

    Returns:
        Whether the template can be matched.
    """
    return all(
        classify_segment(segment) is not SegmentKind.rest
        for segment in split_template(path)[:-1]
    )
