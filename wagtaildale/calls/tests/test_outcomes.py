"""Tests of the outcome that a caller is given."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import pytest
from msgspec import json, structs

from wagtaildale.admission.limits import Ending
from wagtaildale.calls.tests.pairs import (
    OUTCOME_HEADER,
    TIMEOUT_SECONDS,
    Pair,
    read_code,
    wait_until,
)
from wagtaildale.errors.codes import Code
from wagtaildale.testing.builders import (
    SLOTS,
    build_instances,
    build_record,
)
from wagtaildale.testing.loopback import make_host
from wagtaildale.testing.mesh import MeshNode
from wagtaildale.types import ListedState

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wagtaildale.admission.messages import TicketId
    from wagtaildale.document.model import Document


@pytest.fixture
def rejecting_owner(pair: Pair) -> Iterator[MeshNode]:
    """A second owner, which rejects every request."""
    node = MeshNode(build_record('c', host=make_host(3)))
    node.drain()
    pair.entry_node.set_instances(pair.owner_node.record, node.record)
    yield node
    node.close()


def free_slot(node: MeshNode, ticket: TicketId) -> None:
    """Free a slot that the test holds."""
    gate = node.gate
    node.calls.loop.submit(
        lambda: gate.release_slot(ticket, seconds=0, ending=Ending.abandoned),
    ).result(TIMEOUT_SECONDS)


def test_lookup_that_has_run_is_never_reported_as_not_run(
    pair: Pair,
    rejecting_owner: MeshNode,
) -> None:
    """A server runs a lookup, its response is lost and another rejects it.

    "Not run" is true only of the second server, so the caller must not get
    it.
    """
    pair.backend.faults.close_share = 1
    for claim in range(10):
        runs = pair.backend.counts.runs
        response, _text = pair.ask('GET', f'/files/{claim}')
        has_run = pair.backend.counts.runs > runs
        said_not_run = response.headers[OUTCOME_HEADER].startswith('not-run')
        assert not (has_run and said_not_run)
        assert not (has_run and response.status in {429, 503})


def test_server_error_is_forwarded_when_no_other_attempt_succeeds(
    pair: Pair,
    rejecting_owner: MeshNode,
) -> None:
    """A server responds with an error and the second one rejects the lookup.

    The caller gets the error response, not the rejection.
    """
    pair.backend.faults.error = True
    for claim in range(10):
        runs = pair.backend.counts.runs
        response, text = pair.ask('GET', f'/files/{claim}')
        if pair.backend.counts.runs > runs:
            assert response.status == 500
            assert json.decode(text)['by'] == 'b'


def assert_waiting_call_does_not_run(pair: Pair, later: Document) -> None:
    """Assert that a call that waits when a list is applied is not run."""
    owner_node = pair.owner_node
    held = [owner_node.hold_slot().ticket for _slot in range(SLOTS)]
    with ThreadPoolExecutor(1) as executor:
        asked = executor.submit(pair.ask, 'GET', '/files/1')
        wait_until(lambda: bool(owner_node.gate.state.queue))
        owner_node.view.replace_instances(later)
        for ticket in held:
            free_slot(owner_node, ticket)
        response, _text = asked.result(TIMEOUT_SECONDS)
    assert pair.backend.counts.runs == 0
    assert response.headers[OUTCOME_HEADER].startswith('not-run')


def test_call_that_waits_at_a_leaving_server_does_not_run_there(
    pair: Pair,
) -> None:
    """A lookup waits for a slot when its server is listed as leaving.

    Without this, the lookup runs when a slot becomes free, however long
    after later requests are sent elsewhere.
    """
    leaving = structs.replace(pair.owner_node.record, state=ListedState.leaving)
    assert_waiting_call_does_not_run(pair, build_instances(leaving, version=2))


def test_call_that_waits_at_a_removed_server_does_not_run_there(
    pair: Pair,
) -> None:
    """A server without an entry counts as not leaving."""
    assert_waiting_call_does_not_run(pair, build_instances(version=2))


@pytest.mark.parametrize('state', [None, ListedState.leaving])
def test_waiting_call_is_refused_when_its_server_leaves(
    pair: Pair, state: ListedState | None
) -> None:
    """A call waits on for a slot that it will not get."""
    owner_node = pair.owner_node
    for _slot in range(SLOTS):
        owner_node.hold_slot()
    listed = (
        ()
        if state is None
        else (structs.replace(owner_node.record, state=state),)
    )
    with ThreadPoolExecutor(1) as executor:
        asked = executor.submit(pair.ask, 'GET', '/files/1')
        wait_until(lambda: bool(owner_node.gate.state.queue))
        owner_node.view.replace_instances(build_instances(*listed, version=2))
        wait_until(lambda: not owner_node.gate.state.queue)
        response, text = asked.result(TIMEOUT_SECONDS)
    assert response.headers[OUTCOME_HEADER].startswith('not-run')
    assert read_code(text) is Code.draining
    assert len(owner_node.gate.state.running) == SLOTS
