"""What a backend server says of itself along with its responses."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from wagtaildale.errors.codes import Code
from wagtaildale.telemetry.events import EventKind

if TYPE_CHECKING:
    from wagtaildale.calls.dialect import Dialect
    from wagtaildale.calls.parsing import Message
    from wagtaildale.telemetry.events import EventRecorder
    from wagtaildale.types import InstanceId

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
    """Keeps what the backend server beside a node last said.

    Attributes:
        last: its last word.
    """

    def __init__(self, *, recorder: EventRecorder) -> None:
        """Begin with nothing heard.

        Args:
            recorder: gets an event with each change.
        """
        self.last = ServerWord()
        self._recorder = recorder

    def take(self, word: ServerWord, *, instance: InstanceId) -> None:
        """Take the word of a response.

        Args:
            word: of the server.
            instance: that the request named.
        """
        last = self.last
        if word.unreadable:
            # What cannot be read names no limit, and ends none.
            self._refuse(word, instance)
            return
        self.last = word
        if word.per_second != last.per_second:
            self._record_limit(word, instance)
        if word.is_leaving and not last.is_leaving:
            self._recorder.record(EventKind.server_leaving, subject=instance)

    def _refuse(self, word: ServerWord, instance: InstanceId) -> None:
        self._recorder.record(
            EventKind.server_word_refused,
            code=Code.server_word_malformed,
            subject=instance,
            detail=repr(word.unreadable[:SHOWN_BYTES]),
        )

    def _record_limit(self, word: ServerWord, instance: InstanceId) -> None:
        if word.per_second is None:
            self._recorder.record(EventKind.server_unlimited, subject=instance)
            return
        self._recorder.record(
            EventKind.server_limited,
            subject=instance,
            inputs={'per_second': str(word.per_second)},
        )


def _find(message: Message, name: bytes | None) -> bytes | None:
    return None if name is None else message.find(name)
