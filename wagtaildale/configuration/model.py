"""The format of operators' files, and of the parts published from them.

Operators declare services and classes of work. Weights, addresses and
settings of single proxies have no fields here; ``shapes`` reports a fault
with an explanation if a file has one of them.
"""

from __future__ import annotations

from typing import Annotated, Final

from msgspec import UNSET, Meta, Struct, UnsetType

from wagtaildale.decoding.numbers import Integer, Natural, Positive
from wagtaildale.types import ClassName, ServiceName, TeamName

NAME_PATTERN: Final = '^[a-z][a-z0-9-]{0,62}$'
PATH_PATTERN: Final = r'^(/([A-Za-z0-9._~-]+|\{[a-z_]+\*?\}))+$|^/$'
METHOD_PATTERN: Final = '^(GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS)$'
LONGEST_DEADLINE_MS: Final = 600_000
MAX_PERCENT: Final = 100
LONGEST_SLOW_START_SECONDS: Final = 600
LONGEST_PATH_CHARACTERS: Final = 512
LONGEST_NAME_CHARACTERS: Final = 200

DEFAULT_RANK: Final = 1
# Name of the entry that holds the limits on callers instead of a service's
# part; it is not a valid service name.
LIMITS_ENTRY: Final = '@limits'
# A part may be split into pieces, whose entries are named by service, separator
# and number. Service names do not contain the separator.
PIECE_SEPARATOR: Final = '#'

DIGEST_PATTERN: Final = '^[0-9a-f]{32}$'

HexDigest = Annotated[str, Meta(pattern=DIGEST_PATTERN)]
Name = Annotated[str, Meta(pattern=NAME_PATTERN)]
Path = Annotated[
    str, Meta(pattern=PATH_PATTERN, max_length=LONGEST_PATH_CHARACTERS)
]
Method = Annotated[str, Meta(pattern=METHOD_PATTERN)]
Methods = Annotated[tuple[Method, ...], Meta(min_length=1)]
Milliseconds = Annotated[int, Meta(ge=1, le=LONGEST_DEADLINE_MS)]
Percent = Annotated[float, Meta(gt=0, le=MAX_PERCENT)]


