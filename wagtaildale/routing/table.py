"""Finds the route and class of work of a request.

Operators write routes as path templates; a platform may also publish routes
by host and path prefix, of which the longest match is used.

To match templates, a path is split at its slashes first and each segment is
decoded afterwards, once, at the entry: ``%2F`` is never a separator, and no
other node matches the path again.
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


# Retries of a request whose route sets no number of attempts.
DEFAULT_RETRIES: Final = 3
DOT_SEGMENTS: Final = frozenset(('.', '..'))


class RouteMatch(Struct, frozen=True, kw_only=True):
    """The route and class that a request matches.

    Attributes:
        service: service that the class belongs to.
        work_class: class of work.
        template: path template or prefix that matched.
        retries: number of attempts allowed after the first.
        split: weighted split of the requests among services; nothing if all
            go to ``service``.
    """

    service: ServiceName
    work_class: WorkClass
    template: str
    retries: int = DEFAULT_RETRIES
    split: Split | None = None

    def choose_service(self) -> ServiceName:
        """Choose the service that the next request goes to.

        Returns:
            Name of the service.
        """
        return self.service if self.split is None else self.split.choose()


class _TemplateNode(Struct, kw_only=True):
    """Node of the tree of path templates.

    Attributes:
        literal: child for each literal segment.
        any_segment: child for ``{name}``, which matches any single segment.
        rest: matches of ``{name*}``, which takes all remaining segments, by
            HTTP method.
        matches_here: matches of templates that end at this node, by HTTP
            method.
    """

    literal: dict[str, _TemplateNode] = field(default_factory=dict)
    any_segment: _TemplateNode | None = None
    rest: dict[str, RouteMatch] = field(default_factory=dict)
    matches_here: dict[str, RouteMatch] = field(default_factory=dict)


class RoutingTable:
    """Immutable index of all routes of one configuration version."""

    def __init__(self, configuration: Configuration) -> None:
        """Build the index.

        Args:
            configuration: validated configuration.
        """
        self._root = _TemplateNode()
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
        """Find the route of a request.

        If the host has prefix routes, the longest matching prefix is used,
        whatever the method, and path templates are not tried. Among templates
        a literal segment takes precedence over ``{name}``, and that over
        ``{name*}``.

        Args:
            method: HTTP method; ignored for prefix routes.
            path: percent-encoded path as received, without the query.
            host: value of the ``Host`` header, with or without a port.

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
            # A GET route also serves HEAD, unless HEAD has a route itself.
            return _search(self._root, segments, 'GET')
        return match

    def list_matches(self) -> tuple[RouteMatch, ...]:
        """List the matches of all routes.

        Returns:
            One match for each route.
        """
        return tuple(self._matches)

    def _add(self, route: Route, match: RouteMatch) -> None:
        self._matches.append(match)
        if route.host:
            prefixes = self._hosts.setdefault(route.host, {})
            prefixes[route.path] = match
            return
        node = self._root
        for segment in split_template(route.path):
            kind = classify_segment(segment)
            if kind is SegmentKind.rest:
                node.rest.update(dict.fromkeys(route.methods, match))
                return
            node = _descend(node, segment, kind)
        node.matches_here.update(dict.fromkeys(route.methods, match))


def split_path(path: str) -> list[str] | None:
    """Split a request's path and decode its segments.

    Args:
        path: percent-encoded path as received, without the query.

    Returns:
        Decoded segments; nothing if the path has no leading slash, has a dot
        segment, or does not decode as UTF-8.
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
    # Prefixes end with a slash, so the path is looked up only up to each of its
    # slashes.
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
        retries=route.attempts - 1 if route.attempts else DEFAULT_RETRIES,
        split=Split(route.split) if route.split else None,
    )


def _descend(
    node: _TemplateNode, segment: str, kind: SegmentKind
) -> _TemplateNode:
    if kind is SegmentKind.literal:
        return node.literal.setdefault(segment, _TemplateNode())
    if node.any_segment is None:
        node.any_segment = _TemplateNode()
    return node.any_segment


def _search(
    node: _TemplateNode,
    segments: Sequence[str],
    method: str,
) -> RouteMatch | None:
    if not segments:
        return node.matches_here.get(method)
    following = segments[1:]
    literal = node.literal.get(segments[0])
    if literal is not None:
        match = _search(literal, following, method)
        if match is not None:
            return match
    if node.any_segment is not None and segments[0]:
        match = _search(node.any_segment, following, method)
        if match is not None:
            return match
    return node.rest.get(method)
