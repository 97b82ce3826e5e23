"""Tests of the announcements of servers that leave."""

from __future__ import annotations

from msgspec import structs

from wagtaildale.routing.leaving_servers import (
    MAX_LEAVING_SERVERS,
    LeavingServer,
    LeavingServers,
)
from wagtaildale.testing.builders import build_record
from wagtaildale.types import InstanceId, ListedState

SERVER = InstanceId('a')


def test_announcement_holds_in_any_listed_state() -> None:
    """A lagging list shows a leaving server as live for some time."""
    leaving_servers = LeavingServers()
    record = build_record(SERVER)
    assert not leaving_servers.is_leaving(record)
    assert leaving_servers.note(LeavingServer(SERVER))
    assert not leaving_servers.note(LeavingServer(SERVER))
    for state in ListedState:
        assert leaving_servers.is_leaving(structs.replace(record, state=state))


def test_announcement_holds_for_one_run_of_a_server() -> None:
    """Without this, a server that restarts under its id gets no more work."""
    leaving_servers = LeavingServers()
    leaving_servers.note(LeavingServer(SERVER, 7))
    restarted = structs.replace(build_record(SERVER), born=8)
    assert not leaving_servers.is_leaving(restarted)
    assert leaving_servers.note(LeavingServer(SERVER, 8))
    assert leaving_servers.is_leaving(restarted)


def test_number_of_announcements_is_bounded() -> None:
    leaving_servers = LeavingServers()
    for number in range(MAX_LEAVING_SERVERS + 1):
        leaving_servers.note(LeavingServer(InstanceId(f'i{number}')))
    assert not leaving_servers.has_any_run(InstanceId('i0'))
    assert leaving_servers.has_any_run(InstanceId('i1'))
