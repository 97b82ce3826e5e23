"""The platform's settings file, decoded into the product's settings."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Final

from msgspec import Meta, MsgspecError, Struct, json
from result import Err, Ok, Result

from wagtaildale.calls.addresses import Address
from wagtaildale.configuration.files import read_text
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

    from wagtaildale.errors.faults import Faults

DESCRIPTORS_FOR_FILES: Final = 200
# A caller's connection, and one to a node or the backend server for it.
DESCRIPTORS_PER_CONNECTION: Final = 2
MILLISECONDS: Final = 1000
# The deploy file names where metrics are scraped, so the port is the same on
# every day; that of OpenTelemetry's own Prometheus exporters.
ADMIN_PORT: Final = 9464
# Where the platform does not say: its operators' usual figure.
HEARTBEAT_MS: Final = round(HEARTBEAT_SECONDS * MILLISECONDS)
# The bound of the planned stop is this long before the process would be
# killed. Ending then takes up to 0.6 s: a look, the tasks' end, the log's end.
STOP_MARGIN_SECONDS: Final = 0.7
# The platform asks each second whether a node is ready and sends its callers
# elsewhere after two misses.
ANNOUNCE_SECONDS: Final = 2.4


class ListenAddresses(Struct, frozen=True, kw_only=True):
    """Where a process listens.

    Attributes:
        inbound: for other nodes' calls to the backend server here.
        outbound: for requests of callers and of the backend server here.
        ready: where the platform asks whether the node takes callers.
        control: for control messages between nodes.
    """

    inbound: str
    outbound: str
    ready: str
    control: str


class MachineLimits(Struct, frozen=True, kw_only=True, rename='camel'):
    """What the machine gives a process.

    Attributes:
        max_fds: descriptors, those for files among them.
        memory_mb: megabytes; over it the process is killed.
        link_mbps: megabits a second of its line; 0 if not told.
    """

    max_fds: int
    memory_mb: int
    link_mbps: float = 0


class StoreAddress(Struct, frozen=True, kw_only=True, rename='camel'):
    """The platform's store.

    Attributes:
        address: IP number and port.
        reads_per_s: calls that it answers for all nodes together.
    """

    address: str
    reads_per_s: float = 0


class PlatformFile(Struct, frozen=True, kw_only=True, rename='camel'):
    """The fields of the settings file that are used.

    Attributes:
        node_name: for people.
        ip: of the machine.
        zone: the data centre it stands in.
        zones: the region of each data centre.
        listen_addrs: where the process listens.
        seed_nodes: control addresses of some nodes, perhaps down or gone.
        limits: what the machine gives.
        heartbeat_ms: between two writes of an instance to its entry.
        bounds: the platform's figures, as ``name=figure``.
        app_addr: the backend server on this machine.
        service: that it runs.
        platform: the store.
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
        path: the file.

    Returns:
        Its fields, or why it cannot be used.
    """
    text = read_text(path)
    if isinstance(text, Err):
        return text
    try:
        return Ok(json.decode(text.ok_value, type=PlatformFile))
    except MsgspecError as error:
        fault = Fault(
            code=Code.settings_malformed,
            where=str(path),
            got=str(error),
            expected="the platform's settings",
        )
        return Err((fault,))


def translate_settings(given: PlatformFile) -> Settings:
    """Say in the product's words what the platform's settings say.

    Args:
        given: the file's fields.

    Returns:
        Settings of a daemon.
    """
    backend = split_address(given.app_addr)
    bounds = read_bounds(given.bounds)
    descriptors = given.limits.max_fds - DESCRIPTORS_FOR_FILES
    return Settings(
        instance=InstanceId(given.ip),
        name=given.node_name,
        service=ServiceName(given.service),
        data_centre=DataCentre(given.zone),
        region=Region(given.zones[given.zone]),
        host=given.ip,
        entry_port=split_address(given.listen_addrs.outbound).port,
        owner_port=split_address(given.listen_addrs.inbound).port,
        ready_port=split_address(given.listen_addrs.ready).port,
        control_port=split_address(given.listen_addrs.control).port,
        admin_port=ADMIN_PORT,
        backend=BackendSettings(host=backend.host, port=backend.port),
        platform=PlatformSettings(url=f'http://{given.platform.address}'),
        limits=LimitSettings(
            connections=descriptors // DESCRIPTORS_PER_CONNECTION,
            drain_seconds=bounds.stop_seconds - STOP_MARGIN_SECONDS,
            announce_seconds=ANNOUNCE_SECONDS,
            linger_seconds=ANNOUNCE_SECONDS,
        ),
        bounds=bounds,
        distribution=DistributionSettings(
            seeds=tuple(
                f'tcp://{seed}'
                for seed in given.seed_nodes
                if seed != given.listen_addrs.control
            ),
        ),
        calls=CallSettings(choice=ChooserName.expected_time),
    )


def read_bounds(texts: tuple[str, ...]) -> BoundSettings:
    """Read the platform's figures; those it does not name keep defaults.

    Args:
        texts: ``name=figure`` each.

    Returns:
        The figures that are used.
    """
    figures: dict[str, float] = {}
    for text in texts:
        name, _sign, figure = text.partition('=')
        if figure.replace('.', '', 1).isdigit():
            figures[name] = float(figure)
    usual = BoundSettings()
    return BoundSettings(
        apply_seconds=_find_seconds(figures, 'applyMs', usual.apply_seconds),
        drain_seconds=_find_seconds(figures, 'drainMs', usual.drain_seconds),
        stop_seconds=figures.get('graceS', usual.stop_seconds),
        retry_share=figures.get('budgetRatio', usual.retry_share),
        retry_window_seconds=figures.get(
            'budgetWindowS',
            usual.retry_window_seconds,
        ),
        retry_slack=figures.get('budgetSlack', usual.retry_slack),
    )


def _find_seconds(
    figures: dict[str, float],
    name: str,
    usual: float,
) -> float:
    if name not in figures:
        return usual
    return figures[name] / MILLISECONDS


def split_address(text: str) -> Address:
    """Split an address at its colon.

    Args:
        text: IP number and port.

    Returns:
        The address.
    """
    host, _colon, port = text.rpartition(':')
    return Address(host, int(port))
