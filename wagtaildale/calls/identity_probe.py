"""Asks the backend server beside a node which instance it is."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wagtaildale.calls.backend_connection import BackendRequest
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.parsing import UNKNOWN_LENGTH
from wagtaildale.errors.codes import Code
from wagtaildale.timers.service import read_clock
from wagtaildale.types import InstanceId

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.calls.addresses import Address
    from wagtaildale.calls.backend_pool import BackendPool
    from wagtaildale.calls.backend_connection import BackendConnection
    from wagtaildale.calls.parsing import Message
    from wagtaildale.calls.server_targets import ServerTargets
    from wagtaildale.timers.alarms import Alarm

# Health checks take a slot like requests, so that few are sent; each second
# without an answer is one in which callers are refused.
PROBE_INTERVAL_SECONDS: Final = 1.0
# A server that is full answers when a request has ended.
PROBE_TIMEOUT_SECONDS: Final = 0.9


class IdentityProbe:
    """Sends a health check when it is due; a ``BackendReceiver``."""

    def __init__(
        self,
        pool: BackendPool,
        *,
        address: Address,
        field: bytes | None,
        read_health_path: Callable[[], str],
        targets: ServerTargets,
    ) -> None:
        """Prepare; nothing is sent yet.

        Args:
            pool: connections to the server.
            address: of the server.
            field: of an answer that names the instance; nothing if servers
                do not say.
            read_health_path: gives where they answer, or nothing.
            targets: are told which instance the server says it is, or why
                it does not say.
        """
        self._pool = pool
        self._address = address
        self._field = field
        self._read_path = read_health_path
        self._targets = targets
        self._next_at = float(0)
        self._connection: BackendConnection | None = None
        self._message: Message | None = None
        self._alarm: Alarm | None = None

    def send_if_due(self) -> None:
        """Ask, unless that was done a moment ago."""
        path = self._read_path()
        now = read_clock()
        if self._field is None or not path or now < self._next_at:
            return
        self._next_at = now + PROBE_INTERVAL_SECONDS
        host = f'{self._address.host}:{self._address.port}'
        request = BackendRequest(
            request_id=b'',
            method=b'GET',
            target=path.encode(),
            headers=((b'host', host.encode()),),
            body=b'',
            more=False,
            length=UNKNOWN_LENGTH,
            idempotent=True,
        )
        self._targets.feedback.note_probe()
        self._connection = self._pool.send_request(request, self)
        alarms = self._pool.loop.alarms
        self._alarm = alarms.set(PROBE_TIMEOUT_SECONDS, self._give_up)

    def on_head(self, message: Message) -> None:
        """Take who the server says it is; see ``BackendReceiver``.

        Its status does not matter: a server that is ill or leaves is still
        the one that it names.

        Args:
            message: the answer.
        """
        self._message = message
        assert self._field is not None
        named = (message.find(self._field) or b'').decode('latin-1')
        # The name goes into a header of every request to the server.
        if named and named.isascii() and named.isprintable():
            self._targets.note_identified(InstanceId(named))
        else:
            failure = CallFailed(
                Code.answer_mismatched,
                detail=f'status {message.status} names no instance',
            )
            self._targets.note_unidentified(failure)

    def on_body(self) -> None:
        """Drop what comes of the answer's body; see ``BackendReceiver``."""
        assert self._message is not None
        self._message.take_body()
        if self._message.is_complete:
            self._end()

    def on_failed(self, failure: CallFailed) -> None:
        """Give up until the next question; see ``BackendReceiver``.

        Args:
            failure: why no answer comes.
        """
        self._targets.note_unidentified(failure)
        self._end()

    def on_writable(self) -> None:
        """Nothing more is sent; see ``BackendReceiver``."""

    def _give_up(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self.on_failed(CallFailed(Code.timed_out))

    def _end(self) -> None:
        self._connection = None
        if self._alarm is not None:
            self._alarm.cancel()
