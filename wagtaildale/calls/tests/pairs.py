"""An entry node and an owner node over real sockets, for tests of calls."""

from __future__ import annotations

import socket
import time
from http.client import HTTPConnection, HTTPResponse
from typing import TYPE_CHECKING

from msgspec import json

from standins.backend_thread import BackendThread
from wagtaildale.admission.incoming_line import make_incoming_line
from wagtaildale.admission.messages import TicketId
from wagtaildale.calls.wire.fields import CallFields
from wagtaildale.calls.wire.frames import (
    PLAIN,
    Frame,
    FrameReader,
    Run,
    encode_frame,
)
from wagtaildale.errors.codes import Code
from wagtaildale.testing.mesh import BACKEND_PORT, MeshNode, build_record_pair
from wagtaildale.types import CallNumber, Incarnation, InstanceId, RequestId

if TYPE_CHECKING:
    from collections.abc import Callable

OUTCOME_HEADER = 'wagtaildale-outcome'
TIMEOUT_SECONDS = 5.0


class Pair:
    """An entry node and the owner node of its only upstream.

    Their instances are ``a`` and ``b``.
    """

    def __init__(self, *, line_mbps: float = 0) -> None:
        entry_record, owner_record = build_record_pair()
        self.backend = BackendThread(
            'b',
            host=owner_record.host,
            port=BACKEND_PORT,
            entry_port=owner_record.entry_port,
        )
        self.entry_node = MeshNode(entry_record)
        self.owner_node = MeshNode(owner_record)
        owner = self.owner_node.owner
        rate = make_incoming_line(line_mbps).rate
        owner.collector.line.rate = rate
        owner.response_sender.line.use.rate = rate
        self.entry_node.set_instances(owner_record)

    def close(self) -> None:
        self.entry_node.close()
        self.owner_node.close()
        self.backend.close()

    def ask(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[HTTPResponse, bytes]:
        connection = HTTPConnection(
            *self.entry_node.entry, timeout=TIMEOUT_SECONDS
        )
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        text = response.read()
        connection.close()
        return response, text

    def send_to_owner(self, frame: Frame) -> Frame:
        """Send one message to the owner as an entry would."""
        record = self.owner_node.record
        address = (record.host, record.owner_port)
        reader = FrameReader()
        frames: list[Frame] = []
        with socket.create_connection(address, TIMEOUT_SECONDS) as sock:
            sock.sendall(PLAIN + encode_frame(frame))
            while not frames:
                frames = reader.feed(sock.recv(65536))
        return frames[0]

    def send_raw_request(self, request: bytes) -> bytes:
        return send_raw_request(self.entry_node.entry, request)


def send_raw_request(address: tuple[str, int], request: bytes) -> bytes:
    """Send a request and return all bytes until the connection ends."""
    with socket.create_connection(address, TIMEOUT_SECONDS) as sock:
        sock.sendall(request)
        answer = b''
        while piece := sock.recv(65536):
            answer += piece
    return answer


def build_run(
    *,
    instance: str = 'b',
    incarnation: int = 0,
    lease: int = 0,
    remaining_ms: int = 1000,
    idempotent: bool = False,
    request_id: str = 'r',
) -> Run:
    fields = CallFields(
        request_id=RequestId(request_id),
        attempt=1,
        work_class='casefiles/booking',
        idempotent=idempotent,
        within_ms=100,
        remaining_ms=remaining_ms,
        instance=InstanceId(instance),
        incarnation=Incarnation(incarnation),
        lease=TicketId(lease),
    )
    return Run(
        CallNumber(1),
        fields,
        b'POST',
        b'/bookings',
        ((b'x-booking', b'k'),),
        b'x',
        more=False,
        length=1,
    )


def read_code(text: bytes) -> Code:
    return Code(json.decode(text)['code'])


def wait_until(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.005)
