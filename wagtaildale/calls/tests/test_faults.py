"""Tests of calls when nodes or connections fail at a critical moment."""

from __future__ import annotations

import socket
import threading
from typing import TYPE_CHECKING

import pytest

from wagtaildale.calls.tests.listeners import Listener
from wagtaildale.calls.tests.pairs import (
    OUTCOME_HEADER,
    Pair,
    build_run,
    read_code,
    wait_until,
)
from wagtaildale.calls.wire.fields import AnswerFields
from wagtaildale.calls.wire.frames import (
    PLAIN,
    Answered,
    Failed,
    FrameReader,
    Run,
    encode_frame,
)
from wagtaildale.errors.codes import Code
from wagtaildale.types import Incarnation, InstanceId, Outcome, RequestId

if TYPE_CHECKING:
    from collections.abc import Iterator


class ImpostorOwner(Listener):
    """Answers every call with the id of another request or attempt."""

    def __init__(
        self, address: tuple[str, int], *, attempt_offset: int
    ) -> None:
        self._attempt_offset = attempt_offset
        super().__init__(address)

    def answer(self, sock: socket.socket) -> None:
        reader = FrameReader()
        assert sock.recv(1) == PLAIN
        while chunk := sock.recv(9999):
            for frame in reader.feed(chunk):
                if isinstance(frame, Run):
                    self._answer_run(sock, frame)

    def _answer_run(self, sock: socket.socket, run: Run) -> None:
        request_id = run.fields.request_id
        if not self._attempt_offset:
            request_id = RequestId('another')
        answer = AnswerFields(
            request_id=request_id,
            attempt=run.fields.attempt + self._attempt_offset,
            code=Code.ok,
            outcome=Outcome.answered,
            instance=InstanceId('b'),
            incarnation=Incarnation(1),
            in_flight=0,
            limit=1,
            queued=0,
        )
        answered = Answered(
            run.call,
            answer,
            200,
            (),
            b'secret',
            more=False,
            length=6,
        )
        sock.sendall(encode_frame(answered))


@pytest.fixture
def pair_without_owner() -> Iterator[Pair]:
    """A pair whose owner is closed, so that an impostor can use its port."""
    made = Pair()
    made.owner_node.close()
    yield made
    made.entry_node.close()
    made.backend.close()


@pytest.mark.parametrize('attempt_offset', [0, 1])
def test_answer_to_another_request_is_dropped(
    pair_without_owner: Pair,
    attempt_offset: int,
) -> None:
    """Prevents a caller from getting the response to another request.

    An answer that arrives late or at the wrong place names another request,
    or another attempt of this one. Neither is forwarded.
    """
    record = pair_without_owner.owner_node.record
    impostor = ImpostorOwner(
        (record.host, record.owner_port),
        attempt_offset=attempt_offset,
    )
    response, text = pair_without_owner.ask('GET', '/files/1')
    impostor.close()
    assert response.status == 502
    assert read_code(text) is Code.answer_mismatched
    assert b'secret' not in text


def test_outcome_is_unknown_when_the_owner_dies_during_a_booking(
    pair: Pair,
) -> None:
    """The owner is killed after the run message, so the booking may have run.

    The caller gets an unknown outcome, and the booking is not retried.
    """
    pair.backend.faults.service_ms = 60_000
    received: list[tuple[str, Code]] = []

    def book() -> None:
        response, text = pair.ask('POST', '/bookings', b'x', {'x-booking': 'k'})
        received.append((response.headers[OUTCOME_HEADER], read_code(text)))

    worker = threading.Thread(target=book)
    worker.start()
    wait_until(lambda: pair.backend.counts.runs == 1)
    pair.owner_node.close()
    worker.join()
    assert received[0][0].startswith('unknown')
    assert received[0][1] is Code.outcome_unknown
    assert pair.backend.counts.by_single_key == {'k': 1}


def test_waiting_booking_is_not_run_when_its_owner_dies(pair: Pair) -> None:
    """The owner is killed before the run message: the booking did not run."""
    gate = pair.owner_node.gate
    for _slot in range(4):
        pair.owner_node.hold_slot()
    outcomes: list[str] = []

    def book() -> None:
        response, _text = pair.ask('POST', '/bookings', b'x')
        outcomes.append(response.headers[OUTCOME_HEADER])

    worker = threading.Thread(target=book)
    worker.start()
    wait_until(lambda: bool(gate.state.queue))
    pair.owner_node.close()
    worker.join()
    assert outcomes[0].startswith('not-run')
    assert pair.backend.counts.runs == 0


def test_resumed_owner_sends_no_expired_request(pair: Pair) -> None:
    """An owner resumes after a pause and gets a booking past its deadline.

    The deadline is checked immediately before the request is sent, so the
    booking does not run.
    """
    verdict = pair.owner_node.hold_slot()
    answer = pair.send_to_owner(build_run(lease=verdict.ticket, remaining_ms=0))
    assert isinstance(answer, Failed)
    assert answer.fields.code is Code.past_deadline
    assert answer.fields.outcome is Outcome.not_run
    assert pair.backend.counts.runs == 0
