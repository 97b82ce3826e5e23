"""Tests of the planned stop."""

from __future__ import annotations

import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection
from typing import TYPE_CHECKING

import pytest

from wagtaildale.calls.tests.pairs import TIMEOUT_SECONDS, Pair, wait_until
from wagtaildale.distribution.messages import Leave
from wagtaildale.lifecycle.stop import Stop
from wagtaildale.timers.inbox import Inbox

if TYPE_CHECKING:
    from collections.abc import Iterator


class Stopping:
    """A planned stop of the entry node of a pair."""

    def __init__(self) -> None:
        self.pair = Pair()
        self.inbox: Inbox[object] = Inbox()
        near = self.pair.entry_node
        self.stop = Stop(
            calls=near.calls,
            inbox=self.inbox,
            recorder=near.recorder,
        )


@pytest.fixture
def stopping() -> Iterator[Stopping]:
    """A stop whose nodes end with the test, whatever becomes of it.

    Failure guarded here: a test fails half-way, its nodes' threads live on,
    and the whole test run never ends.
    """
    made = Stopping()
    yield made
    made.pair.close()


def test_work_in_flight_is_finished(stopping: Stopping) -> None:
    """A photo set breaks off because its node is being replaced."""
    stopping.pair.backend.faults.service_ms = 300
    answers: list[int] = []
    worker = threading.Thread(
        target=lambda: answers.append(
            stopping.pair.ask('GET', '/files/1')[0].status,
        ),
    )
    worker.start()
    wait_until(lambda: stopping.pair.backend.counts.runs == 1)
    stopping.stop.begin()
    assert stopping.stop.wait(seconds=TIMEOUT_SECONDS)
    worker.join()
    assert answers == [200]
    assert isinstance(stopping.inbox.take_all()[0], Leave)


def test_idle_caller_is_told_to_go_before_the_port_closes(
    stopping: Stopping,
) -> None:
    """A booking is lost between two nodes of a rolling restart.

    Its caller had an idle connection and sent just when the port closed.
    While it is open the stop waits, and the next answer says close.
    """
    connection = HTTPConnection(
        *stopping.pair.entry_node.entry, timeout=TIMEOUT_SECONDS
    )
    connection.request('GET', '/files/1')
    connection.getresponse().read()
    stopping.stop.begin()
    done: list[bool] = []
    waiter = threading.Thread(
        target=lambda: done.append(stopping.stop.wait(seconds=TIMEOUT_SECONDS)),
    )
    waiter.start()
    connection.request('GET', '/files/2')
    response = connection.getresponse()
    assert response.status == 200
    assert response.headers['connection'] == 'close'
    response.read()
    connection.close()
    waiter.join()
    assert done == [True]


def test_bound_and_hurry_end_the_wait(stopping: Stopping) -> None:
    stopping.pair.backend.faults.hang = True
    worker = threading.Thread(
        target=stopping.pair.ask,
        args=('GET', '/files/1'),
    )
    worker.start()
    wait_until(lambda: stopping.pair.backend.counts.runs == 1)
    stopping.stop.begin()
    assert not stopping.stop.wait(seconds=0.05)
    stopping.stop.hurry()
    assert not stopping.stop.wait(seconds=1e9)
    worker.join()


def test_callers_that_keep_coming_do_not_hold_up_the_stop(
    stopping: Stopping,
) -> None:
    """A planned stop goes on until its bound and then cuts work.

    Callers that have not heard of it connect anew all the time, so there is
    never a quiet second; the port closes and they go elsewhere unsent.
    """
    ended = threading.Event()
    lost: list[Exception] = []

    def call_again_and_again() -> None:
        while not ended.is_set():
            try:
                stopping.pair.ask('GET', '/files/1')
            except ConnectionRefusedError:
                time.sleep(0.01)
            except OSError as error:
                lost.append(error)

    callers = [
        threading.Thread(target=call_again_and_again) for _caller in range(4)
    ]
    for caller in callers:
        caller.start()
    stopping.stop.begin()
    assert stopping.stop.wait(seconds=3 * TIMEOUT_SECONDS)
    ended.set()
    for caller in callers:
        caller.join()
    assert not lost


def test_caller_that_always_has_more_under_way_lets_the_node_stop(
    stopping: Stopping,
) -> None:
    """A planned stop takes until its bound, and then cuts a history read.

    A caller sends each request before the one before it is answered, so
    that no answer is ever the connection's last, and none says close. Once
    the node stops, what comes behind others is left unread.
    """
    stopping.pair.backend.faults.service_ms = 100
    request = b'GET /files/1 HTTP/1.1\r\nhost: m\r\n\r\n'
    answers = b''
    with socket.create_connection(
        stopping.pair.entry_node.entry, TIMEOUT_SECONDS
    ) as sock:
        sock.sendall(request)
        wait_until(lambda: stopping.pair.backend.counts.runs == 1)
        # Half-way through the first: from here on each answer finds the
        # next request under way.
        time.sleep(0.05)
        sock.sendall(request)
        stopping.stop.begin()
        waiter = ThreadPoolExecutor(1).submit(
            stopping.stop.wait,
            seconds=TIMEOUT_SECONDS,
        )
        piece = b'begun'
        while piece and not waiter.done():
            sock.sendall(request)
            piece = sock.recv(65536)
            answers += piece
        assert waiter.result(TIMEOUT_SECONDS)
    assert answers.count(b'HTTP/1.1 200') == answers.count(b'"by"')
    assert stopping.pair.backend.counts.cancelled == 0


def test_stop_ends_though_the_task_that_carries_calls_has_ended(
    stopping: Stopping,
) -> None:
    """A node answers nobody, and its process stays for ever.

    The task that carries calls has failed. The process finds that, stops in
    order, and asks the task to tell callers; the answer never comes, and the
    platform starts no other process since this one has not ended.
    """
    near = stopping.pair.entry_node
    near.calls.stop()
    wait_until(lambda: is_refused(near.entry))
    stopper = threading.Thread(target=stopping.stop.begin, daemon=True)
    stopper.start()
    stopper.join(TIMEOUT_SECONDS)
    assert not stopper.is_alive()
    assert stopping.stop.wait(seconds=TIMEOUT_SECONDS)


def is_refused(address: tuple[str, int]) -> bool:
    try:
        socket.create_connection(address, TIMEOUT_SECONDS).close()
    except ConnectionRefusedError:
        return True
    except ConnectionResetError:
        # It met the port in the moment that it closed.
        return False
    return False
