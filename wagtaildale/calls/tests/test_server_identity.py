"""Tests of what an owner knows of who its backend server is."""

from __future__ import annotations

from wagtaildale.calls.server_identity import (
    MAX_DENIED_INSTANCES,
    DENIED_SECONDS,
    ServerIdentity,
)
from wagtaildale.types import InstanceId

EARLIER = InstanceId('earlier')
LATER = InstanceId('later')


def test_server_that_said_nothing_is_whoever_is_named() -> None:
    assert ServerIdentity().find_target(EARLIER, now=0) == EARLIER


def test_instance_that_comes_back_under_its_id_is_found_out() -> None:
    """A server starts again under its id, and its owner refuses its work."""
    server = ServerIdentity()
    server.note_denied(EARLIER, now=5)
    assert server.find_target(EARLIER, now=5) is None
    assert server.find_target(LATER, now=5) == LATER
    assert server.find_target(EARLIER, now=5 + DENIED_SECONDS) == EARLIER


def test_names_that_are_kept_are_bounded() -> None:
    """Requests that name made-up instances fill a node's memory."""
    server = ServerIdentity()
    server.note_denied(EARLIER, now=0)
    for number in range(MAX_DENIED_INSTANCES):
        server.note_denied(InstanceId(f'i-{number}'), now=0)
    assert server.find_target(EARLIER, now=0) == EARLIER


def test_server_that_said_who_it_is_gets_the_work_of_the_one_before() -> None:
    server = ServerIdentity()
    server.note_denied(EARLIER, now=0)
    server.note_identified(LATER)
    assert server.find_target(EARLIER, now=DENIED_SECONDS) == LATER
    server.note_denied(LATER, now=5)
    assert server.find_target(EARLIER, now=5) == EARLIER
    assert server.find_target(LATER, now=5) is None