class Target(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Latency target of a class.

    Attributes:
        within_ms: longest time of an answer that counts as in time,
            milliseconds.
        percent: percentage of answers that should be in time.
    """

    within_ms: Milliseconds
    percent: Percent


class ClassEntry(Struct, frozen=True, kw_only=True):
    """One class of work in an operators' file.

    Attributes:
        name: name of the class, unique within its service.
        methods: HTTP methods that the class matches.
        path: path template; ``{name}`` matches one segment, and ``{name*}`` at
            the end matches all remaining ones.
        idempotent: whether a request may safely run twice.
        target: latency target.
        deadline_ms: time after which callers no longer wait for an answer,
            milliseconds.
        bulk: whether its responses are large, so that they would delay those
            of other classes on the line out of a server's node.
    """

    name: Name
    methods: Methods
    path: Path
    idempotent: bool
    target: Target
    deadline_ms: Milliseconds
    bulk: bool = False


class RouteEntry(Struct, frozen=True, kw_only=True):
    """An additional route to a class of this or another service.

    Attributes:
        methods: HTTP methods that the route matches.
        path: path template.
        work_class: name of the class.
        service: service of the class; the service of the table if left out.
    """

    methods: Methods
    path: Path
    work_class: Name
    service: Name | None = None


class SlowStart(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How the backend servers of a service start.

    Attributes:
        seconds: time after its start for which a server is cold.
        per_second: requests per second that a cold server bears.
    """

    seconds: Annotated[float, Meta(gt=0, le=LONGEST_SLOW_START_SECONDS)]
    per_second: Annotated[float, Meta(gt=0)]


class ServiceEntry(Struct, frozen=True, kw_only=True):
    """One service in an operators' file.

    Attributes:
        name: name of the service, unique within the mesh.
        team: team that owns the service.
        classes: classes of work of the service.
        routes: additional routes to classes.
        slow_start: how its backend servers start; left out if they bear their
            usual rate at once.
    """

    name: Name
    team: Name
    classes: Annotated[tuple[ClassEntry, ...], Meta(min_length=1)]
    routes: tuple[RouteEntry, ...] = ()
    slow_start: SlowStart | UnsetType = UNSET


class MeshEntry(Struct, frozen=True, kw_only=True):
    """A whole operators' file.

    Attributes:
        name: name of the mesh, for people.
        services: services of the mesh.
    """

    name: Annotated[str, Meta(min_length=1, max_length=LONGEST_NAME_CHARACTERS)]
    services: Annotated[tuple[ServiceEntry, ...], Meta(min_length=1)]


class WorkClass(Struct, frozen=True, kw_only=True):
    """One class of work in a published part.

    Attributes:
        name: name of the class, unique within its service.
        idempotent: whether its requests may be retried and hedged.
        within_ms: longest time of an answer that counts as in time,
            milliseconds.
        percent: percentage of answers that should be in time.
        deadline_ms: time after which callers no longer wait for an answer,
            milliseconds.
        rank: priority of the class's requests under overload; 0 is served
            first.
        bulk: whether its responses are large; left out if they are not, so
            that the encoded form and the hash of such a class stay as in
            earlier builds.
    """

    name: ClassName
    idempotent: bool
    within_ms: Integer
    percent: float
    deadline_ms: Integer
    rank: Integer = DEFAULT_RANK
    bulk: bool | UnsetType = UNSET

    @property
    def is_bulk(self) -> bool:
        """Whether responses of the class are large."""
        return self.bulk is True


class Share(Struct, frozen=True, kw_only=True):
    """The share of one service in a split route.

    Attributes:
        service: service that gets the requests.
        weight: weight of the service; its share is the weight divided by the
            sum of all weights.
    """

    service: ServiceName
    weight: Natural


class Route(Struct, frozen=True, kw_only=True):
    """A route from requests to a class of a service.

    Routes from operators' files have methods and a path template. A platform
    may also publish routes with a host and a path prefix, and split them
    among services; operators' files have no fields for these.

    Attributes:
        methods: HTTP methods that the route matches; empty for all.
        path: path template, or a prefix that begins and ends with a slash.
        service: service of the class.
        work_class: name of the class.
        host: host that the route matches, in lower case; empty for a
            template.
        split: services among which requests are split; empty if all go to
            ``service``.
        attempts: most upstreams that one request may be sent to; 0 for the
            product's default.
    """

    methods: tuple[str, ...]
    path: str
    service: ServiceName
    work_class: ClassName
    host: str = ''
    split: tuple[Share, ...] = ()
    attempts: Natural = 0

    def list_services(self) -> tuple[ServiceName, ...]:
        """List the services to which requests may be sent.

        Returns:
            The services of the split, or the single service.
        """
        if not self.split:
            return (self.service,)
        return tuple(share.service for share in self.split)


class Part(Struct, frozen=True, kw_only=True):
    """The published configuration of one service, addressed by content.

    Attributes:
        service: name of the service.
        team: team that owns the service.
        classes: classes of work of the service.
        routes: routes to classes of this or other services.
        connections: most connections that one of its backend servers
            accepts; 0 if unknown.
        health_path: path at which its backend servers report their health and
            identity; empty if they do not.
        slow_start: how its backend servers start; left out if they bear their
            usual rate at once.
    """

    service: ServiceName
    team: TeamName
    classes: tuple[WorkClass, ...]
    routes: tuple[Route, ...]
    connections: Integer = 0
    health_path: str = ''
    slow_start: SlowStart | UnsetType = UNSET


class PublishedLimits(Struct, frozen=True, kw_only=True):
    """Limits on callers that a platform publishes.

    Attributes:
        head_bytes: largest request head, bytes.
        body_bytes: largest request body, bytes.
        head_ms: longest time from the first to the last byte of a request
            head, milliseconds.
        idle_ms: longest time that a connection may be idle, milliseconds.
    """

    head_bytes: Positive
    body_bytes: Natural
    head_ms: Positive
    idle_ms: Positive


class Manifest(Struct, frozen=True, kw_only=True):
    """The parts of one version, named by their content hashes.

    Attributes:
        version: version set by the publisher; strictly increasing.
        name: name of the mesh, for people.
        parts: hexadecimal content hash of each service's part.
    """

    version: Positive
    name: str
    parts: dict[str, HexDigest]
