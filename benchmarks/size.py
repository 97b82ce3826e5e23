"""Measures the cost of one node's state at full size.

The pure parts of a node get documents of the largest supported size: 360
services and 2,500 instances. The baseline is a tenth of that, in the same
run.
"""

from __future__ import annotations

import time
import tracemalloc
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from benchmarks.measurements import Measurement
from wagtaildale.configuration.validation import check_parts
from wagtaildale.distribution.checks import CHECKS
from wagtaildale.distribution.wire import (
    Envelope,
    Holding,
    OutlineSent,
    Push,
    encode_envelope,
)
from wagtaildale.document.decisions import decide_offer
from wagtaildale.document.messages import DeltaOffered
from wagtaildale.document.model import (
    Document,
    make_delta,
    make_document,
    make_outline,
)
from wagtaildale.document.state import StoreState, make_store
from wagtaildale.membership.news import News
from wagtaildale.membership.topology import Member, compute_topology
from wagtaildale.routing.table import RoutingTable
from wagtaildale.testing.builders import (
    build_instances,
    build_part,
    build_record,
)
from wagtaildale.types import (
    DataCentre,
    DocumentKind,
    Incarnation,
    InstanceId,
    NodeState,
    Version,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

SERVICES: Final = 360
INSTANCES: Final = 2500
DATA_CENTRES: Final = 10
BASELINE_DIVISOR: Final = 10
REPEATS: Final = 20
LOOKUPS: Final = 2000
MILLISECONDS: Final = 1000
MICROSECONDS: Final = 1_000_000
MEGABYTE: Final = 1_000_000
SENDER: Final = News(InstanceId('i0'), Incarnation(1), 0, NodeState.ready)


class Size(Struct, frozen=True, kw_only=True):
    """Number of services and instances in a fleet."""

    services: int
    instances: int


class Costs(Struct, frozen=True, kw_only=True):
    """Processing time, memory and message sizes of one node's state."""

    change_apply_ms: float
    table_build_ms: float
    find_class_us: float
    list_apply_ms: float
    topology_ms: float
    state_mb: float
    change_push_bytes: float
    list_push_bytes: float
    manifest_bytes: float


def measure_size() -> Iterator[Measurement]:
    """Measure the full size with a tenth of it as baseline.

    Yields:
        One measurement for each field of ``Costs``.
    """
    full = _measure(Size(services=SERVICES, instances=INSTANCES))
    tenth = _measure(
        Size(
            services=SERVICES // BASELINE_DIVISOR,
            instances=INSTANCES // BASELINE_DIVISOR,
        ),
    )
    for name in Costs.__struct_fields__:
        yield Measurement(
            name=f'size_{name}',
            amount=getattr(full, name),
            unit=name.rpartition('_')[2],
            nodes=INSTANCES,
            baseline='a_tenth',
            baseline_amount=getattr(tenth, name),
        )


def _measure(size: Size) -> Costs:
    tracemalloc.start()
    configuration = _make_filled_store(
        DocumentKind.configuration, _build_configuration(size, 1)
    )
    instances = _make_filled_store(
        DocumentKind.instances, _build_instance_list(size, 1)
    )
    state = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    parts = check_parts(configuration.held.blobs).unwrap()
    table = RoutingTable(parts)
    places = [
        Member(InstanceId(f'i{number}'), _assign_data_centre(number))
        for number in range(size.instances)
    ]
    change = _build_configuration(size, 2)
    listing = _build_instance_list(size, 2)
    return Costs(
        change_apply_ms=_time_apply(configuration.held, change),
        table_build_ms=_time_fastest(lambda: RoutingTable(parts))
        * MILLISECONDS,
        find_class_us=_time_lookups(table, size) * MICROSECONDS,
        list_apply_ms=_time_apply(instances.held, listing),
        topology_ms=_time_fastest(
            lambda: compute_topology(places, own=places[0])
        )
        * MILLISECONDS,
        state_mb=state / MEGABYTE,
        change_push_bytes=_measure_push(configuration.held, change),
        list_push_bytes=_measure_push(instances.held, listing),
        manifest_bytes=_measure_outline(change),
    )


def _build_configuration(size: Size, version: int) -> Document:
    blobs = {
        f's{number}': build_part(f's{number}')
        for number in range(size.services)
    }
    blobs['s0'] = build_part('s0', within_ms=100 + version)
    return make_document(
        DocumentKind.configuration,
        version=Version(version),
        blobs=blobs,
    )


def _build_instance_list(size: Size, version: int) -> Document:
    records = [
        build_record(
            f'i{number}',
            service=f's{number % size.services}',
            data_centre=_assign_data_centre(number),
        )
        for number in range(size.instances)
    ]
    records[-1] = build_record(f'new{version}', service='s0')
    return build_instances(*records, version=version)


def _assign_data_centre(number: int) -> DataCentre:
    return DataCentre(f'dc{number % DATA_CENTRES}')


def _make_filled_store(kind: DocumentKind, document: Document) -> StoreState:
    store = make_store(kind, check=CHECKS[kind])
    delta = make_delta(store.held, target=document)
    decide_offer(DeltaOffered(delta=delta), store)
    return store


def _time_apply(base: Document, target: Document) -> float:
    delta = make_delta(base, target=target)
    durations = []
    for _repeat in range(REPEATS):
        store = make_store(base.kind, check=CHECKS[base.kind])
        store.held = base
        started = time.perf_counter()
        decide_offer(DeltaOffered(delta=delta), store)
        durations.append(time.perf_counter() - started)
    return min(durations) * MILLISECONDS


def _time_fastest(step: Callable[[], object]) -> float:
    durations = []
    for _repeat in range(REPEATS):
        started = time.perf_counter()
        step()
        durations.append(time.perf_counter() - started)
    return min(durations)


def _time_lookups(table: RoutingTable, size: Size) -> float:
    paths = [
        f'/s{number % size.services}/{number}' for number in range(LOOKUPS)
    ]

    def find_all() -> None:
        for path in paths:
            assert table.find('GET', path) is not None

    return _time_fastest(find_all) / LOOKUPS


def _measure_push(base: Document, target: Document) -> float:
    delta = make_delta(base, target=target)
    holding = Holding(base.kind, base.version, base.digest, 0, 0)
    body = Push(delta, holding)
    return len(encode_envelope(Envelope(InstanceId('i1'), (SENDER,), 1, body)))


def _measure_outline(document: Document) -> float:
    body = OutlineSent(make_outline(document))
    return len(encode_envelope(Envelope(InstanceId('i1'), (SENDER,), 1, body)))
