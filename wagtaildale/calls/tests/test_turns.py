"""Tests of connections whose input takes long to handle."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Final

import pytest

from wagtaildale.calls.addresses import Address
from wagtaildale.calls.http.callers import CallerLimits, CallerPort
from wagtaildale.calls.tests.manual_loop import ManualLoop
from wagtaildale.testing.loopback import make_host

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wagtaildale.calls.http.exchanges import Exchange

ADDRESS: Final = Address(make_host(9), 8080)
LIMITS: Final = CallerLimits(max_head_bytes=8192, max_body_bytes=8192)
REQUEST: Final = b'GET /crowd HTTP/1.1\r\nhost: m\r\n\r\n'
ORDINARY: Final = b'GET /ordinary HTTP/1.1\r\nhost: m\r\n\r\n'
SHORT_LINES: Final = REQUEST.replace(b'\r\n\r\n', b'\r\n' + b'a:\r\n' * 1500)


class SilentPort(ManualLoop):
    """A port that notes requests and answers none."""

    def __init__(self) -> None:
        super().__init__()
        self.targets: list[bytes] = []
        self.port = CallerPort(
            self.loop, request_handler=self, read_limits=lambda: LIMITS
        )
        self.port.bind(ADDRESS).unwrap()
        self.port.start()

    def close(self) -> None:
        self.port.stop()
        self.loop.close()

    def handle_request(self, exchange: Exchange) -> None:
        self.targets.append(exchange.message.target)

    def connect(self) -> socket.socket:
        return socket.create_connection((ADDRESS.host, ADDRESS.port))


@pytest.fixture
def silent_port() -> Iterator[SilentPort]:
    made = SilentPort()
    yield made
    made.close()
    assert not made.defects


@pytest.mark.parametrize(
    ('sent', 'before'),
    [(REQUEST * 16, 40), (SHORT_LINES + b'\r\n', 8)],
    ids=['pipelined', 'short-lines'],
)
def test_costly_input_lets_an_ordinary_request_pass(
    silent_port: SilentPort, sent: bytes, before: int
) -> None:
    """All that others had sent was handled before an ordinary request."""
    others = [silent_port.connect() for _number in range(20)]
    ordinary = silent_port.connect()
    # The first step accepts all connections.
    silent_port.loop.step(0)
    for other in others:
        other.sendall(sent)
    ordinary.sendall(ORDINARY)
    silent_port.step_until(lambda: b'/ordinary' in silent_port.targets)
    assert silent_port.targets.index(b'/ordinary') <= before
    silent_port.step_until(
        lambda: silent_port.targets.count(b'/crowd') == 20 * sent.count(b'GET')
    )
    for each in (*others, ordinary):
        each.close()
