"""Tests of safety properties that every call must keep."""

from __future__ import annotations

import threading

import pytest
from msgspec import json, structs

from standins.backend_thread import BackendThread
from wagtaildale.admission.messages import Admitted
from wagtaildale.calls.entry.attempts import Attempts
from wagtaildale.calls.entry.budgets import RetryBudget
from wagtaildale.calls.entry.hedges import HedgeDelay
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.tests.pairs import (
    OUTCOME_HEADER,
    Pair,
    build_run,
    read_code,
    wait_until,
)
from wagtaildale.calls.wire.frames import Failed
from wagtaildale.errors.codes import Code
from wagtaildale.routing.table import DEFAULT_RETRIES
from wagtaildale.testing.builders import build_record, build_retry_limits
from wagtaildale.testing.loopback import make_host
from wagtaildale.testing.mesh import BACKEND_PORT, MeshNode
from wagtaildale.types import DataCentre, Incarnation, Outcome

KEY = 'idempotency-key'


def build_attempts(*, idempotent: bool, tokens: float = 10) -> Attempts:
    budget = RetryBudget(build_retry_limits(slack=tokens), now=0)
    return Attempts(idempotent=idempotent, deadline=10, budget=budget)


@pytest.mark.parametrize(
    ('code', 'outcome', 'idempotent', 'expected'),
    [
        (Code.draining, Outcome.not_run, False, True),
        (Code.backend_cut, Outcome.unknown, True, True),
        (Code.backend_cut, Outcome.unknown, False, False),
        (Code.timed_out, Outcome.unknown, False, False),
        (Code.timed_out, Outcome.not_run, False, True),
        (Code.no_route, Outcome.not_run, True, False),
        (Code.key_repeated, Outcome.unknown, True, False),
    ],
)
def test_retry_only_what_is_safe(
    code: Code,
    outcome: Outcome,
    idempotent: bool,
    expected: bool,
) -> None:
    attempts = build_attempts(idempotent=idempotent)
    failure = CallFailed(code, outcome=outcome)
    assert attempts.try_retry(failure, now=1, replayable=True) is expected
    assert not attempts.try_retry(failure, now=11, replayable=True)
    assert not attempts.try_retry(failure, now=1, replayable=False)


def test_retries_of_a_call_are_limited() -> None:
    attempts = build_attempts(idempotent=True)
    failure = CallFailed(Code.draining)
    granted = [
        attempts.try_retry(failure, now=1, replayable=True)
        for _attempt in range(DEFAULT_RETRIES + 1)
    ]
    assert granted == [*(DEFAULT_RETRIES * (True,)), False]


def test_retries_do_not_amplify_a_brownout() -> None:
    """Every call to a service fails, and retrying each would double the load.

    Retries stay within a fixed share of the calls.
    """
    budget = RetryBudget(build_retry_limits(slack=20), now=0)
    spent = 0
    for _call in range(1000):
        budget.earn(now=0)
        spent += budget.spend(now=0)
    assert spent <= 20 + 1000 * 0.2


def test_hedge_delay_covers_usual_time_and_deviation() -> None:
    hedge_delay = HedgeDelay()
    for _sample in range(50):
        hedge_delay.add_sample(0.01)
    delay = hedge_delay.find_delay()
    assert delay is not None
    assert 0.01 <= delay < 0.02


def test_slow_upstream_is_hedged(pair: Pair) -> None:
    """A lookup goes to a server that hangs.

    The hedge goes to another server, and the first attempt is cancelled.
    Until it hangs, the server is the faster one, so that lookups go there;
    hedges of lookups at the other server would not test this.
    """
    other = build_record('c', host=make_host(3))
    backend = BackendThread('c', host=other.host, port=BACKEND_PORT)
    with backend, MeshNode(other):
        pair.entry_node.set_instances(pair.owner_node.record, other)
        backend.faults.service_ms = 40
        while pair.backend.counts.runs < 40:
            pair.ask('GET', '/files/7')
        # On a busy machine a response of the healthy server may be slow enough
        # to be hedged too; only hedges after this point are counted.
        tally = pair.entry_node.tallies.sum_up()['casefiles/lookup']
        before = tally.hedged
        pair.backend.faults.service_ms = 60_000
        while tally.hedged == before:
            response, text = pair.ask('GET', '/files/7')
            assert response.status == 200
            assert json.decode(text)['by'] == 'c'
            tally = pair.entry_node.tallies.sum_up()['casefiles/lookup']
        hedged = tally.hedged - before
        wait_until(lambda: pair.backend.counts.cancelled >= hedged)


