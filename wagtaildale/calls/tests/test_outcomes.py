"""Tests of what a caller is told in the end, each with its story."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import pytest
from msgspec import json, structs

from wagtaildale.admission.limits import Ending
from wagtaildale.calls.tests.pairs import OUTCOME, PATIENCE, Pair, wait_until
from wagtaildale.testing.builders import SLOTS, build_record
from wagtaildale.testing.mesh import MeshNode
from wagtaildale.types import ListedState

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wagtaildale.admission.messages import TicketId


@pytest.fixture
def refuser(pair: Pair) -> Iterator[MeshNode]:
    """A second owner, that refuses whatever comes to it."""
    node = MeshNode(build_record('c', host='127.0.9.3'))
    node.drain()
    pair.near.show(pair.far.record, node.record)
    yield node
    node.close()


def give_back(node: MeshNode, ticket: TicketId) -> None:
    """Free a slot that was held."""
    gate = node.gate
    node.calls.loop.submit(
        lambda: gate.release_slot(ticket, seconds=0, ending=Ending.abandoned),
    ).result(PATIENCE)


def test_lookup_that_has_run_is_never_called_not_run(
    pair: Pair,
    refuser: MeshNode,
) -> None:
    """A caller hears "not run" of a lookup that a server has worked on.

    Its first server runs it and the answer is lost; the second one refuses
    it unrun. What the second one says is true of the second one alone.
    """
    pair.backend.faults.close_share = 1
    for claim in range(10):
        runs = pair.backend.counts.runs
        response, _text = pair.ask('GET', f'/files/{claim}')
        has_run = pair.backend.counts.runs > runs
        said_not_run = response.headers[OUTCOME].startswith('not-run')
        assert not (has_run and said_not_run)
        assert not (has_run and response.status in {429, 503})


def test_error_of_a_server_is_passed_on_when_nobody_does_better(
    pair: Pair,
    refuser: MeshNode,
) -> None:
    """A caller gets a refusal in place of the answer that there was.

    A server answers a lookup with an error, and the second one refuses the
    lookup unrun. The error is the answer.
    """
    pair.backend.faults.error = True
    for claim in range(10):
        runs = pair.backend.counts.runs
        response, text = pair.ask('GET', f'/files/{claim}')
        if pair.backend.counts.runs > runs:
            assert response.status == 500
            assert json.decode(text)['by'] == 'b'


def test_call_that_waits_at_a_leaving_server_does_not_run_there(
    pair: Pair,
) -> None:
    """A lookup reaches a server long after all know that it leaves.

    It waits for a slot when the news comes. Whoever comes later is sent
    elsewhere; the lookup runs as soon as a slot is free, however late.
    """
    far = pair.far
    held = [far.hold_slot().ticket for _slot in range(SLOTS)]
    with ThreadPoolExecutor(1) as executor:
        asked = executor.submit(pair.ask, 'GET', '/files/1')
        wait_until(lambda: bool(far.gate.state.queue))
        far.show(structs.replace(far.record, state=ListedState.leaving))
        for ticket in held:
            give_back(far, ticket)
        response, _text = asked.result(PATIENCE)
    assert pair.backend.counts.runs == 0
    assert response.headers[OUTCOME].startswith('not-run')
