"""Decodes the published configuration into this product's parts."""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING, Annotated, Final
from zlib import crc32

from msgspec import UNSET, Meta, Struct, UnsetType, json, structs
from result import Err, Result

from wagtaildale.configuration.model import (
    LIMITS_ENTRY,
    PIECE_SEPARATOR,
    Part,
    PublishedLimits,
    Route,
    Share,
    SlowStart,
    WorkClass,
)
from wagtaildale.decoding.failures import DecodingFailure
from wagtaildale.decoding.json_documents import decode_json
from wagtaildale.decoding.numbers import Integer
from wagtaildale.errors.codes import Code
from wagtaildale.platform.class_names import RuleKey, name_classes
from wagtaildale.source.store import StoredDocument
from wagtaildale.types import ClassName, ServiceName, TeamName, Version

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

HEXADECIMAL: Final = 16
VERSION_PATTERN: Final = '^[0-9a-fA-F]{1,8}$'
# The platform publishes no teams and no percentages, so that all services
# belong to the operators and share one percentage.
TEAM: Final = TeamName('operators')
PERCENT: Final = 99
# The rules of a service are split into this many pieces, so that a change of
# one rule sends 1 KB to every node. The whole part of a service with 1,100
# routes is 60 KB: 0.14 s of a line of 3.5 Mbit/s, up to five times a second
# when many versions are published.
PIECES_PER_SERVICE: Final = 64
# Kind of the rules whose requests may run more than once and whose responses
# are large.
BULK_KIND: Final = 'download'
IDEMPOTENT_KINDS: Final = frozenset(('safe', BULK_KIND))


class Limits(Struct, frozen=True, kw_only=True, rename='camel'):
    """Limits on the size and duration of callers' requests."""

    max_header_bytes: Integer
    max_body_bytes: Integer
    header_timeout_ms: Integer
    idle_timeout_ms: Integer


class WeightedService(Struct, frozen=True, kw_only=True):
    """A service and its weight in a split route."""

    service: str
    weight: Integer


class Match(Struct, frozen=True, kw_only=True):
    """The paths that a rule matches: those that begin with the prefix."""

    prefix: str


class Action(Struct, frozen=True, kw_only=True, rename='camel'):
    """Destination of a rule's requests.

    Attributes:
        timeout_ms: longest time until a request is answered, milliseconds.
        attempts: most backend servers that one request may be sent to.
        service: destination of all requests, unless they are split.
        split: services among which the requests are split.
    """

    timeout_ms: Integer
    attempts: Integer
    service: str = ''
    split: tuple[WeightedService, ...] = ()


class Rule(Struct, frozen=True, kw_only=True, rename='camel'):
    """One route of a host.

    Attributes:
        name: name of the rule; rules of other hosts or prefixes may have the
            same.
        kind: ``safe`` if a request may run more than once, ``download`` if
            its response is also large; with any other, it runs at most once.
        goal_ms: target for the time to an answer, milliseconds.
        priority: rank of the rule's requests; 0 is the highest.
        match: paths that the rule matches.
        action: destination of the requests.
    """

    name: str
    kind: str
    goal_ms: Integer
    priority: Integer
    match: Match
    action: Action


class HostRules(Struct, frozen=True, kw_only=True):
    """The rules of one host; the platform's term is listener."""

    host: str
    rules: tuple[Rule, ...]


class HostRule(Struct, frozen=True, kw_only=True):
    """A rule and the host that it belongs to."""

    host: str
    rule: Rule

    @property
    def key(self) -> RuleKey:
        """What identifies the rule."""
        return RuleKey(
            name=self.rule.name, host=self.host, prefix=self.rule.match.prefix
        )


class Cluster(Struct, frozen=True, kw_only=True, rename='camel'):
    """A service.

    Attributes:
        name: name of the service.
        max_conns: most connections that each backend server accepts.
        health_path: path of the health check of each backend server.
        cold_s: seconds after its start for which a backend server is cold.
        cold_per_s: requests per second that a cold one bears; 0 if not bound.
    """

    name: str
    max_conns: Integer = 0
    health_path: str = ''
    cold_s: float = 0
    cold_per_s: float = 0


class PublishedConfiguration(Struct, frozen=True, kw_only=True):
    """The published value of the configuration key.

    Attributes:
        version: version as eight hexadecimal digits.
        limits: limits on callers.
        listeners: rules of each host.
        clusters: the services.
    """

    version: Annotated[str, Meta(pattern=VERSION_PATTERN)]
    limits: Limits
    listeners: tuple[HostRules, ...]
    clusters: tuple[Cluster, ...]


class PublishedServices(Struct, frozen=True, kw_only=True):
    """The services of a published value, without its routes.

    Attributes:
        clusters: the services.
    """

    clusters: tuple[Cluster, ...] = ()


