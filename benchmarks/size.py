"""What the state of one node costs at the size to build for.

The pure parts of a node are given documents of full size: 360 services and
2,500 instances. The baseline is a tenth of that, in the same run.
"""

from __future__ import annotations

import time
import tracemalloc
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from benchmarks.figures import Figure
from wagtaildale.configuration.validation import check_parts
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
from wagtaildale.distribution.checks import CHECKS
from wagtaildale.membership.news import News
from wagtaildale.membership.topology import Place, compute_topology
from wagtaildale.routing.table import RoutingTable
from wagtaildale.testing.builders import (
    build_instances,
    build_part,
    build_record,
)
from wagtaildale.types import (
    DataCentre,
    Incarnation,
    InstanceId,
    DocumentKind,
    NodeState,
    Version,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

SERVICES: Final = 360
INSTANCES: Final = 2500
DATA_CENTRES: Final = 10
TENTH: Final = 10
REPEATS: Final = 20
LOOKUPS: Final = 2000
MILLISECONDS: Final = 1000
MICROSECONDS: Final = 1_000_000
MEGABYTE: Final = 1_000_000
SENDER: Final = News(InstanceId('i0'), Incarnation(1), 0, NodeState.ready)


class Size(Struct, frozen=True, kw_only=True):
    """How large a fleet is."""

    services: int
    instances: int


class Costs(Struct, frozen=True, kw_only=True):
    """What one node's state costs."""

    change_apply_ms: float
    table_build_ms: float
    find_class_us: float
    list_apply_ms: float
    topology_ms: float
    state_mb: float
    change_push_bytes: float
    list_push_bytes: float
    manifest_bytes: float


def measure_size() -> Iterator[Figure]:
    """Measure the full size and a tenth of it.

    Yields:
        Each cost.
    """
    full = _measure(Size(services=SERVICES, instances=INSTANCES))
    tenth = _measure(
        Size(services=SERVICES // TENTH, instances=INSTANCES // TENTH),
    )
    for name in Costs.__struct_fields__:
        yield Figure(
            name=f'size_{name}',
            amount=getattr(full, name),
            unit=name.rpartition('_')[2],
            nodes=INSTANCES,
            baseline='a_tenth',
            baseline_amount=getattr(tenth, name),
        )


def _measure(size: Size) -> Costs:
    tracemalloc.start()
    configuration = _fill(
        DocumentKind.configuration, _build_configuration(size, 1)
    )
    instances = _fill(DocumentKind.instances, _build_list(size, 1))
    state = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    parts = check_parts(configuration.held.blobs).unwrap()
    table = RoutingTable(parts)
    places = [
        Place(InstanceId(f'i{number}'), _find_centre(number))
        for number in range(size.instances)
    ]
    change = _build_configuration(size, 2)
    listing = _build_list(size, 2)
    return Costs(
        change_apply_ms=_time_apply(configuration.held, change),
        table_build_ms=_time(lambda: RoutingTable(parts)) * MILLISECONDS,
        find_class_us=_time_lookups(table, size) * MICROSECONDS,
        list_apply_ms=_time_apply(instances.held, listing),
        topology_ms=_time(lambda: compute_topology(places, own=places[0]))
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


def _build_list(size: Size, version: int) -> Document:
    records = [
        build_record(
            f'i{number}',
            service=f's{number % size.services}',
            data_centre=_find_centre(number),
        )
        for number in range(size.instances)
    ]
    records[-1] = build_record(f'new{version}', service='s0')
    return build_instances(*records, version=version)


def _find_centre(number: int) -> DataCentre:
    return DataCentre(f'dc{number % DATA_CENTRES}')


def _fill(kind: DocumentKind, document: Document) -> StoreState:
    store = make_store(kind, check=CHECKS[kind])
    delta = make_delta(store.held, target=document)
    decide_offer(DeltaOffered(delta=delta), store)
    return store


def _time_apply(base: Document, target: Document) -> float:
    delta = make_delta(base, target=target)
    spent = []
    for _repeat in range(REPEATS):
        store = make_store(base.kind, check=CHECKS[base.kind])
        store.held = base
        started = time.perf_counter()
        decide_offer(DeltaOffered(delta=delta), store)
        spent.append(time.perf_counter() - started)
    return min(spent) * MILLISECONDS


def _time(step: Callable[[], object]) -> float:
    spent = []
    for _repeat in range(REPEATS):
        started = time.perf_counter()
        step()
        spent.append(time.perf_counter() - started)
    return min(spent)


def _time_lookups(table: RoutingTable, size: Size) -> float:
    paths = [
        f'/s{number % size.services}/{number}' for number in range(LOOKUPS)
    ]

    def find_all() -> None:
        for path in paths:
            assert table.find('GET', path) is not None

    return _time(find_all) / LOOKUPS


def _measure_push(base: Document, target: Document) -> float:
    delta = make_delta(base, target=target)
    holding = Holding(base.kind, base.version, base.digest, 0, 0)
    body = Push(delta, holding)
    return len(encode_envelope(Envelope(InstanceId('i1'), (SENDER,), 1, body)))


def _measure_outline(document: Document) -> float:
    body = OutlineSent(make_outline(document))
    return len(encode_envelope(Envelope(InstanceId('i1'), (SENDER,), 1, body)))
