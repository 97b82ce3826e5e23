"""Tests of the tracked identity of a backend server."""

from __future__ import annotations

from wagtaildale.calls.owner.server_identity import (
    DENIAL_RECHECK_SECONDS,
    MAX_DENIED_INSTANCES,
    ServerIdentity,
)
from wagtaildale.types import InstanceId

EARLIER = InstanceId('earlier')
LATER = InstanceId('later')


def test_unidentified_server_accepts_every_instance() -> None:
    assert ServerIdentity().find_target(EARLIER, now=0) == EARLIER


def test_denied_instance_is_tried_again_after_the_interval() -> None:
    """A server restarts under its id, and its owner refuses its requests."""
    server = ServerIdentity()
    server.note_denied(EARLIER, now=5)
    assert server.find_target(EARLIER, now=5) is None
    assert server.find_target(LATER, now=5) == LATER
    assert (
        server.find_target(EARLIER, now=5 + DENIAL_RECHECK_SECONDS) == EARLIER
    )


def test_number_of_stored_instances_is_bounded() -> None:
    """Requests for made-up instances fill the memory of a node."""
    server = ServerIdentity()
    server.note_denied(EARLIER, now=0)
    for number in range(MAX_DENIED_INSTANCES):
        server.note_denied(InstanceId(f'i-{number}'), now=0)
    assert server.find_target(EARLIER, now=0) == EARLIER


def test_identified_server_gets_the_requests_of_its_predecessor() -> None:
    server = ServerIdentity()
    server.note_denied(EARLIER, now=0)
    server.note_identified(LATER)
    assert server.find_target(EARLIER, now=DENIAL_RECHECK_SECONDS) == LATER
    server.note_denied(LATER, now=5)
    assert server.find_target(EARLIER, now=5) == EARLIER
    assert server.find_target(LATER, now=5) is None