def test_failing_upstream_is_ejected(pair: Pair) -> None:
    """A server that fails at once looks idle and would attract all calls."""
    other = build_record('c', host=make_host(3))
    backend = BackendThread('c', host=other.host, port=BACKEND_PORT)
    with backend, MeshNode(other):
        pair.entry_node.set_instances(pair.owner_node.record, other)
        pair.backend.faults.close_share = 1
        for claim in range(20):
            response, _text = pair.ask('GET', f'/files/{claim}')
            assert response.status == 200
        runs = pair.backend.counts.runs
        assert runs <= 6


def test_reservation_without_a_run_frees_its_slot(
    pair: Pair,
) -> None:
    """Entries that die after reserving must not hold every slot for ever."""
    verdicts = [
        pair.owner_node.hold_slot(lease_seconds=0) for _slot in range(4)
    ]
    assert all(isinstance(verdict, Admitted) for verdict in verdicts)
    response, _text = pair.ask('POST', '/bookings', b'x')
    assert response.status == 200


def test_run_after_its_lease_is_rejected(pair: Pair) -> None:
    """An entry pauses between reserving a slot and running a booking.

    When it resumes, the slot belongs to another request. The run is
    rejected, and "not run" is true.
    """
    verdict = pair.owner_node.hold_slot(lease_seconds=0)
    rejection = pair.owner_node.redeem(verdict.ticket)
    assert not isinstance(rejection, Admitted)
    assert rejection.code is Code.lease_ended


def test_lease_is_redeemed_once(pair: Pair) -> None:
    """The network duplicates a run message."""
    verdict = pair.owner_node.hold_slot()
    assert isinstance(pair.owner_node.redeem(verdict.ticket), Admitted)
    assert not isinstance(pair.owner_node.redeem(verdict.ticket), Admitted)


def test_booking_that_times_out_in_the_queue_has_not_run(pair: Pair) -> None:
    """A booking waits for a slot until its deadline.

    Only a reservation was sent, so the outcome is "not run" and the backend
    server never receives the booking.
    """
    held = [pair.owner_node.hold_slot() for _slot in range(4)]
    response, text = pair.ask(
        'POST',
        '/bookings',
        b'x',
        {'wagtaildale-deadline-ms': '100', 'x-booking': 'late'},
    )
    assert response.headers[OUTCOME_HEADER].startswith('not-run')
    assert read_code(text) in {Code.past_deadline, Code.timed_out}
    assert 'late' not in pair.backend.counts.by_key
    assert len(held) == 4


def test_repeated_key_gets_the_first_response(pair: Pair) -> None:
    """A caller submits the same booking twice."""
    first = pair.ask('POST', '/bookings', b'x', {KEY: 'k', 'x-booking': 'b'})
    again = pair.ask('POST', '/bookings', b'x', {KEY: 'k', 'x-booking': 'b'})
    assert first[1] == again[1]
    assert again[0].headers['idempotency-replayed'] == 'true'
    assert pair.backend.counts.by_single_key['b'] == 1


def test_repeated_key_is_rejected_while_the_first_runs(pair: Pair) -> None:
    pair.backend.faults.service_ms = 300
    headers = {KEY: 'k', 'x-booking': 'b'}
    worker = threading.Thread(
        target=pair.ask,
        args=('POST', '/bookings', b'x', headers),
    )
    worker.start()
    wait_until(lambda: pair.backend.counts.runs == 1)
    response, text = pair.ask('POST', '/bookings', b'x', headers)
    worker.join()
    assert response.status == 409
    assert read_code(text) is Code.key_repeated
    assert pair.backend.counts.by_single_key['b'] == 1


def test_repeated_key_is_rejected_after_an_unknown_outcome(pair: Pair) -> None:
    """The first response was lost; the retry must not run a second booking."""
    pair.backend.faults.close_share = 1
    headers = {KEY: 'k', 'x-booking': 'b'}
    pair.ask('POST', '/bookings', b'x', headers)
    pair.backend.faults.close_share = 0
    _response, text = pair.ask('POST', '/bookings', b'x', headers)
    assert read_code(text) is Code.key_repeated
    assert pair.backend.counts.by_single_key['b'] == 1


def test_same_key_for_another_request_is_another_request(pair: Pair) -> None:
    pair.ask('POST', '/bookings', b'x', {KEY: 'k'})
    response, _text = pair.ask('POST', '/bookings?day=2', b'x', {KEY: 'k'})
    assert 'idempotency-replayed' not in response.headers


def test_call_beyond_the_depth_limit_is_rejected(pair: Pair) -> None:
    """Services that call each other in a circle would never end."""
    headers = {'wagtaildale-depth': '17'}
    response, text = pair.ask('GET', '/files/1', headers=headers)
    assert response.status == 508
    assert read_code(text) is Code.too_deep


