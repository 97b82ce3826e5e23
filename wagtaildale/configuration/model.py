"""What operators write, and the parts that are published from it.

Operators name services and classes of work. They write no weights, no
addresses and nothing about one proxy: there is no field for those here, and
``checks`` says so when one is tried.
"""

from __future__ import annotations

from typing import Annotated, Final

from msgspec import Meta, Struct

from wagtaildale.types import ClassName, ServiceName, TeamName

NAME_PATTERN: Final = '^[a-z][a-z0-9-]{0,62}$'
PATH_PATTERN: Final = r'^(/([A-Za-z0-9._~-]+|\{[a-z_]+\*?\}))+$|^/$'
METHOD_PATTERN: Final = '^(GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS)$'
LONGEST_DEADLINE_MS: Final = 600_000
PERCENT: Final = 100
LONGEST_PATH: Final = 512
LONGEST_TITLE: Final = 200

DEFAULT_RANK: Final = 1
# The entry of a configuration that holds limits instead of a service's
# part: no service has such a name.
LIMITS_ENTRY: Final = '@limits'
# A part may be cut into pieces, entries named by service, mark and number.
# No service's name has the mark.
PIECE_SEPARATOR: Final = '#'

DIGEST_PATTERN: Final = '^[0-9a-f]{32}$'

HexDigest = Annotated[str, Meta(pattern=DIGEST_PATTERN)]
Name = Annotated[str, Meta(pattern=NAME_PATTERN)]
Path = Annotated[str, Meta(pattern=PATH_PATTERN, max_length=LONGEST_PATH)]
Method = Annotated[str, Meta(pattern=METHOD_PATTERN)]
Methods = Annotated[tuple[Method, ...], Meta(min_length=1)]
Milliseconds = Annotated[int, Meta(ge=1, le=LONGEST_DEADLINE_MS)]
Percent = Annotated[float, Meta(gt=0, le=PERCENT)]


class Target(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How promptly a class is to be answered.

    Attributes:
        within_ms: milliseconds in which an answer is in time.
        percent: how many of 100 answers are to be in time.
    """

    within_ms: Milliseconds
    percent: Percent


class ClassEntry(Struct, frozen=True, kw_only=True):
    """One class of work as operators write it.

    Attributes:
        name: unique within its service.
        methods: HTTP methods that it matches.
        path: path template; ``{name}`` stands for one segment, a last
            ``{name*}`` for the rest.
        idempotent: whether running it twice does no harm.
        target: how promptly it is to be answered.
        deadline_ms: when a caller no longer waits for an answer.
    """

    name: Name
    methods: Methods
    path: Path
    idempotent: bool
    target: Target
    deadline_ms: Milliseconds


class RouteEntry(Struct, frozen=True, kw_only=True):
    """A further route to a class, perhaps of another service.

    Attributes:
        methods: HTTP methods that it matches.
        path: path template.
        work_class: the class's name.
        service: whose class it is; the table's own service if left out.
    """

    methods: Methods
    path: Path
    work_class: Name
    service: Name | None = None


class ServiceEntry(Struct, frozen=True, kw_only=True):
    """One service as operators write it.

    Attributes:
        name: unique within the mesh.
        team: who owns it.
        classes: its classes of work.
        routes: further routes to classes.
    """

    name: Name
    team: Name
    classes: Annotated[tuple[ClassEntry, ...], Meta(min_length=1)]
    routes: tuple[RouteEntry, ...] = ()


class MeshEntry(Struct, frozen=True, kw_only=True):
    """A whole operators' file.

    Attributes:
        name: the mesh, for people.
        services: its services.
    """

    name: Annotated[str, Meta(min_length=1, max_length=LONGEST_TITLE)]
    services: Annotated[tuple[ServiceEntry, ...], Meta(min_length=1)]


class WorkClass(Struct, frozen=True, kw_only=True):
    """One class of work as it is published.

    Attributes:
        name: unique within its service.
        idempotent: whether it may be retried and hedged.
        within_ms: milliseconds in which an answer is in time.
        percent: how many of 100 answers are to be in time.
        deadline_ms: milliseconds after which nobody waits for an answer.
        rank: which classes go first where there is not room for all; 0 is
            the first.
    """

    name: ClassName
    idempotent: bool
    within_ms: int
    percent: float
    deadline_ms: int
    rank: int = DEFAULT_RANK


class Share(Struct, frozen=True, kw_only=True):
    """The part of a route's requests that goes to one service.

    Attributes:
        service: that gets it.
        weight: its part of the sum of all weights.
    """

    service: ServiceName
    weight: Annotated[int, Meta(ge=0)]


class Route(Struct, frozen=True, kw_only=True):
    """From a request to a class of a service.

    Operators' own files give methods and a path template. A platform may
    also publish routes by host and path prefix, and split them; nobody
    writes those here.

    Attributes:
        methods: that it matches; none stands for all.
        path: path template, or a prefix that begins and ends with a slash.
        service: whose class it is.
        work_class: the class's name.
        host: that it matches, in lower case; empty for a template.
        split: among which services requests are divided; none if all go
            to ``service``.
        attempts: upstreams that one request may be sent to; 0 for the
            product's own bound.
    """

    methods: tuple[str, ...]
    path: str
    service: ServiceName
    work_class: ClassName
    host: str = ''
    split: tuple[Share, ...] = ()
    attempts: Annotated[int, Meta(ge=0)] = 0

    def list_services(self) -> tuple[ServiceName, ...]:
        """List the services that requests may go to.

        Returns:
            Those of the split, or the one service.
        """
        if not self.split:
            return (self.service,)
        return tuple(share.service for share in self.split)


class Part(Struct, frozen=True, kw_only=True):
    """What is published of one service; content-addressed.

    Attributes:
        service: its name.
        team: who owns it.
        classes: its classes of work.
        routes: to classes of this or other services.
        connections: that one of its backend servers takes; 0 if unknown.
        health_path: where its backend servers say how they are and who;
            empty if they do not.
    """

    service: ServiceName
    team: TeamName
    classes: tuple[WorkClass, ...]
    routes: tuple[Route, ...]
    connections: int = 0
    health_path: str = ''


class PublishedLimits(Struct, frozen=True, kw_only=True):
    """What callers may send, where a platform publishes it.

    Attributes:
        head_bytes: largest request head.
        body_bytes: largest request body.
        head_ms: milliseconds from a head's first byte to its last.
        idle_ms: milliseconds that a connection may stay idle.
    """

    head_bytes: Annotated[int, Meta(ge=1)]
    body_bytes: Annotated[int, Meta(ge=0)]
    head_ms: Annotated[int, Meta(ge=1)]
    idle_ms: Annotated[int, Meta(ge=1)]


class Manifest(Struct, frozen=True, kw_only=True):
    """Names the parts of one version by their content hashes.

    Attributes:
        version: the publisher's, strictly increasing.
        name: the mesh, for people.
        parts: by service, the hexadecimal content hash.
    """

    version: Annotated[int, Meta(ge=1)]
    name: str
    parts: dict[str, HexDigest]
