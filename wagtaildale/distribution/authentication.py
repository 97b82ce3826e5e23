"""Authenticates peers that connect (ZAP, RFC 27 of ZeroMQ).

With keys in the settings, every connection is encrypted by CURVE. A peer whose
public key is not one of the fleet's is refused and counted before any of its
messages is read, so that no outsider can send a configuration or read one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import zmq
from msgspec import Struct
from zmq.utils import z85

if TYPE_CHECKING:
    from collections.abc import Collection

    from wagtaildale.keys.pairs import KeyPair

ZAP_ADDRESS: Final = 'inproc://zeromq.zap.01'
ZAP_VERSION: Final = b'1.0'
CURVE: Final = b'CURVE'
ACCEPTED: Final = b'200'
REFUSED: Final = b'400'
ZAP_FRAMES: Final = 7


class ZapRequest(Struct, frozen=True):
    """Frames of an authentication request, in the order of the protocol."""

    version: bytes
    request_id: bytes
    domain: bytes
    address: bytes
    identity: bytes
    mechanism: bytes
    credential: bytes = b''


class ZapAuthenticator:
    """Answers the library's authentication requests for new connections."""

    def __init__(
        self,
        context: zmq.Context[zmq.Socket[bytes]],
        *,
        accepted: Collection[KeyPair],
    ) -> None:
        """Bind the socket that receives authentication requests.

        Args:
            context: context of the sockets to protect.
            accepted: key pairs of the fleet.
        """
        self.refused = 0
        self.socket = context.socket(zmq.REP)
        self.socket.bind(ZAP_ADDRESS)
        self._accepted = {z85.decode(pair.public) for pair in accepted}

    def answer(self) -> None:
        """Answer all pending authentication requests."""
        while self.socket.poll(0):
            frames = self.socket.recv_multipart()
            request = ZapRequest(*frames[:ZAP_FRAMES])
            self.socket.send_multipart(self._authenticate(request))

    def close(self) -> None:
        """Close the socket."""
        self.socket.close()

    def _authenticate(self, request: ZapRequest) -> tuple[bytes, ...]:
        is_encrypted = request.mechanism == CURVE
        status = ACCEPTED
        if not is_encrypted or request.credential not in self._accepted:
            self.refused += 1
            status = REFUSED
        head = (ZAP_VERSION, request.request_id, status)
        return (*head, b'', b'', b'')
