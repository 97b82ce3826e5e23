"""Reads and applies what a backend server reports in its responses."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.admission.pace import MAX_PERCENT, MIN_PERCENT, ServerLoad
from wagtaildale.admission.server_messages import (
    LeavingReported,
    LoadReported,
    ProbeSent,
    RateForwarded,
    RateReported,
    ServerRestarted,
)
from wagtaildale.errors.codes import Code
from wagtaildale.telemetry.events import EventKind
from wagtaildale.types import InstanceId

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtaildale.admission.gate import Gate
    from wagtaildale.calls.dialect import Dialect
    from wagtaildale.calls.http.parsing import Message
    from wagtaildale.routing.leaving_servers import LeavingServer
    from wagtaildale.telemetry.events import EventRecorder

# Requests per second, as a decimal number with at most nine digits before the
# point; a quotient may have any number of digits after it.
RATE_PATTERN: Final = re.compile(rb'[0-9]{1,9}(\.[0-9]+)?')
# Running requests, waiting requests and slots; the pace in percent may follow.
LOAD_PATTERN: Final = re.compile(rb'[0-9]{1,9}(,[0-9]{1,9}){2,3}')
LEAVING_VALUE: Final = b'1'
# A longer malformed header value is cut to this length in the log.
MAX_LOGGED_BYTES: Final = 40


class ServerFeedback(Struct, frozen=True, kw_only=True):
    """Feedback of a backend server in one response.

    Attributes:
        per_second: requests per second that the server accepts from all
            nodes together; None if it sets no limit.
        malformed: value of the rate limit's header if it could not be parsed,
            otherwise None; like the two below, it affects no other header.
        is_leaving: whether the server announces that it is leaving.
        malformed_leaving: value of the leaving header if it could not be
            parsed.
        load: reported load; None if there is none or if it could not be
            parsed.
        malformed_load: value of the load header if it could not be parsed.
    """

    per_second: float | None = None
    malformed: bytes | None = None
    is_leaving: bool = False
    malformed_leaving: bytes | None = None
    load: ServerLoad | None = None
    malformed_load: bytes | None = None


def parse_feedback(message: Message, dialect: Dialect) -> ServerFeedback:
    """Parse the feedback headers of a response.

    Args:
        message: the response.
        dialect: names of the header fields.

    Returns:
        The feedback of the server.
    """
    limit = _find_header(message, dialect.rate_limit)
    per_second = None if limit is None else _parse_rate(limit)
    leaving = _find_header(message, dialect.leaving)
    is_leaving = leaving == LEAVING_VALUE
    load_text = _find_header(message, dialect.load)
    load = None if load_text is None else parse_load(load_text)
    return ServerFeedback(
        per_second=per_second,
        malformed=limit if per_second is None else None,
        is_leaving=is_leaving,
        malformed_leaving=None if is_leaving else leaving,
        load=load,
        malformed_load=None if load else load_text,
    )


def parse_load(text: bytes) -> ServerLoad | None:
    """Parse the load that a server reports.

    Args:
        text: value of the header.

    Returns:
        The load; None if the value is malformed.
    """
    if LOAD_PATTERN.fullmatch(text) is None:
        return None
    running, waiting, slots, *rest = map(int, text.split(b','))
    if rest and not MIN_PERCENT <= rest[0] <= MAX_PERCENT:
        return None
    return ServerLoad(
        running=running,
        waiting=waiting,
        slots=slots,
        pace_percent=rest[0] if rest else 0,
    )


def parse_instance(message: Message, dialect: Dialect) -> InstanceId | None:
    """Parse the instance that a server reports to be in a response.

    Args:
        message: the response.
        dialect: names of the header fields.

    Returns:
        The reported instance; None if there is none, or if its name cannot be
        a header value in requests to the server.
    """
    reported = (_find_header(message, dialect.instance) or b'').decode(
        'latin-1'
    )
    is_valid = reported and reported.isascii() and reported.isprintable()
    return InstanceId(reported) if is_valid else None


class FeedbackTracker:
    """Applies the feedback of the backend server beside a node.

    Attributes:
        load_listeners: callbacks for each reported load with a pace.
    """

    def __init__(self, gate: Gate, *, recorder: EventRecorder) -> None:
        """Start without feedback.

        Args:
            gate: admission control of the server, which applies its limits.
            recorder: recorder of an event for each change.
        """
        self.load_listeners: list[Callable[[], None]] = []
        self._gate = gate
        self._recorder = recorder
        self._instance = InstanceId('')

    @property
    def per_second(self) -> float | None:
        """Rate limit in requests per second; None while there is none."""
        return self._gate.state.rate.per_second

    def apply(
        self,
        feedback: ServerFeedback,
        *,
        instance: InstanceId,
        begun_at: float,
    ) -> None:
        """Apply the feedback of a response.

        Args:
            feedback: feedback read from the response.
            instance: instance that answered.
            begun_at: time at which the request was sent, in seconds.
        """
        # A malformed header neither sets nor removes a limit.
        if feedback.malformed is None:
            self._apply_limit(feedback, instance=instance, begun_at=begun_at)
        for text in (
            feedback.malformed,
            feedback.malformed_leaving,
            feedback.malformed_load,
        ):
            if text is not None:
                self.note_malformed(text)
        if feedback.load is not None:
            self._gate.handle_server_message(LoadReported(load=feedback.load))
            self._notify_load_listeners(feedback.load)

    def apply_forwarded_limit(
        self,
        per_second: float,
        *,
        instance: InstanceId,
    ) -> None:
        """Apply a rate limit that an entry knows from an earlier owner.

        Args:
            per_second: limit in requests per second.
            instance: instance that the request names.
        """
        if self._gate.state.rate.is_observed:
            return
        previous = self.per_second
        self._gate.handle_server_message(RateForwarded(per_second=per_second))
        if self.per_second != previous:
            self._record_limit(instance, origin='entry')

    def note_started(self) -> None:
        """Clear the limit, because a new server process started."""
        if self.per_second is not None:
            self._recorder.record(
                EventKind.server_unlimited,
                subject=self._instance,
                detail='the server restarted',
            )
        self._gate.handle_server_message(ServerRestarted())

    def note_leaving(self, _leaving_server: LeavingServer) -> None:
        """Refuse the requests that wait for a leaving server.

        Args:
            _leaving_server: not used; the gate belongs to one server.
        """
        self._gate.handle_server_message(LeavingReported())

    def note_probe(self) -> None:
        """Count a probe that the node sends to the server."""
        self._gate.handle_server_message(ProbeSent())

    def note_malformed(self, text: bytes) -> None:
        """Record a header of the server that could not be parsed.

        Args:
            text: value of the header.
        """
        self._recorder.record(
            EventKind.server_word_refused,
            code=Code.server_word_malformed,
            subject=self._instance,
            detail=repr(text[:MAX_LOGGED_BYTES]),
        )

    def _apply_limit(
        self,
        feedback: ServerFeedback,
        *,
        instance: InstanceId,
        begun_at: float,
    ) -> None:
        if instance != self._instance:
            self._instance = instance
            self.note_started()
        previous = self.per_second
        self._gate.handle_server_message(
            RateReported(per_second=feedback.per_second, begun_at=begun_at),
        )
        if self.per_second != previous:
            self._record_limit(instance)

    def _notify_load_listeners(self, load: ServerLoad) -> None:
        if load.pace_percent:
            for notify in self.load_listeners:
                notify()

    def _record_limit(
        self,
        instance: InstanceId,
        *,
        origin: str = 'server',
    ) -> None:
        per_second = self.per_second
        if per_second is None:
            self._recorder.record(EventKind.server_unlimited, subject=instance)
            return
        self._recorder.record(
            EventKind.server_limited,
            subject=instance,
            inputs={'per_second': str(per_second), 'origin': origin},
        )


def _parse_rate(text: bytes) -> float | None:
    return float(text) if RATE_PATTERN.fullmatch(text) else None


def _find_header(message: Message, name: bytes | None) -> bytes | None:
    return None if name is None else message.find(name)
