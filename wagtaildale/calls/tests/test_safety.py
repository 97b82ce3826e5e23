"""Tests of what must never happen to a call, each with its story."""

from __future__ import annotations

import threading

import pytest
from msgspec import json, structs

from standins.hosted import HostedBackend
from wagtaildale.admission.messages import Admitted
from wagtaildale.calls.attempts import Attempts
from wagtaildale.calls.budgets import RetryBudget
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.frames import Failed
from wagtaildale.calls.hedges import HedgeClock
from wagtaildale.calls.tests.pairs import (
    OUTCOME,
    Pair,
    build_run,
    read_code,
    wait_until,
)
from wagtaildale.errors.codes import Code
from wagtaildale.routing.table import RETRIES_MOST
from wagtaildale.testing.builders import build_record, build_retry_share
from wagtaildale.testing.mesh import BACKEND_PORT, MeshNode
from wagtaildale.types import DataCentre, Incarnation, Outcome

KEY = 'idempotency-key'


def build_attempts(*, idempotent: bool, tokens: float = 10) -> Attempts:
    budget = RetryBudget(build_retry_share(slack=tokens), now=0)
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
    assert attempts.may_retry(failure, now=1, replayable=True) is expected
    assert not attempts.may_retry(failure, now=11, replayable=True)
    assert not attempts.may_retry(failure, now=1, replayable=False)


def test_retries_are_bounded_along_the_call() -> None:
    attempts = build_attempts(idempotent=True)
    failure = CallFailed(Code.draining)
    granted = [
        attempts.may_retry(failure, now=1, replayable=True)
        for _attempt in range(RETRIES_MOST + 1)
    ]
    assert granted == [*(RETRIES_MOST * (True,)), False]


def test_brownout_is_not_multiplied() -> None:
    """Every call of a service fails, and retries double the load.

    Over many calls the retries stay a fixed share of them.
    """
    budget = RetryBudget(build_retry_share(slack=20), now=0)
    spent = 0
    for _call in range(1000):
        budget.earn(now=0)
        spent += budget.spend(now=0)
    assert spent <= 20 + 1000 * 0.2


def test_hedge_waits_for_usual_time_and_deviation() -> None:
    clock = HedgeClock()
    for _sample in range(50):
        clock.note(0.01)
    delay = clock.find_delay()
    assert delay is not None
    assert 0.01 <= delay < 0.02


def test_slow_upstream_is_hedged(pair: Pair) -> None:
    """A field lookup meets a server that hangs.

    The second attempt goes elsewhere, and the first is cancelled. The server
    that is to hang is the faster one until then, so that lookups go there:
    hedges of the other one's answers would tell nothing of it.
    """
    other = build_record('c', host='127.0.9.3')
    backend = HostedBackend('c', host=other.host, port=BACKEND_PORT)
    with backend, MeshNode(other):
        pair.near.show(pair.far.record, other)
        backend.faults.service_ms = 40
        while pair.backend.counts.runs < 40:
            pair.ask('GET', '/files/7')
        # On a busy machine an answer of the healthy server may come late
        # enough to be hedged too: those hedges are not the ones looked for.
        tally = pair.near.tallies.sum_up()['casefiles/lookup']
        before = tally.hedged
        pair.backend.faults.service_ms = 60_000
        while tally.hedged == before:
            response, text = pair.ask('GET', '/files/7')
            assert response.status == 200
            assert json.decode(text)['by'] == 'c'
            tally = pair.near.tallies.sum_up()['casefiles/lookup']
        hedged = tally.hedged - before
        wait_until(lambda: pair.backend.counts.cancelled >= hedged)


def test_failing_upstream_is_left_out(pair: Pair) -> None:
    """A server that fails at once looks idle and draws all calls."""
    other = build_record('c', host='127.0.9.3')
    backend = HostedBackend('c', host=other.host, port=BACKEND_PORT)
    with backend, MeshNode(other):
        pair.near.show(pair.far.record, other)
        pair.backend.faults.close_share = 1
        for claim in range(20):
            response, _text = pair.ask('GET', f'/files/{claim}')
            assert response.status == 200
        runs = pair.backend.counts.runs
        assert runs <= 6


def test_reservation_that_is_never_run_gives_its_slot_back(
    pair: Pair,
) -> None:
    """Entries die after reserving, and every slot is held for nobody."""
    verdicts = [pair.far.hold_slot(lease_seconds=0) for _slot in range(4)]
    assert all(isinstance(verdict, Admitted) for verdict in verdicts)
    response, _text = pair.ask('POST', '/bookings', b'x')
    assert response.status == 200


def test_run_after_its_lease_is_refused(pair: Pair) -> None:
    """An entry is paused between reserving and running a booking.

    When it wakes the slot belongs to another; the run is refused, and
    "not run" is true.
    """
    verdict = pair.far.hold_slot(lease_seconds=0)
    refused = pair.far.redeem(verdict.ticket)
    assert not isinstance(refused, Admitted)
    assert refused.code is Code.lease_ended


def test_lease_is_redeemed_once(pair: Pair) -> None:
    """The network doubles a run message."""
    verdict = pair.far.hold_slot()
    assert isinstance(pair.far.redeem(verdict.ticket), Admitted)
    assert not isinstance(pair.far.redeem(verdict.ticket), Admitted)


def test_waiting_booking_that_gives_up_has_not_run(pair: Pair) -> None:
    """A booking waits for a slot until its deadline.

    Only a reservation was out, so the caller hears "not run", and the
    backend server has not seen it.
    """
    held = [pair.far.hold_slot() for _slot in range(4)]
    response, text = pair.ask(
        'POST',
        '/bookings',
        b'x',
        {'wagtaildale-deadline-ms': '100', 'x-booking': 'late'},
    )
    assert response.headers[OUTCOME].startswith('not-run')
    assert read_code(text) in {Code.past_deadline, Code.timed_out}
    assert 'late' not in pair.backend.counts.by_key
    assert len(held) == 4


