"""Tests of answers that their callers read late, over real sockets."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

import pytest

from wagtaildale.calls.tests.downloads import DownloadingEntry, join_body
from wagtaildale.calls.tests.pairs import Pair, wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator

# More than a window.
SIZE: Final = 600_000
DEADLINE_MS: Final = 300
MILLISECONDS: Final = 1000


@pytest.fixture
def raw_entry(pair: Pair) -> Iterator[DownloadingEntry]:
    made = DownloadingEntry(pair)
    yield made
    made.close()
    assert not pair.owner_node.invariants.broken


def test_slot_is_free_while_the_caller_reads(
    pair: Pair, raw_entry: DownloadingEntry
) -> None:
    """Callers that don't read hold all slots of an idle server."""
    raw_entry.ask(size=SIZE, bulk=False)
    frames = [raw_entry.receive()]
    wait_until(lambda: not pair.owner_node.gate.state.running)
    assert pair.owner_node.calls.active_calls == 1
    assert pair.owner_node.calls.memory.held_bytes > SIZE / 2
    raw_entry.acknowledge(frames[0])
    frames += raw_entry.receive_response()
    assert len(join_body(frames)) > SIZE
    wait_until(lambda: not pair.owner_node.calls.active_calls)
    assert not pair.owner_node.calls.memory.held_bytes


def test_answer_is_delivered_after_its_deadline(
    raw_entry: DownloadingEntry,
) -> None:
    """An answer that is being read is cut at its deadline."""
    raw_entry.ask(size=SIZE, bulk=False, remaining_ms=DEADLINE_MS)
    frames = [raw_entry.receive()]
    time.sleep(2 * DEADLINE_MS / MILLISECONDS)
    raw_entry.acknowledge(frames[0])
    frames += raw_entry.receive_response()
    assert len(join_body(frames)) > SIZE
