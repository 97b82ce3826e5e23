"""Translates the platform's settings file into this product's settings."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Annotated, Final

from msgspec import Meta, Struct
from result import Err, Ok, Result

from wagtaildale.configuration.files import read_text
from wagtaildale.decoding.addresses import decode_address
from wagtaildale.decoding.failures import DecodingFailure
from wagtaildale.decoding.json_documents import decode_json
from wagtaildale.distribution.tuning import HEARTBEAT_SECONDS
from wagtaildale.errors.codes import Code
from wagtaildale.errors.faults import Fault
from wagtaildale.routing.choice import ChooserName
from wagtaildale.settings.model import (
    BackendSettings,
    BoundSettings,
    CallSettings,
    DistributionSettings,
    LimitSettings,
    PlatformSettings,
    Settings,
)
from wagtaildale.types import DataCentre, InstanceId, Region, ServiceName

if TYPE_CHECKING:
    from pathlib import Path

    from wagtaildale.calls.addresses import Address
    from wagtaildale.errors.faults import Faults

DESCRIPTORS_FOR_FILES: Final = 200
# Each caller's connection may need a second one, to a node or the backend
# server.
DESCRIPTORS_PER_CONNECTION: Final = 2
MILLISECONDS: Final = 1000
# The deployment file names the port at which metrics are scraped, so the port
# is fixed; it is the one of OpenTelemetry's own Prometheus exporters.
ADMIN_PORT: Final = 9464
# Used if the platform states no interval; its operators' usual figure.
HEARTBEAT_MS: Final = round(HEARTBEAT_SECONDS * MILLISECONDS)
# The planned stop reaches its bound this long before the process is killed.
# Ending takes up to 0.6 s after the bound: the last poll of the stop, the end
# of the tasks and the end of the log.
STOP_MARGIN_SECONDS: Final = 0.7
# The platform checks the readiness of a node every second and sends its
# callers elsewhere after two failed checks.
ANNOUNCE_SECONDS: Final = 2.4


class ListenAddresses(Struct, frozen=True, kw_only=True):
    """Addresses on which the process listens.

    Attributes:
        inbound: address for other nodes' calls to the local backend server.
        outbound: address for requests of callers and of the local backend
            server.
        ready: address of the platform's readiness check.
        control: address for control messages between nodes.
    """

    inbound: str
    outbound: str
    ready: str
    control: str


class MachineLimits(Struct, frozen=True, kw_only=True, rename='camel'):
    """Limits of the machine for the process.

    Attributes:
        max_fds: most file descriptors, including those of files.
        memory_mb: megabytes of memory above which the process is killed.
        link_mbps: bandwidth of the machine's line, megabits a second; 0 if
            not stated.
    """

    max_fds: int
    memory_mb: int
    link_mbps: float = 0


class StoreAddress(Struct, frozen=True, kw_only=True, rename='camel'):
    """The platform's store.

    Attributes:
        address: IP address and port.
        reads_per_s: most calls a second that the store answers for all nodes
            together.
    """

    address: str
    reads_per_s: float = 0


class PlatformFile(Struct, frozen=True, kw_only=True, rename='camel'):
    """The fields of the platform's settings file that are used.

    Attributes:
        node_name: name of the node, for people.
        ip: IP address of the machine.
        zone: data centre of the machine.
        zones: region of each data centre.
        listen_addrs: addresses on which the process listens.
        seed_nodes: control addresses of some nodes, which may be down or
            removed.
        limits: limits of the machine for the process.
        heartbeat_ms: interval between two writes of an instance to its
            entry, milliseconds.
        bounds: figures that the platform publishes, as ``name=figure``.
        app_addr: address of the backend server on this machine.
        service: service that the backend server runs.
        platform: address of the store.
    """

    node_name: str
    ip: str
    zone: str
    zones: dict[str, str]
    listen_addrs: ListenAddresses
    seed_nodes: tuple[str, ...] = ()
    limits: MachineLimits
    heartbeat_ms: Annotated[int, Meta(gt=0)] = HEARTBEAT_MS
    bounds: tuple[str, ...] = ()
    app_addr: str
    service: str
    platform: StoreAddress


def read_settings(path: Path | str) -> Result[PlatformFile, Faults]:
    """Read the platform's settings file.

    Args:
        path: path of the file.

    Returns:
        The fields of the file, or why it cannot be used.
    """
    text = read_text(path)
    if isinstance(text, Err):
        return text
    decoded = decode_json(
        text.ok_value, PlatformFile, code=Code.settings_malformed
    )
    checked = decoded.and_then(_check_file)
    return checked.map_err(partial(_describe_failure, str(path)))


def translate_settings(platform_file: PlatformFile) -> Settings:
    """Translate the platform's settings into those of a daemon.

    Args:
        platform_file: fields of the platform's settings file.

    Returns:
        Settings of the daemon.
    """
    backend = _parse_address(platform_file.app_addr)
    bounds = read_bounds(platform_file.bounds)
    descriptors = platform_file.limits.max_fds - DESCRIPTORS_FOR_FILES
    return Settings(
        instance=InstanceId(platform_file.ip),
        name=platform_file.node_name,
        service=ServiceName(platform_file.service),
        data_centre=DataCentre(platform_file.zone),
        region=Region(platform_file.zones[platform_file.zone]),
        host=platform_file.ip,
        entry_port=_parse_address(platform_file.listen_addrs.outbound).port,
        owner_port=_parse_address(platform_file.listen_addrs.inbound).port,
        ready_port=_parse_address(platform_file.listen_addrs.ready).port,
        control_port=_parse_address(platform_file.listen_addrs.control).port,
        admin_port=ADMIN_PORT,
        backend=BackendSettings(host=backend.host, port=backend.port),
        platform=PlatformSettings(
            url=f'http://{platform_file.platform.address}'
        ),
        limits=LimitSettings(
            connections=descriptors // DESCRIPTORS_PER_CONNECTION,
            memory_mb=platform_file.limits.memory_mb,
            drain_seconds=bounds.stop_seconds - STOP_MARGIN_SECONDS,
            announce_seconds=ANNOUNCE_SECONDS,
            linger_seconds=ANNOUNCE_SECONDS,
            line_mbps=platform_file.limits.link_mbps,
        ),
        bounds=bounds,
        distribution=DistributionSettings(
            seeds=tuple(
                f'tcp://{seed}'
                for seed in platform_file.seed_nodes
                if seed != platform_file.listen_addrs.control
            ),
        ),
        calls=CallSettings(choice=ChooserName.expected_time),
    )


def read_bounds(entries: tuple[str, ...]) -> BoundSettings:
    """Read the published figures; missing ones keep their defaults.

    Args:
        entries: figures, each as ``name=figure``; entries whose figure is
            not a number are skipped.

    Returns:
        The figures to use.
    """
    figures: dict[str, float] = {}
    for text in entries:
        name, _separator, figure = text.partition('=')
        if figure.isascii() and figure.replace('.', '', 1).isdigit():
            figures[name] = float(figure)
    default = BoundSettings()
    return BoundSettings(
        apply_seconds=_find_seconds(figures, 'applyMs', default.apply_seconds),
        drain_seconds=_find_seconds(figures, 'drainMs', default.drain_seconds),
        stop_seconds=figures.get('graceS', default.stop_seconds),
        retry_share=figures.get('budgetRatio', default.retry_share),
        retry_window_seconds=figures.get(
            'budgetWindowS',
            default.retry_window_seconds,
        ),
        retry_slack=figures.get('budgetSlack', default.retry_slack),
        slow_start_factor=figures.get('coldOver', default.slow_start_factor),
        slow_start_slack=figures.get('coldSlack', default.slow_start_slack),
        expects_slow_start='coldOver' in figures or 'coldSlack' in figures,
    )


def _find_seconds(
    figures: dict[str, float],
    name: str,
    default: float,
) -> float:
    if name not in figures:
        return default
    return figures[name] / MILLISECONDS


def _check_file(
    platform_file: PlatformFile,
) -> Result[PlatformFile, DecodingFailure]:
    listen = platform_file.listen_addrs
    for text in (
        platform_file.app_addr,
        listen.inbound,
        listen.outbound,
        listen.ready,
        listen.control,
    ):
        address = decode_address(text, code=Code.settings_malformed)
        if isinstance(address, Err):
            return address
    if platform_file.zone in platform_file.zones:
        return Ok(platform_file)
    detail = f'got data centre {platform_file.zone!r}, which has no region'
    return Err(DecodingFailure(code=Code.settings_malformed, detail=detail))


def _describe_failure(path: str, failure: DecodingFailure) -> Faults:
    fault = Fault(
        code=failure.code,
        where=path,
        got=failure.detail,
        expected="the platform's settings as a JSON object",
    )
    return (fault,)


def _parse_address(text: str) -> Address:
    return decode_address(text, code=Code.settings_malformed).unwrap()