def test_shed_lookup_is_retried_at_another_server(pair: Pair) -> None:
    other = build_record('c', host=make_host(3))
    backend = BackendThread('c', host=other.host, port=BACKEND_PORT)
    with backend, MeshNode(other):
        pair.entry_node.set_instances(pair.owner_node.record, other)
        pair.backend.faults.draining = True
        statuses = {
            pair.ask('GET', f'/files/{claim}')[0].status for claim in range(10)
        }
    assert statuses == {200}


def test_limit_shrinks_when_the_backend_server_sheds(pair: Pair) -> None:
    state = pair.owner_node.owner.gate.state
    pair.backend.faults.draining = True
    pair.ask('POST', '/bookings', b'x')
    wait_until(lambda: state.limit < state.slots)


def test_expired_lease_admits_the_next_request(pair: Pair) -> None:
    """An entry dies after reserving, and a booking waits for its slot.

    No new request arrives that would expire the leases, so the timer must.
    """
    for _slot in range(4):
        pair.owner_node.hold_slot(lease_seconds=0.2)
    worker = threading.Thread(target=pair.ask, args=('POST', '/bookings', b'x'))
    worker.start()
    wait_until(lambda: bool(pair.owner_node.gate.state.queue))
    worker.join()
    assert pair.backend.counts.runs == 1


def test_run_with_a_lease_of_another_process_is_rejected(pair: Pair) -> None:
    """An owner is replaced between a reservation and its run message.

    The new process has granted a lease with the same number; only the
    incarnation distinguishes the two.
    """
    verdict = pair.owner_node.hold_slot()
    answer = pair.send_to_owner(build_run(lease=verdict.ticket, incarnation=99))
    assert isinstance(answer, Failed)
    assert answer.fields.code is Code.wrong_instance
    assert answer.fields.outcome is Outcome.not_run
    assert pair.backend.counts.runs == 0


def test_replaced_owner_accepts_the_first_call(pair: Pair) -> None:
    """Prevents an owner from rejecting the first call of every entry.

    In a rolling restart, such rejections would use up a call's attempts. A
    call names an incarnation only if it has a lease.
    """
    pair.ask('GET', '/files/1')
    identity = pair.owner_node.owner.identity
    pair.owner_node.owner.identity = structs.replace(
        identity,
        incarnation=Incarnation(2),
    )
    pair.ask('GET', '/files/1')
    pair.ask('POST', '/bookings', b'x')
    # A call is counted shortly after its caller gets the response.
    wait_until(lambda: 'casefiles/booking' in pair.entry_node.tallies.sum_up())
    tally = pair.entry_node.tallies.sum_up()
    assert tally['casefiles/lookup'].retried == 0
    assert tally['casefiles/booking'].retried == 0


def test_rejection_has_a_retry_delay(pair: Pair) -> None:
    """Prevents callers of an overloaded service from retrying too early.

    The rejection is immediate and names the time after which a slot is
    likely to be free.
    """
    gate = pair.owner_node.gate
    gate.state.baseline_seconds = 2.5
    gate.state.service_seconds = 2.5
    for _slot in range(4):
        pair.owner_node.hold_slot()
    response, text = pair.ask('GET', '/files/1')
    assert read_code(text) is Code.overloaded
    assert int(response.headers['retry-after']) >= 3
    assert response.headers[OUTCOME_HEADER].startswith('not-run')


def test_drain_keeps_a_reserved_slot(pair: Pair) -> None:
    """A planned stop begins between a reservation and its run message.

    The booking keeps its slot and runs, and the stop waits for it. Later
    requests are rejected.
    """
    verdict = pair.owner_node.hold_slot()
    pair.owner_node.drain()
    assert isinstance(pair.owner_node.redeem(verdict.ticket), Admitted)
    response, text = pair.ask('POST', '/bookings', b'x')
    assert read_code(text) is Code.draining
    assert response.headers[OUTCOME_HEADER].startswith('not-run')


def test_calls_avoid_a_data_centre_that_is_down(pair: Pair) -> None:
    """A data centre is down while its instances are still listed.

    Connections to it are refused. Calls go to the other data centre and,
    after a few failures, skip the first one.
    """
    gone = [
        build_record(f'gone{number}', host=make_host(100 + number))
        for number in range(3)
    ]
    remote = structs.replace(
        pair.owner_node.record,
        data_centre=DataCentre('coventry'),
    )
    pair.entry_node.set_instances(*gone, remote)
    statuses = [
        pair.ask('GET', f'/files/{claim}')[0].status for claim in range(30)
    ]
    assert set(statuses) == {200}
