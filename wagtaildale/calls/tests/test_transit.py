"""Tests of messages that the line between two nodes held up."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import pytest
from msgspec import structs

from wagtaildale.calls.tests.lines import HeldLine
from wagtaildale.calls.tests.pairs import Pair

if TYPE_CHECKING:
    from collections.abc import Iterator

LINE_PORT = 8077
# Far longer than any delay of a busy machine by which a message that was
# usual may seem held up, or the other way about.
MARGIN_SECONDS = 0.5


@pytest.fixture
def line(pair: Pair) -> Iterator[HeldLine]:
    """The line between both nodes of the pair."""
    record = pair.far.record
    made = HeldLine(
        (record.host, LINE_PORT),
        beyond=(record.host, record.owner_port),
    )
    pair.near.show(structs.replace(record, owner_port=LINE_PORT))
    yield made
    made.close()


def test_lookup_that_the_line_held_up_is_run_for_nobody(
    pair: Pair,
    line: HeldLine,
) -> None:
    """A server works on a lookup whose caller was given an error long ago.

    The line to the server's node stands still after the run message was
    written to it. The caller's deadline passes, the line moves again, and
    the message comes with the time left that it was sent with: the node
    counts that from the arrival, and has the server run the lookup.
    """
    for claim in range(3):
        response, _text = pair.ask('GET', f'/files/{claim}')
        assert response.status == 200
    line.hold()
    late = {'wagtaildale-deadline-ms': '200', 'x-booking': 'late'}
    response, _text = pair.ask('GET', '/files/3', headers=late)
    assert response.status == 504
    time.sleep(MARGIN_SECONDS)
    line.release()
    # It comes after the late one, on the same connection.
    response, _text = pair.ask('GET', '/files/4')
    assert response.status == 200
    assert 'late' not in pair.backend.counts.by_key
