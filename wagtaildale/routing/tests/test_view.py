"""Tests of the snapshot that calls are routed by."""

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
    """After all machines lost power half of all requests are refused.

    The dead servers' entries stand in the list for some seconds, beside
    those of the servers that started at the same addresses. Requests for
    the dead ones reach the new ones, which refuse them.
    """
    dead = build_at('dead', port=8145, since=3)
    started = build_at('started', port=8145, since=40)
    assert list_known(dead, started) == {'started'}
    assert list_known(started, dead) == {'started'}


def test_instances_at_other_ports_stay() -> None:
    first = build_at('first', port=8145, since=3)
    second = build_at('second', port=8150, since=40)
    assert list_known(first, second) == {'first', 'second'}


def test_platform_that_tells_no_address_replaces_nobody() -> None:
    first = build_at('first', port=0, since=0)
    second = build_at('second', port=0, since=0)
    assert list_known(first, second) == {'first', 'second'}


def test_later_start_counts_before_the_later_entry() -> None:
    """Two servers say that they have one address; one of them is gone."""
    dead = structs.replace(build_at('dead', port=8145, since=40), born=100)
    started = structs.replace(build_at('alive', port=8145, since=3), born=900)
    assert list_known(dead, started) == {'alive'}


def test_service_that_nobody_published_displaces_no_server() -> None:
    """A server vanishes though it runs, and its service is refused.

    Another writer has put an entry beside it with the server's address and
    a service of its own making; the later entry was taken for the server.
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


def test_service_published_after_its_servers_are_listed() -> None:
    view = ViewHolder()
    view.replace_instances(build_instances(build_at('a', port=8145, since=3)))
    view.replace_configuration(build_configuration())
    assert set(view.current.records) == {'a'}
