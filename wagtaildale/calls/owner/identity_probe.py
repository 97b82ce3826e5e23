"""Probes which instance the backend server beside a node is."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Final

from wagtaildale.calls.backend.backend_connection import BackendRequest
from wagtaildale.calls.failures import CallFailed
from wagtaildale.calls.http.parsing import UNKNOWN_LENGTH
from wagtaildale.calls.owner.server_feedback import parse_instance
from wagtaildale.errors.codes import Code
from wagtaildale.timers.service import read_clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.calls.addresses import Address
    from wagtaildale.calls.backend.backend_connection import BackendConnection
    from wagtaildale.calls.backend.backend_pool import BackendPool
    from wagtaildale.calls.dialect import Dialect
    from wagtaildale.calls.http.parsing import Message
    from wagtaildale.calls.owner.server_targets import ServerTargets
    from wagtaildale.timers.alarms import Alarm

# A health check takes a slot like a request, so probes are not sent more often;
# callers are refused until one is answered.
PROBE_INTERVAL_SECONDS: Final = 1.0
# A server without a free slot answers only after a request has ended. Shorter
# than the interval, so that at most one probe is in progress.
PROBE_TIMEOUT_SECONDS: Final = 0.9
# While no probe can be sent, for example in an evacuated data centre.
MIN_REPEAT_SECONDS: Final = 0.25
# Milliseconds, as a decimal number with at most nine digits before and after
# the point.
DURATION_PATTERN: Final = re.compile(rb'[0-9]{1,9}(\.[0-9]{1,9})?')
MILLISECONDS: Final = 1000


class IdentityProbe:
    """Sends health checks at a limited rate; a ``BackendReceiver``."""

    def __init__(
        self,
        pool: BackendPool,
        *,
        address: Address,
        dialect: Dialect,
        read_health_path: Callable[[], str],
        targets: ServerTargets,
    ) -> None:
        """Create the probe without sending anything.

        Args:
            pool: connections to the server.
            address: address of the server.
            dialect: header fields in which servers report on themselves.
            read_health_path: callback that returns the path of the health
                check; empty if there is none.
            targets: receiver of the reported instance, or of the failure.
        """
        self._pool = pool
        self._address = address
        self._dialect = dialect
        self._read_health_path = read_health_path
        self._targets = targets
        self._next_probe_at = float(0)
        self._asked_at = float(0)
        self._connection: BackendConnection | None = None
        self._message: Message | None = None
        self._alarm: Alarm | None = None
        self._repeat_alarm: Alarm | None = None

    def send_until_answered(self) -> None:
        """Send probes until the server has told whether it is cold."""
        if not self._targets.slow_start.is_in_doubt:
            return
        self.send_if_due()
        if self._repeat_alarm is None or not self._repeat_alarm.is_set:
            wait = max(MIN_REPEAT_SECONDS, self._next_probe_at - read_clock())
            self._repeat_alarm = self._pool.loop.alarms.set(
                wait, self.send_until_answered
            )

    def send_if_due(self) -> None:
        """Send a probe, at most one every ``PROBE_INTERVAL_SECONDS``."""
        path = self._read_health_path()
        now = read_clock()
        if (
            self._dialect.instance is None
            or not path
            or now < self._next_probe_at
            or self._targets.is_evacuated()
        ):
            return
        self._next_probe_at = now + PROBE_INTERVAL_SECONDS
        self._asked_at = now
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
        self._alarm = alarms.set(PROBE_TIMEOUT_SECONDS, self._on_timeout)

    def on_head(self, message: Message) -> None:
        """Read the reported instance; see ``BackendReceiver``.

        The status does not matter: a server that is unhealthy or leaving
        still reports its own instance.

        Args:
            message: response to the health check.
        """
        self._message = message
        reported = parse_instance(message, self._dialect)
        if reported is None:
            failure = CallFailed(
                Code.answer_mismatched,
                detail=(
                    f'health check response with status {message.status} '
                    'names no valid instance'
                ),
            )
            self._targets.note_unidentified(failure)
            return
        self._targets.note_identified(reported)
        self._note_slow_start(message)

    def on_body(self) -> None:
        """Discard the body of the response; see ``BackendReceiver``."""
        assert self._message is not None
        self._message.take_body()
        if self._message.is_complete:
            self._finish()

    def on_failed(self, failure: CallFailed) -> None:
        """Give up until the next probe; see ``BackendReceiver``.

        Args:
            failure: cause of the missing response.
        """
        self._targets.note_unidentified(failure)
        self._finish()

    def on_writable(self) -> None:
        """Do nothing: the request has no body; see ``BackendReceiver``."""

    def _note_slow_start(self, message: Message) -> None:
        if self._dialect.slow_start_ms is None:
            return
        left_ms = message.find(self._dialect.slow_start_ms)
        if left_ms is None:
            self._targets.slow_start.note_reported(0, asked_at=self._asked_at)
        elif DURATION_PATTERN.fullmatch(left_ms):
            self._targets.slow_start.note_reported(
                float(left_ms) / MILLISECONDS, asked_at=self._asked_at
            )
        else:
            self._targets.feedback.note_malformed(left_ms)

    def _on_timeout(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self.on_failed(CallFailed(Code.timed_out))

    def _finish(self) -> None:
        self._connection = None
        if self._alarm is not None:
            self._alarm.cancel()
