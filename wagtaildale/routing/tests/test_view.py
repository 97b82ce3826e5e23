"""Tests of the snapshot that calls are routed by."""

from __future__ import annotations

from msgspec import structs

from wagtaildale.membership.records import InstanceRecord
from wagtaildale.routing.view import ViewHolder
from wagtaildale.testing.builders import build_instances, build_record
from wagtaildale.types import InstanceId

HOST = '10.1.0.8'


def build_at(name: str, *, port: int, since: int) -> InstanceRecord:
    record = build_record(name, host=HOST)
    return structs.replace(record, backend_port=port, since=since)


def list_known(*records: InstanceRecord) -> set[InstanceId]:
    view = ViewHolder()
    view.take_instances(build_instances(*records))
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
