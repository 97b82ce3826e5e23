"""Tests of the HTTP client."""

from __future__ import annotations

import socket
from contextlib import suppress
from typing import TYPE_CHECKING, Final

import pytest

from wagtaildale.calls.tests.listeners import Listener
from wagtaildale.errors.codes import Code
from wagtaildale.source.curl import LARGEST_ANSWER_BYTES, CurlClient
from wagtaildale.testing.assertions import assert_err, assert_ok
from wagtaildale.testing.loopback import make_host

if TYPE_CHECKING:
    from collections.abc import Iterator

ADDRESS: Final = (make_host(7), 8142)
HEAD: Final = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n'
URL: Final = 'http://{0}:{1}/'.format(*ADDRESS)
PATIENCE_SECONDS: Final = 5.0


class SizedServer(Listener):
    """Answers with a number of bytes."""

    def __init__(self) -> None:
        self.size = 0
        super().__init__(ADDRESS)

    def answer(self, sock: socket.socket) -> None:
        # The client closes as soon as it knows the size.
        with suppress(OSError):
            sock.recv(65_536)
            sock.sendall(HEAD % self.size + bytes(self.size))


@pytest.fixture
def server() -> Iterator[SizedServer]:
    made = SizedServer()
    yield made
    made.close()


def test_answer_over_the_limit_has_a_code_of_its_own(
    server: SizedServer,
) -> None:
    """It looked like a platform that does not answer, and was asked again."""
    client = CurlClient(connect_timeout_ms=1000)
    server.size = LARGEST_ANSWER_BYTES + 1
    failure = assert_err(
        client.get(URL, hold_seconds=0, idle_timeout_seconds=PATIENCE_SECONDS)
    )
    assert failure.code is Code.answer_too_large
    server.size = LARGEST_ANSWER_BYTES
    answer = assert_ok(
        client.get(URL, hold_seconds=0, idle_timeout_seconds=PATIENCE_SECONDS)
    )
    assert len(answer.body) == LARGEST_ANSWER_BYTES
