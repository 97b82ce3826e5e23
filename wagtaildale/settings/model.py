"""The settings of one daemon, as its TOML file gives them."""

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
MOST_SLOTS: Final = 10_000
MOST_CONNECTIONS: Final = 10_000
HEAD_BYTES: Final = 32_768
LEAST_HEAD_BYTES: Final = 1024
BODY_BYTES: Final = 67_108_864
CONNECTIONS: Final = 512
SLOTS: Final = 10
DRAIN_SECONDS: Final = 30.0
LONGEST_DRAIN: Final = 600
ANNOUNCE_SECONDS: Final = 1.0
LINGER_SECONDS: Final = 4.0
MOST_KEYS: Final = 3
APPLY_SECONDS: Final = 12.0
RETRY_SHARE: Final = 0.2
RETRY_WINDOW_SECONDS: Final = 10.0
RETRY_SLACK: Final = 20.0
# Of the time to apply a version: a read that fails can then be repeated
# twice over.
READ_SHARE: Final = 0.2

Name = Annotated[str, Meta(pattern=NAME_PATTERN)]
Host = Annotated[str, Meta(pattern=HOST_PATTERN)]
Seed = Annotated[str, Meta(pattern=SEED_PATTERN)]
Url = Annotated[str, Meta(pattern=URL_PATTERN)]
Level = Annotated[str, Meta(pattern=LEVEL_PATTERN)]


class BackendSettings(Struct, frozen=True, kw_only=True):
    """The backend server beside the node.

    Attributes:
        host: its IP number.
        port: its HTTP port.
        slots: requests that it runs at once.
    """

    host: Host
    port: Port
    slots: Annotated[int, Meta(ge=1, le=MOST_SLOTS)] = SLOTS


class PlatformSettings(Struct, frozen=True, kw_only=True):
    """The platform's service that is read and watched.

    Attributes:
        url: its base address.
        prefix: under which the configuration's keys stand.
    """

    url: Url
    prefix: Name = 'wagtaildale'


class DistributionSettings(Struct, frozen=True, kw_only=True):
    """How configuration spreads.

    Attributes:
        seeds: control addresses of some nodes, asked at the start.
        spread: what weighs more, convergence time or control bytes.
    """

    seeds: tuple[Seed, ...] = ()
    spread: Spread = Spread.prompt


class LimitSettings(Struct, frozen=True, kw_only=True):
    """Limits on what callers send, and on the planned stop.

    Attributes:
        head_bytes: largest request head.
        body_bytes: largest request body.
        connections: callers' connections open at once.
        drain_seconds: how long a planned stop waits for work in flight.
        announce_seconds: of these, how long callers are served on while
            they are told to go elsewhere.
        linger_seconds: how long idle callers are waited for, so that their
            next answer tells them to close.
    """

    head_bytes: Annotated[int, Meta(ge=LEAST_HEAD_BYTES)] = HEAD_BYTES
    body_bytes: Annotated[int, Meta(ge=0)] = BODY_BYTES
    connections: Annotated[int, Meta(ge=1, le=MOST_CONNECTIONS)] = CONNECTIONS
    drain_seconds: Annotated[float, Meta(gt=0, le=LONGEST_DRAIN)] = (
        DRAIN_SECONDS
    )
    announce_seconds: Annotated[float, Meta(ge=0, le=LONGEST_DRAIN)] = (
        ANNOUNCE_SECONDS
    )
    linger_seconds: Annotated[float, Meta(ge=0, le=LONGEST_DRAIN)] = (
        LINGER_SECONDS
    )


class TeamToken(Struct, frozen=True, kw_only=True):
    """Where one team's token is found.

    Attributes:
        team: sees and checks its own services with it.
        token_file: file that holds it.
        token_variable: environment variable that holds it.
    """

    team: Annotated[TeamName, Meta(pattern=NAME_PATTERN)]
    token_file: str | None = None
    token_variable: str | None = None


class AdminSettings(Struct, frozen=True, kw_only=True):
    """Where the administration API's tokens are found.

    Attributes:
        token_file: file that holds the operators' token.
        token_variable: environment variable that holds it.
        teams: tokens of teams.
    """

    token_file: str | None = None
    token_variable: str | None = None
    teams: tuple[TeamToken, ...] = ()


class CallSettings(Struct, frozen=True, kw_only=True):
    """How calls are carried; all but the defaults are to measure against.

    Attributes:
        choice: how an upstream is chosen.
        admits: whether slots bound what runs at the backend server.
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
        secret_files: this node's own key first, then others it accepts;
            none for connections that are neither encrypted nor checked.
    """

    secret_files: Annotated[tuple[str, ...], Meta(max_length=MOST_KEYS)] = ()


class BoundSettings(Struct, frozen=True, kw_only=True):
    """Figures that the operators of a platform publish and hold nodes to.

    Attributes:
        apply_seconds: in which a published version is in force everywhere.
        drain_seconds: in which an instance that leaves gets no new work.
        stop_seconds: from the signal to stop until the process is killed.
        retry_share: repeated requests, as a share of all to a service.
        retry_window_seconds: over which that share counts.
        retry_slack: repeated requests beyond that share, over all nodes.
    """

    apply_seconds: Annotated[float, Meta(gt=0)] = APPLY_SECONDS
    drain_seconds: Annotated[float, Meta(gt=0)] = APPLY_SECONDS
    stop_seconds: Annotated[float, Meta(gt=0)] = DRAIN_SECONDS
    retry_share: Annotated[float, Meta(ge=0)] = RETRY_SHARE
    retry_window_seconds: Annotated[float, Meta(gt=0)] = RETRY_WINDOW_SECONDS
    retry_slack: Annotated[float, Meta(ge=0)] = RETRY_SLACK

    @property
    def read_seconds(self) -> float:
        """How long a read of the platform may take beyond its wait."""
        return READ_SHARE * min(self.apply_seconds, self.drain_seconds)


class LogSettings(Struct, frozen=True, kw_only=True):
    """The log.

    Attributes:
        level: lowest level that is written.
    """

    level: Level = 'info'


class Settings(Struct, frozen=True, kw_only=True):
    """Everything that one daemon is told.

    Attributes:
        instance: id of the instance; a replacement has another one.
        name: of the node, for people; its instance where left out.
        service: what the backend server beside it runs.
        data_centre: where the instance stands.
        region: of which region that is.
        host: IP number of the instance.
        entry_port: where callers' requests come.
        owner_port: where other nodes' calls come.
        control_port: where control messages come.
        admin_port: where the administration API answers.
        ready_port: where ``GET /ready`` tells whether the node takes
            callers; nothing if only the administration API tells.
        backend: the backend server.
        platform: the platform's service.
        distribution: how configuration spreads.
        limits: on callers and the planned stop.
        admin: the administration API.
        calls: how calls are carried.
        keys: for connections between nodes.
        log: the log.
        bounds: figures that the platform's operators publish.
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
