"""Tests of how an owner reports the listing of its server."""

from __future__ import annotations

from wagtaildale.calls.owner.server_listing import Listed
from wagtaildale.calls.tests.targets import build_targets
from wagtaildale.testing.builders import build_record
from wagtaildale.types import InstanceId, ListedState

SERVER = InstanceId('server')


def test_request_sent_to_an_unlisted_server_is_counted() -> None:
    """Logs do not tell late lists from servers that are in no list."""
    targets = build_targets()
    listing = targets.find_listing(SERVER, is_sent=True)
    assert listing.describe() == {'listed': Listed.absent.value, 'list': 0}
    assert targets.unlisted_count == 1


def test_listing_tells_live_from_leaving() -> None:
    live = build_targets(build_record(SERVER))
    assert live.find_listing(SERVER, is_sent=True).listed is Listed.live
    assert not live.unlisted_count
    leaving = build_targets(build_record(SERVER, state=ListedState.leaving))
    assert leaving.find_listing(SERVER, is_sent=True).listed is Listed.leaving
    assert leaving.unlisted_count == 1
