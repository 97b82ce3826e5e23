"""From a request to its class of work.

Operators' own routes are path templates; a platform may also publish routes
by host and path prefix, of which the longest counts.

For templates a path is split at its slashes first and each segment decoded
after, once, at the entry: ``%2F`` is never a slash, and no other node matches
the path again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final
from urllib.parse import unquote_to_bytes

from msgspec import Struct, field

from wagtaildale.configuration.model import Route, WorkClass
from wagtaildale.configuration.paths import (
    SegmentKind,
    classify_segment,
    split_template,
)
from wagtaildale.routing.splits import Split
from wagtaildale.types import ServiceName

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from wagtaildale.configuration.validation import Configuration


# Attempts beyond the first where a route does not say.
RETRIES_MOST: Final = 3
DOT_SEGMENTS: Final = frozenset(('.', '..'))


class RouteMatch(Struct, frozen=True, kw_only=True):
    """The class of a request.

    Attributes:
        service: whose class it is.
        work_class: the class.
        template: the path template or prefix that matched.
        retries: attempts beyond the first that a request may make.
        split: divides its requests among services; nothing if all go to
            one.
    """

    service: ServiceName
    work_class: WorkClass
    template: str
    retries: int = RETRIES_MOST
    split: Split | None = None

    def choose_service(self) -> ServiceName:
        """Choose the service that the next request goes to.

        Returns:
            Its name.
        """
        return self.service if self.split is None else self.split.choose()


class _Branch(Struct, kw_only=True):
    """One level of the tree of templates.

    Attributes:
        literal: by segment, what follows.
        one: what follows any one segment.
        rest: matches that take all segments that are left, by method.
        ends: matches that end here, by method.
    """

    literal: dict[str, _Branch] = field(default_factory=dict)
    one: _Branch | None = None
    rest: dict[str, RouteMatch] = field(default_factory=dict)
    ends: dict[str, RouteMatch] = field(default_factory=dict)


class RoutingTable:
    """All routes of one version, ready for look-ups; never changed."""

    def __init__(self, configuration: Configuration) -> None:
        """Build the tree.

        Args:
            configuration: checked as a whole.
        """
        self._root = _Branch()
        self._hosts: dict[str, dict[str, RouteMatch]] = {}
        self._matches: list[RouteMatch] = []
        classes = {
            (part.service, work_class.name): work_class
            for part in configuration.parts.values()
            for work_class in part.classes
        }
        for part in configuration.parts.values():
            for route in part.routes:
                work_class = classes[(route.service, route.work_class)]
                self._add(route, _build_match(route, work_class))

    def find(
        self,
        method: str,
        path: str,
        *,
        host: str = '',
    ) -> RouteMatch | None:
        """Find the class of a request.

        The longest prefix of the request's host counts. Among templates a
        literal segment goes before ``{name}``, and that before ``{name*}``.

        Args:
            method: HTTP method.
            path: path as it came, percent-encoded, without the query.
            host: as the request names it, perhaps with a port.

        Returns:
            The match, or nothing.
        """
        prefixes = self._hosts.get(host.partition(':')[0].lower())
        if prefixes is not None:
            return _find_longest(prefixes, path)
        segments = split_path(path)
        if segments is None:
            return None
        match = _search(self._root, segments, method)
        if match is None and method == 'HEAD':
            # Whoever answers GET answers HEAD, unless a class says else.
            return _search(self._root, segments, 'GET')
        return match

    def list_matches(self) -> tuple[RouteMatch, ...]:
        """List what requests can match.

        Returns:
            One for each route.
        """
        return tuple(self._matches)

    def _add(self, route: Route, match: RouteMatch) -> None:
        self._matches.append(match)
        if route.host:
            prefixes = self._hosts.setdefault(route.host, {})
            prefixes[route.path] = match
            return
        branch = self._root
        for segment in split_template(route.path):
            kind = classify_segment(segment)
            if kind is SegmentKind.rest:
                branch.rest.update(dict.fromkeys(route.methods, match))
                return
            branch = _descend(branch, segment, kind)
        branch.ends.update(dict.fromkeys(route.methods, match))


def split_path(path: str) -> list[str] | None:
    """Split a request's path and decode its segments.

    Args:
        path: as it came, without the query.

    Returns:
        Segments, or nothing for a path that is not plain: no leading
        slash, a dot segment, or bytes that are no UTF-8.
    """
    if not path.startswith('/'):
        return None
    raw = path[1:].split('/')
    try:
        segments = _decode(raw) if '%' in path else raw
    except UnicodeDecodeError:
        return None
    return None if DOT_SEGMENTS.intersection(segments) else segments


def _decode(raw: list[str]) -> list[str]:
    return [unquote_to_bytes(segment).decode() for segment in raw]


def _find_longest(
    prefixes: Mapping[str, RouteMatch],
    path: str,
) -> RouteMatch | None:
    # Prefixes end with a slash, so only the path up to one of its slashes
    # can be one.
    end = path.rfind('/')
    while end >= 0:
        match = prefixes.get(path[: end + 1])
        if match is not None:
            return match
        end = path.rfind('/', 0, end)
    return None


def _build_match(route: Route, work_class: WorkClass) -> RouteMatch:
    return RouteMatch(
        service=route.service,
        work_class=work_class,
        template=route.path,
        retries=route.attempts - 1 if route.attempts else RETRIES_MOST,
        split=Split(route.split) if route.split else None,
    )


def _descend(branch: _Branch, segment: str, kind: SegmentKind) -> _Branch:
    if kind is SegmentKind.literal:
        return branch.literal.setdefault(segment, _Branch())
    if branch.one is None:
        branch.one = _Branch()
    return branch.one


def _search(
    branch: _Branch,
    segments: Sequence[str],
    method: str,
) -> RouteMatch | None:
    if not segments:
        return branch.ends.get(method)
    following = segments[1:]
    literal = branch.literal.get(segments[0])
    if literal is not None:
        match = _search(literal, following, method)
        if match is not None:
            return match
    if branch.one is not None and segments[0]:
        match = _search(branch.one, following, method)
        if match is not None:
            return match
    return branch.rest.get(method)
