"""The settings of a daemon, in the format of its TOML file."""

from __future__ import annotations

from typing import Annotated, Final

from msgspec import Meta, Struct

from wagtaildale.distribution.tuning import Spread
from wagtaildale.membership.records import Port
from wagtaildale.routing.choice import ChooserName
from wagtaildale.types import (
    DataCentre,
    InstanceId,
    Region,
    ServiceName,
    TeamName,
)

NAME_PATTERN: Final = r'^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$'
HOST_PATTERN: Final = r'^[0-9a-fA-F.:]+$'
SEED_PATTERN: Final = r'^tcp://[0-9a-fA-F.:\[\]]+:[0-9]+$'
URL_PATTERN: Final = '^https?://[^ ]+$'
LEVEL_PATTERN: Final = '^(debug|info|warning|error)$'
MAX_SLOTS: Final = 10_000
MAX_CONNECTIONS: Final = 10_000
HEAD_BYTES: Final = 32_768
MIN_HEAD_BYTES: Final = 1024
BODY_BYTES: Final = 67_108_864
CONNECTIONS: Final = 512
MEMORY_MB: Final = 300
SLOTS: Final = 10
DRAIN_SECONDS: Final = 30.0
LONGEST_DRAIN_SECONDS: Final = 600
ANNOUNCE_SECONDS: Final = 1.0
LINGER_SECONDS: Final = 4.0
MAX_KEYS: Final = 3
APPLY_SECONDS: Final = 12.0
RETRY_SHARE: Final = 0.2
RETRY_WINDOW_SECONDS: Final = 10.0
RETRY_SLACK: Final = 20.0
SLOW_START_SLACK: Final = 4.0
# Share of the time to apply a version: leaves time to repeat a failed read
# twice.
IDLE_READ_SHARE: Final = 0.2

Name = Annotated[str, Meta(pattern=NAME_PATTERN)]
Host = Annotated[str, Meta(pattern=HOST_PATTERN)]
Seed = Annotated[str, Meta(pattern=SEED_PATTERN)]
Url = Annotated[str, Meta(pattern=URL_PATTERN)]
Level = Annotated[str, Meta(pattern=LEVEL_PATTERN)]


class BackendSettings(Struct, frozen=True, kw_only=True):
    """The backend server beside the node.

    Attributes:
        host: IP address of the server.
        port: HTTP port of the server.
        slots: most requests that the server runs at once.
    """

    host: Host
    port: Port
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)] = SLOTS


class PlatformSettings(Struct, frozen=True, kw_only=True):
    """The platform's service from which documents are read.

    Attributes:
        url: base URL of the service.
        prefix: prefix of the configuration's keys.
    """

    url: Url
    prefix: Name = 'wagtaildale'


class DistributionSettings(Struct, frozen=True, kw_only=True):
    """Settings of the distribution of documents.

    Attributes:
        seeds: control addresses of some nodes, which a new node contacts
            first.
        spread: preference between short convergence and few control bytes.
    """

    seeds: tuple[Seed, ...] = ()
    spread: Spread = Spread.prompt


class LimitSettings(Struct, frozen=True, kw_only=True):
    """Limits on what callers send, and on the planned stop.

    Attributes:
        head_bytes: largest request head, bytes.
        body_bytes: largest request body, bytes.
        connections: most connections of callers at once.
        memory_mb: memory of the process, megabytes. Bounds what it holds for
            its callers.
        drain_seconds: longest wait of a planned stop for work in flight,
            seconds.
        announce_seconds: part of these in which callers are still served but
            asked to use other nodes, seconds.
        linger_seconds: time for which idle connections of callers stay open
            in a planned stop, so that their next response asks them to close,
            seconds.
        line_mbps: bandwidth of the instance's line, megabits per second; 0 if
            not known. Bounds the bytes of request bodies that are on their way
            to the node.
    """

    head_bytes: Annotated[int, Meta(ge=MIN_HEAD_BYTES)] = HEAD_BYTES
    body_bytes: Annotated[int, Meta(ge=0)] = BODY_BYTES
    connections: Annotated[int, Meta(ge=1, le=MAX_CONNECTIONS)] = CONNECTIONS
    memory_mb: Annotated[int, Meta(ge=1)] = MEMORY_MB
    drain_seconds: Annotated[float, Meta(gt=0, le=LONGEST_DRAIN_SECONDS)] = (
        DRAIN_SECONDS
    )
    announce_seconds: Annotated[float, Meta(ge=0, le=LONGEST_DRAIN_SECONDS)] = (
        ANNOUNCE_SECONDS
    )
    linger_seconds: Annotated[float, Meta(ge=0, le=LONGEST_DRAIN_SECONDS)] = (
        LINGER_SECONDS
    )
    line_mbps: Annotated[float, Meta(ge=0)] = 0


class TeamToken(Struct, frozen=True, kw_only=True):
    """Source of one team's token.

    Attributes:
        team: team that may view and check its own services with the token.
        token_file: file that holds the token.
        token_variable: environment variable that holds the token.
    """

    team: Annotated[TeamName, Meta(pattern=NAME_PATTERN)]
    token_file: str | None = None
    token_variable: str | None = None


