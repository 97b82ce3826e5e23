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


class StoppingEntry:
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
def stopping_entry() -> Iterator[StoppingEntry]:
    """A stop whose nodes are closed with the test, even if it fails.

    Otherwise the threads of its nodes continue after a failed test, and the
    whole test run never ends.
    """
    prepared = StoppingEntry()
    yield prepared
    prepared.pair.close()


def test_work_in_flight_is_finished(stopping_entry: StoppingEntry) -> None:
    """A response breaks off because its node is being replaced."""
    stopping_entry.pair.backend.faults.service_ms = 300
    answers: list[int] = []
    call_thread = threading.Thread(
        target=lambda: answers.append(
            stopping_entry.pair.ask('GET', '/files/1')[0].status,
        ),
    )
    call_thread.start()
    wait_until(lambda: stopping_entry.pair.backend.counts.runs == 1)
    stopping_entry.stop.begin()
    assert stopping_entry.stop.wait(seconds=TIMEOUT_SECONDS)
    call_thread.join()
    assert answers == [200]
    assert isinstance(stopping_entry.inbox.take_all()[0], Leave)


def test_idle_caller_gets_close_before_the_port_closes(
    stopping_entry: StoppingEntry,
) -> None:
    """A request is lost in a rolling restart.

    Its caller has an idle connection and sends just when the node closes it.
    The stop keeps idle connections for a while, and the next response asks
    the caller to close.
    """
    connection = HTTPConnection(
        *stopping_entry.pair.entry_node.entry, timeout=TIMEOUT_SECONDS
    )
    connection.request('GET', '/files/1')
    connection.getresponse().read()
    stopping_entry.stop.begin()
    done: list[bool] = []
    stop_wait = threading.Thread(
        target=lambda: done.append(
            stopping_entry.stop.wait(seconds=TIMEOUT_SECONDS)
        ),
    )
    stop_wait.start()
    connection.request('GET', '/files/2')
    response = connection.getresponse()
    assert response.status == 200
    assert response.headers['connection'] == 'close'
    response.read()
    connection.close()
    stop_wait.join()
    assert done == [True]


def test_bound_and_second_signal_end_the_wait(
    stopping_entry: StoppingEntry,
) -> None:
    stopping_entry.pair.backend.faults.hang = True
    call_thread = threading.Thread(
        target=stopping_entry.pair.ask,
        args=('GET', '/files/1'),
    )
    call_thread.start()
    wait_until(lambda: stopping_entry.pair.backend.counts.runs == 1)
    stopping_entry.stop.begin()
    assert not stopping_entry.stop.wait(seconds=0.05)
    stopping_entry.stop.stop_waiting()
    assert not stopping_entry.stop.wait(seconds=1e9)
    call_thread.join()


def test_callers_that_keep_coming_do_not_hold_up_the_stop(
    stopping_entry: StoppingEntry,
) -> None:
    """A planned stop continues until its bound and then cuts work.

    Callers that do not know of it keep connecting, so that some call is
    always in flight. Once the port is closed they are refused before they
    send.
    """
    ended = threading.Event()
    failures: list[Exception] = []

    def call_repeatedly() -> None:
        while not ended.is_set():
            try:
                stopping_entry.pair.ask('GET', '/files/1')
            except ConnectionRefusedError:
                time.sleep(0.01)
            except OSError as error:
                failures.append(error)

    callers = [threading.Thread(target=call_repeatedly) for _caller in range(4)]
    for caller in callers:
        caller.start()
    stopping_entry.stop.begin()
    assert stopping_entry.stop.wait(seconds=3 * TIMEOUT_SECONDS)
    ended.set()
    for caller in callers:
        caller.join()
    assert not failures


def test_pipelining_caller_does_not_hold_up_the_stop(
    stopping_entry: StoppingEntry,
) -> None:
    """A planned stop takes until its bound and then cuts a request.

    A caller pipelines: it sends each request before the previous one is
    answered, so that no response is the connection's last one and none asks
    to close. Once the node stops, further pipelined requests are not read.
    """
    stopping_entry.pair.backend.faults.service_ms = 100
    request = b'GET /files/1 HTTP/1.1\r\nhost: m\r\n\r\n'
    answers = b''
    with socket.create_connection(
        stopping_entry.pair.entry_node.entry, TIMEOUT_SECONDS
    ) as sock:
        sock.sendall(request)
        wait_until(lambda: stopping_entry.pair.backend.counts.runs == 1)
        # Half-way through the first request: from here on the next request
        # is in flight at each response.
        time.sleep(0.05)
        sock.sendall(request)
        stopping_entry.stop.begin()
        stop_wait = ThreadPoolExecutor(1).submit(
            stopping_entry.stop.wait,
            seconds=TIMEOUT_SECONDS,
        )
        piece = b'begun'
        while piece and not stop_wait.done():
            sock.sendall(request)
            piece = sock.recv(65536)
            answers += piece
        assert stop_wait.result(TIMEOUT_SECONDS)
    assert answers.count(b'HTTP/1.1 200') == answers.count(b'"by"')
    assert stopping_entry.pair.backend.counts.cancelled == 0


def test_stop_ends_after_the_calls_task_has_failed(
    stopping_entry: StoppingEntry,
) -> None:
    """A node answers no requests, and its process never ends.

    The task that carries calls has failed. The process detects this, starts
    the planned stop and waits for the task to notify callers, which never
    happens. The platform starts no new process while this one exists.
    """
    near = stopping_entry.pair.entry_node
    near.calls.stop()
    wait_until(lambda: is_refused(near.entry))
    stopper = threading.Thread(target=stopping_entry.stop.begin, daemon=True)
    stopper.start()
    stopper.join(TIMEOUT_SECONDS)
    assert not stopper.is_alive()
    assert stopping_entry.stop.wait(seconds=TIMEOUT_SECONDS)


def is_refused(address: tuple[str, int]) -> bool:
    try:
        socket.create_connection(address, TIMEOUT_SECONDS).close()
    except ConnectionRefusedError:
        return True
    except ConnectionResetError:
        # The port was closed during the connection attempt.
        return False
    return False