def test_repeated_key_gets_the_first_answer(pair: Pair) -> None:
    """A homeowner presses the button twice."""
    first = pair.ask('POST', '/bookings', b'x', {KEY: 'k', 'x-booking': 'b'})
    again = pair.ask('POST', '/bookings', b'x', {KEY: 'k', 'x-booking': 'b'})
    assert first[1] == again[1]
    assert again[0].headers['idempotency-replayed'] == 'true'
    assert pair.backend.counts.by_single_key['b'] == 1


def test_repeated_key_while_the_first_runs(pair: Pair) -> None:
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


def test_repeated_key_after_an_unknown_outcome(pair: Pair) -> None:
    """The first answer was lost; the repeat must not book again."""
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


def test_deadline_and_depth_go_along(pair: Pair) -> None:
    """Calls that lead to calls in a circle never end."""
    headers = {'wagtaildale-depth': '17'}
    response, text = pair.ask('GET', '/files/1', headers=headers)
    assert response.status == 508
    assert read_code(text) is Code.too_deep


def test_shed_lookup_goes_elsewhere(pair: Pair) -> None:
    other = build_record('c', host='127.0.9.3')
    backend = HostedBackend('c', host=other.host, port=BACKEND_PORT)
    with backend, MeshNode(other):
        pair.near.show(pair.far.record, other)
        pair.backend.faults.draining = True
        statuses = {
            pair.ask('GET', f'/files/{claim}')[0].status for claim in range(10)
        }
    assert statuses == {200}


def test_limit_shrinks_when_the_backend_server_sheds(pair: Pair) -> None:
    state = pair.far.owner.gate.state
    pair.backend.faults.draining = True
    pair.ask('POST', '/bookings', b'x')
    wait_until(lambda: state.limit < state.slots)


def test_ended_lease_lets_the_next_one_in(pair: Pair) -> None:
    """An entry dies after reserving, and a booking waits for its slot.

    Nothing new arrives that would look at the leases; the timer does.
    """
    for _slot in range(4):
        pair.far.hold_slot(lease_seconds=0.2)
    worker = threading.Thread(target=pair.ask, args=('POST', '/bookings', b'x'))
    worker.start()
    wait_until(lambda: bool(pair.far.gate.state.queue))
    worker.join()
    assert pair.backend.counts.runs == 1


def test_run_with_a_lease_of_another_process_is_refused(pair: Pair) -> None:
    """An owner is replaced between a reservation and its run message.

    The new process has given out a lease with the same number; only the
    incarnation tells them apart.
    """
    verdict = pair.far.hold_slot()
    answer = pair.tell_owner(build_run(lease=verdict.ticket, incarnation=99))
    assert isinstance(answer, Failed)
    assert answer.answer.code is Code.wrong_instance
    assert answer.answer.outcome is Outcome.not_run
    assert pair.backend.counts.runs == 0


def test_replaced_owner_is_asked_without_a_refusal(pair: Pair) -> None:
    """Every entry's first call to a new process is refused.

    In a rolling restart such refusals used up a call's attempts. A call
    names an incarnation only when it comes with a lease.
    """
    pair.ask('GET', '/files/1')
    identity = pair.far.owner.identity
    pair.far.owner.identity = structs.replace(
        identity,
        incarnation=Incarnation(2),
    )
    pair.ask('GET', '/files/1')
    pair.ask('POST', '/bookings', b'x')
    # A call is counted a moment after its caller has the answer.
    wait_until(lambda: 'casefiles/booking' in pair.near.tallies.sum_up())
    tally = pair.near.tallies.sum_up()
    assert tally['casefiles/lookup'].retried == 0
    assert tally['casefiles/booking'].retried == 0


def test_refusal_says_when_to_come_back(pair: Pair) -> None:
    """Callers of an overloaded service ask again all at once, too early.

    The refusal comes at once, with the time after which a slot is likely.
    """
    gate = pair.far.gate
    gate.state.baseline_seconds = 2.5
    gate.state.service_seconds = 2.5
    for _slot in range(4):
        pair.far.hold_slot()
    response, text = pair.ask('GET', '/files/1')
    assert read_code(text) is Code.overloaded
    assert int(response.headers['retry-after']) >= 3
    assert response.headers[OUTCOME].startswith('not-run')


def test_drain_during_a_reservation(pair: Pair) -> None:
    """A planned stop begins between a reservation and its run message.

    The slot was given before: the booking runs, and the stop waits for it;
    what comes after is refused.
    """
    verdict = pair.far.hold_slot()
    pair.far.drain()
    assert isinstance(pair.far.redeem(verdict.ticket), Admitted)
    response, text = pair.ask('POST', '/bookings', b'x')
    assert read_code(text) is Code.draining
    assert response.headers[OUTCOME].startswith('not-run')


def test_data_centre_cut_off(pair: Pair) -> None:
    """A data centre is gone and its instances are still listed.

    Connections to it are refused; calls go to the other one, and after a
    few failures no longer try the first.
    """
    gone = [
        build_record(f'gone{number}', host=f'127.0.9.{100 + number}')
        for number in range(3)
    ]
    far = structs.replace(
        pair.far.record,
        data_centre=DataCentre('coventry'),
    )
    pair.near.show(*gone, far)
    statuses = [
        pair.ask('GET', f'/files/{claim}')[0].status for claim in range(30)
    ]
    assert set(statuses) == {200}