class AdminSettings(Struct, frozen=True, kw_only=True):
    """Sources of the administration API's tokens.

    Attributes:
        token_file: file that holds the operators' token.
        token_variable: environment variable that holds the operators' token.
        teams: sources of the teams' tokens.
    """

    token_file: str | None = None
    token_variable: str | None = None
    teams: tuple[TeamToken, ...] = ()


class CallSettings(Struct, frozen=True, kw_only=True):
    """Settings of calls; other values than the defaults are baselines.

    Attributes:
        choice: method of choosing an upstream.
        admits: whether slots limit the requests that run at the backend
            server at once.
        reserves: whether a non-idempotent request reserves a slot first.
        hedges: whether slow idempotent requests get a second attempt.
    """

    choice: ChooserName = ChooserName.least_loaded
    admits: bool = True
    reserves: bool = True
    hedges: bool = True


class KeySettings(Struct, frozen=True, kw_only=True):
    """Keys for the connections between nodes.

    Attributes:
        secret_files: key files, this node's own first, then others that it
            accepts; empty for connections without encryption and
            authentication.
    """

    secret_files: Annotated[tuple[str, ...], Meta(max_length=MAX_KEYS)] = ()


class BoundSettings(Struct, frozen=True, kw_only=True):
    """Bounds that the operators of a platform publish and nodes must keep.

    Attributes:
        apply_seconds: longest time until a published version is in use on all
            nodes, seconds.
        drain_seconds: longest time until a leaving instance gets no new work,
            seconds.
        stop_seconds: time from the signal to stop until the process is
            killed, seconds.
        retry_share: most retries, as a share of all requests to a service.
        retry_window_seconds: window over which the share is counted, seconds.
        retry_slack: retries allowed beyond the share, over all nodes.
        slow_start_factor: multiple of the rate that a cold server bears which
            it may get.
        slow_start_slack: requests in one second that it may get beyond that.
        expects_slow_start: whether servers may start slowly; a node that has
            no configuration yet then bounds what its server gets.
    """

    apply_seconds: Annotated[float, Meta(gt=0)] = APPLY_SECONDS
    drain_seconds: Annotated[float, Meta(gt=0)] = APPLY_SECONDS
    stop_seconds: Annotated[float, Meta(gt=0)] = DRAIN_SECONDS
    retry_share: Annotated[float, Meta(ge=0)] = RETRY_SHARE
    retry_window_seconds: Annotated[float, Meta(gt=0)] = RETRY_WINDOW_SECONDS
    retry_slack: Annotated[float, Meta(ge=0)] = RETRY_SLACK
    slow_start_factor: Annotated[float, Meta(gt=0)] = 1
    slow_start_slack: Annotated[float, Meta(ge=0)] = SLOW_START_SLACK
    expects_slow_start: bool = True

    @property
    def idle_read_seconds(self) -> float:
        """Longest time without a byte of the platform's answer, seconds."""
        return IDLE_READ_SHARE * min(self.apply_seconds, self.drain_seconds)


class LogSettings(Struct, frozen=True, kw_only=True):
    """Settings of the log.

    Attributes:
        level: lowest level that is logged.
    """

    level: Level = 'info'


class Settings(Struct, frozen=True, kw_only=True):
    """All settings of one daemon.

    Attributes:
        instance: id of the instance; a replacement has another id.
        name: name of the node, for people; the instance id if left out.
        service: service that the backend server runs.
        data_centre: data centre of the instance.
        region: region of the data centre.
        host: IP address of the instance.
        entry_port: port for callers' requests.
        owner_port: port for other nodes' calls.
        control_port: port for control messages.
        admin_port: port of the administration API.
        ready_port: port of the readiness check ``GET /ready``; None if only
            the administration API reports readiness.
        backend: the backend server.
        platform: the platform's service.
        distribution: distribution of documents.
        limits: limits on callers and on the planned stop.
        admin: administration API.
        calls: handling of calls.
        keys: keys for connections between nodes.
        log: settings of the log.
        bounds: bounds that the platform's operators publish.
    """

    instance: Annotated[InstanceId, Meta(pattern=NAME_PATTERN)]
    name: str = ''
    service: Annotated[ServiceName, Meta(pattern=NAME_PATTERN)]
    data_centre: Annotated[DataCentre, Meta(pattern=NAME_PATTERN)]
    region: Annotated[Region, Meta(pattern=NAME_PATTERN)]
    host: Host
    entry_port: Port
    owner_port: Port
    control_port: Port
    admin_port: Port
    ready_port: Port | None = None
    backend: BackendSettings
    platform: PlatformSettings
    distribution: DistributionSettings = DistributionSettings()
    limits: LimitSettings = LimitSettings()
    admin: AdminSettings = AdminSettings()
    calls: CallSettings = CallSettings()
    keys: KeySettings = KeySettings()
    log: LogSettings = LogSettings()
    bounds: BoundSettings = BoundSettings()
