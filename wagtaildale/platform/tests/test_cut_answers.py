"""Tests of the store's answers that stop in the middle."""

from __future__ import annotations

from contextlib import closing
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

import pytest
from msgspec import json, structs

from wagtaildale.calls.tests.listeners import Listener
from wagtaildale.platform.store import PlatformStore
from wagtaildale.platform.tests.builders import (
    build_entry,
    build_item,
    build_settings,
)
from wagtaildale.platform.tests.feeds import build_page
from wagtaildale.settings.model import PlatformSettings

if TYPE_CHECKING:
    import socket
    from collections.abc import Iterator

READ_BYTES: Final = 65_536
BODY: Final = json.encode(build_page(build_item('servers/i-1', build_entry())))
HEAD: Final = b'HTTP/1.1 200 OK\r\nStore-Era: 1\r\n'
ANSWERS: Final = MappingProxyType(
    {
        'length': HEAD + b'Content-Length: %d\r\n\r\n%b' % (len(BODY), BODY),
        'chunked': HEAD
        + b'Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n'
        % (len(BODY), BODY),
        'until-close': HEAD + b'\r\n' + BODY,
    }
)
STEP: Final = 5


class CuttingStore(Listener):
    """Sends the beginning of an answer and closes the connection.

    Attributes:
        text: what is sent.
    """

    def __init__(self) -> None:
        self.text = b''
        super().__init__(('127.0.0.1', 0))

    @property
    def url(self) -> str:
        """URL of the store."""
        host, port = self._listener.getsockname()
        return f'http://{host}:{port}'

    def answer(self, sock: socket.socket) -> None:
        sock.recv(READ_BYTES)
        sock.sendall(self.text)


@pytest.fixture
def cutting() -> Iterator[CuttingStore]:
    with closing(CuttingStore()) as store:
        yield store


def make_reader(cutting: CuttingStore) -> PlatformStore:
    settings = structs.replace(
        build_settings(), platform=PlatformSettings(url=cutting.url)
    )
    return PlatformStore(settings, regions={'derby': 'midlands'})


@pytest.mark.parametrize('case', ANSWERS)
def test_answer_that_is_cut_is_no_list(
    cutting: CuttingStore, case: str
) -> None:
    """A list lacks servers since its answer was cut and looks whole."""
    reader = make_reader(cutting)
    answer = ANSWERS[case]
    for size in range(0, len(answer) - len(b'0\r\n\r\n'), STEP):
        cutting.text = answer[:size]
        assert reader.read_all().is_err(), size
    cutting.text = answer
    assert len(reader.read_all().unwrap().entries) == 1
