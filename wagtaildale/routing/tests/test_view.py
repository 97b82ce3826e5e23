"""Tests of the snapshots that calls are routed by."""

from __future__ import annotations

from msgspec import structs

from wagtaildale.membership.records import InstanceRecord
from wagtaildale.routing.view import ViewHolder
from wagtaildale.testing.builders import (
    build_configuration,
    build_instances,
    build_record,
)
from wagtaildale.types import InstanceId, ServiceName

HOST = '10.1.0.8'


def build_at(name: str, *, port: int, since: int) -> InstanceRecord:
    record = build_record(name, host=HOST)
    return structs.replace(record, backend_port=port, since=since)


def list_known(*records: InstanceRecord) -> set[InstanceId]:
    view = ViewHolder()
    view.replace_instances(build_instances(*records))
    return set(view.current.records)


def test_later_instance_at_an_address_replaces_the_earlier() -> None:
    """Prevents refusals of half of all requests after a power failure.

    The records of the dead servers stay in the list for some seconds, beside
    those of the servers that started at the same addresses. Requests for the
    dead ones reach the new ones, which refuse them.
    """
    dead = build_at('dead', port=8145, since=3)
    started = build_at('started', port=8145, since=40)
    assert list_known(dead, started) == {'started'}
    assert list_known(started, dead) == {'started'}


def test_instances_at_different_ports_are_kept() -> None:
    first = build_at('first', port=8145, since=3)
    second = build_at('second', port=8150, since=40)
    assert list_known(first, second) == {'first', 'second'}


def test_instances_without_a_listed_address_are_kept() -> None:
    first = build_at('first', port=0, since=0)
    second = build_at('second', port=0, since=0)
    assert list_known(first, second) == {'first', 'second'}


def test_start_time_takes_precedence_over_first_listed_revision() -> None:
    """Two servers are listed at one address, and one of them is gone."""
    dead = structs.replace(build_at('dead', port=8145, since=40), born=100)
    started = structs.replace(build_at('alive', port=8145, since=3), born=900)
    assert list_known(dead, started) == {'alive'}


def test_record_of_an_unpublished_service_replaces_no_server() -> None:
    """Prevents a running server from disappearing from its service.

    Another program adds a record with the server's address and a service that
    is not published to the list. As the later record it would replace the
    server.
    """
    view = ViewHolder()
    view.replace_configuration(build_configuration())
    foreign = structs.replace(
        build_at('foreign', port=8145, since=40),
        service=ServiceName('nobodys'),
    )
    listed = build_instances(build_at('a', port=8145, since=3), foreign)
    view.replace_instances(listed)
    assert set(view.current.records) == {'a'}


def test_service_may_be_published_after_its_servers_are_listed() -> None:
    view = ViewHolder()
    view.replace_instances(build_instances(build_at('a', port=8145, since=3)))
    view.replace_configuration(build_configuration())
    assert set(view.current.records) == {'a'}


def evacuate(record: InstanceRecord) -> InstanceRecord:
    return structs.replace(record, evacuated=True)


def list_upstreams(view: ViewHolder) -> set[InstanceId]:
    return {
        record.instance
        for records in view.current.upstreams.values()
        for record in records
    }


def test_evacuated_data_centre_has_no_upstreams() -> None:
    """Requests reach servers of a data centre that is being emptied."""
    near = build_record('near', host='10.1.0.8')
    far = build_record('far', host='10.1.0.9', data_centre='coventry')
    view = ViewHolder()
    view.replace_instances(build_instances(evacuate(near), far))
    assert list_upstreams(view) == {'far'}
    assert view.current.evacuated == {'derby'}
    assert view.current.records.keys() == {'near', 'far'}
    view.replace_instances(build_instances(near, far))
    assert list_upstreams(view) == {'near', 'far'}


def test_retained_instance_of_an_evacuated_data_centre_is_not_used() -> None:
    """An entry that lapsed for a moment bears no mark of the evacuation."""
    listed = build_record('listed', host='10.1.0.8')
    lapsed = build_record('lapsed', host='10.1.0.9')
    view = ViewHolder()
    view.replace_overrides([lapsed])
    view.replace_instances(build_instances(evacuate(listed)))
    assert not list_upstreams(view)


def test_all_data_centres_may_be_evacuated() -> None:
    records = [
        build_record('a', host='10.1.0.8'),
        build_record('b', host='10.1.0.9', data_centre='coventry'),
    ]
    view = ViewHolder()
    view.replace_instances(build_instances(*map(evacuate, records)))
    assert not list_upstreams(view)
    assert view.current.evacuated == {'derby', 'coventry'}


def test_each_change_of_records_is_announced() -> None:
    view = ViewHolder()
    changes: list[int] = []
    view.listeners.append(lambda: changes.append(len(view.current.records)))
    view.replace_instances(build_instances(build_record('a')))
    view.replace_instances(build_instances())
    assert changes == [1, 0]