@lru_cache(maxsize=1)
def list_slow_starting(payload: bytes) -> frozenset[str]:
    """List the services whose cold backend servers have a rate limit.

    Args:
        payload: published value, JSON.

    Returns:
        Names of the services; none if the value cannot be read.
    """
    services = decode_json(payload, PublishedServices, code=Code.part_corrupt)
    if isinstance(services, Err):
        # Decoding the configuration document reports the error.
        return frozenset()
    return frozenset(
        cluster.name
        for cluster in services.ok_value.clusters
        if cluster.cold_per_s > 0
    )


def decode_configuration(
    payload: bytes,
) -> Result[StoredDocument, DecodingFailure]:
    """Decode the published value into a version and its entries.

    Args:
        payload: published value, JSON.

    Returns:
        The version and the encoded entries, or why the value is not a
        configuration.
    """
    decoded = decode_json(
        payload, PublishedConfiguration, code=Code.part_corrupt
    )
    return decoded.map(_make_document)


def _make_document(published: PublishedConfiguration) -> StoredDocument:
    blobs = _encode_rule_pieces(published)
    for cluster in published.clusters:
        part = _make_part(
            cluster.name,
            connections=cluster.max_conns,
            health_path=cluster.health_path,
        )
        blobs[cluster.name] = json.encode(
            structs.replace(part, slow_start=_make_slow_start(cluster))
        )
    blobs[LIMITS_ENTRY] = json.encode(_make_limits(published.limits))
    return StoredDocument(
        version=Version(int(published.version, HEXADECIMAL)), blobs=blobs
    )


def _encode_rule_pieces(published: PublishedConfiguration) -> dict[str, bytes]:
    host_rules = tuple(_list_rules(published))
    class_names = name_classes(each.key for each in host_rules)
    pieces: dict[str, list[HostRule]] = {}
    for host_rule in host_rules:
        pieces.setdefault(_name_piece(host_rule.rule), []).append(host_rule)
    return {
        name: json.encode(_make_piece(rules, class_names))
        for name, rules in pieces.items()
    }


def _name_piece(rule: Rule) -> str:
    # Hashing the name keeps a rule in the same piece whatever else changes.
    number = crc32(rule.name.encode()) % PIECES_PER_SERVICE
    return f'{_find_service(rule.action)}{PIECE_SEPARATOR}{number}'


def _make_piece(
    rules: list[HostRule], class_names: Mapping[RuleKey, ClassName]
) -> Part:
    service = _find_service(rules[0].rule.action)
    return _make_part(
        service,
        classes=tuple(
            _make_class(each.rule, class_names[each.key]) for each in rules
        ),
        routes=tuple(
            _make_route(each, class_names[each.key], service) for each in rules
        ),
    )


def _make_part(
    service: str,
    *,
    classes: tuple[WorkClass, ...] = (),
    routes: tuple[Route, ...] = (),
    connections: int = 0,
    health_path: str = '',
) -> Part:
    return Part(
        service=ServiceName(service),
        team=TEAM,
        classes=classes,
        routes=routes,
        connections=connections,
        health_path=health_path,
    )


def _make_slow_start(cluster: Cluster) -> SlowStart | UnsetType:
    if cluster.cold_s <= 0 or cluster.cold_per_s <= 0:
        return UNSET
    return SlowStart(seconds=cluster.cold_s, per_second=cluster.cold_per_s)


def _list_rules(published: PublishedConfiguration) -> Iterator[HostRule]:
    for listener in published.listeners:
        for rule in listener.rules:
            yield HostRule(host=listener.host.lower(), rule=rule)


def _find_service(action: Action) -> str:
    return action.split[0].service if action.split else action.service


def _make_class(rule: Rule, name: ClassName) -> WorkClass:
    return WorkClass(
        name=name,
        idempotent=rule.kind in IDEMPOTENT_KINDS,
        within_ms=rule.goal_ms,
        percent=PERCENT,
        deadline_ms=rule.action.timeout_ms,
        rank=rule.priority,
        bulk=rule.kind == BULK_KIND or UNSET,
    )


def _make_route(
    host_rule: HostRule, work_class: ClassName, service: str
) -> Route:
    rule = host_rule.rule
    return Route(
        methods=(),
        path=rule.match.prefix,
        service=ServiceName(service),
        work_class=work_class,
        host=host_rule.host,
        split=tuple(
            Share(service=ServiceName(share.service), weight=share.weight)
            for share in rule.action.split
        ),
        attempts=rule.action.attempts,
    )


def _make_limits(limits: Limits) -> PublishedLimits:
    return PublishedLimits(
        head_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        head_ms=limits.header_timeout_ms,
        idle_ms=limits.idle_timeout_ms,
    )
