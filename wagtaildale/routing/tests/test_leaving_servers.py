"""Tests of what is remembered of servers that leave."""

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


def test_word_holds_whatever_the_list_says() -> None:
    """A list that lags names a leaving server as ready, and later not."""
    leaving_servers = LeavingServers()
    record = build_record(SERVER)
    assert not leaving_servers.has(record)
    assert leaving_servers.note(LeavingServer(SERVER))
    assert not leaving_servers.note(LeavingServer(SERVER))
    for state in ListedState:
        assert leaving_servers.has(structs.replace(record, state=state))


def test_word_is_of_one_start() -> None:
    """A server that starts again under its id is left out for good."""
    leaving_servers = LeavingServers()
    leaving_servers.note(LeavingServer(SERVER, 7))
    again = structs.replace(build_record(SERVER), born=8)
    assert not leaving_servers.has(again)
    assert leaving_servers.note(LeavingServer(SERVER, 8))
    assert leaving_servers.has(again)


def test_number_of_words_is_bounded() -> None:
    leaving_servers = LeavingServers()
    for number in range(MAX_LEAVING_SERVERS + 1):
        leaving_servers.note(LeavingServer(InstanceId(f'i{number}')))
    assert not leaving_servers.knows(InstanceId('i0'))
    assert leaving_servers.knows(InstanceId('i1'))
