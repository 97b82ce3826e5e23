"""What a backend server says of itself along with its responses."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.admission.server_messages import (
    ProbeSent,
    RateForwarded,
    RateReported,
    LeavingReported,
    ServerRestarted,
)
from wagtaildale.errors.codes import Code
from wagtaildale.telemetry.events import EventKind
from wagtaildale.types import InstanceId

if TYPE_CHECKING:
    from wagtaildale.admission.gate import Gate
    from wagtaildale.calls.dialect import Dialect
    from wagtaildale.calls.parsing import Message
    from wagtaildale.routing.leavers import Leaver
    from wagtaildale.telemetry.events import EventRecorder

DECIMAL: Final = re.compile(rb'[0-9]{1,9}(\.[0-9]{1,9})?')
LEAVING: Final = b'1'
# Of a field that cannot be read, what goes into the log.
SHOWN_BYTES: Final = 40


class ServerWord(Struct, frozen=True, kw_only=True):
    """What a backend server says with one response.

    Attributes:
        per_second: requests that it takes from all nodes together; nothing
            if it names no limit.
        is_leaving: whether it will end.
        unreadable: what stands in place of either, if it cannot be read.
    """

    per_second: float | None = None
    is_leaving: bool = False
    unreadable: bytes = b''


def read_word(message: Message, dialect: Dialect) -> ServerWord:
    """Read what a response says of its server.

    Args:
        message: the response.
        dialect: names the fields.

    Returns:
        The server's word.
    """
    limit = _find(message, dialect.rate_limit)
    leaving = _find(message, dialect.leaving)
    if limit is not None and DECIMAL.fullmatch(limit) is None:
        return ServerWord(unreadable=limit)
    if leaving is not None and leaving != LEAVING:
        return ServerWord(unreadable=leaving)
    return ServerWord(
        per_second=None if limit is None else float(limit),
        is_leaving=leaving is not None,
    )


class ServerWords:
    """Takes what the backend server beside a node says of itself."""

    def __init__(self, gate: Gate, *, recorder: EventRecorder) -> None:
        """Begin with nothing heard.

        Args:
            gate: in front of the server; goes by what it says.
            recorder: gets an event with each change.
        """
        self._gate = gate
        self._recorder = recorder
        self._instance = InstanceId('')

    @property
    def per_second(self) -> float | None:
        """Requests that the server takes; nothing while it names no limit."""
        return self._gate.state.rate.per_second

    def take(
        self,
        word: ServerWord,
        *,
        instance: InstanceId,
        begun_at: float,
    ) -> None:
        """Take the word of a response.

        Args:
            word: of the server.
            instance: that answered.
            begun_at: when the request was sent to it, seconds.
        """
        if word.unreadable:
            # What cannot be read names no limit, and ends none.
            self._refuse(word, instance)
            return
        if instance != self._instance:
            self._instance = instance
            self.note_started()
        known = self.per_second
        self._gate.handle_server_message(
            RateReported(per_second=word.per_second, begun_at=begun_at),
        )
        if self.per_second != known:
            self._record_limit(instance)

    def note_brought(self, per_second: float, *, instance: InstanceId) -> None:
        """Take what an entry has heard of the server's limit.

        Args:
            per_second: requests that it takes.
            instance: that was asked.
        """
        if self._gate.state.rate.is_observed:
            return
        known = self.per_second
        self._gate.handle_server_message(RateForwarded(per_second=per_second))
        if self.per_second != known:
            self._record_limit(instance, origin='entry')

    def note_started(self) -> None:
        """Learn that the server has ended; the next one has said nothing."""
        if self.per_second is not None:
            self._recorder.record(
                EventKind.server_unlimited,
                subject=self._instance,
                detail='started anew',
            )
        self._gate.handle_server_message(ServerRestarted())

    def note_leaving(self, _leaver: Leaver) -> None:
        """Learn that the server leaves: whoever waits for it is refused.

        Args:
            _leaver: the server.
        """
        self._gate.handle_server_message(LeavingReported())

    def note_probe(self) -> None:
        """Count a request of the node's own to the server."""
        self._gate.handle_server_message(ProbeSent())

    def _refuse(self, word: ServerWord, instance: InstanceId) -> None:
        self._recorder.record(
            EventKind.server_word_refused,
            code=Code.server_word_malformed,
            subject=instance,
            detail=repr(word.unreadable[:SHOWN_BYTES]),
        )

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


def _find(message: Message, name: bytes | None) -> bytes | None:
    return None if name is None else message.find(name)
