"""Owners whose messages a test scripts."""

from __future__ import annotations

import socket
import threading
from typing import TYPE_CHECKING

from wagtaildale.admission.messages import TicketId
from wagtaildale.calls.tests.listeners import Listener
from wagtaildale.calls.wire.fields import NO_LEASE, AnswerFields
from wagtaildale.calls.wire.frames import (
    PLAIN,
    Answered,
    FrameReader,
    Granted,
    Ping,
    Pong,
    Reserve,
    Run,
    encode_frame,
)
from wagtaildale.errors.codes import Code
from wagtaildale.types import Incarnation, InstanceId, Outcome

if TYPE_CHECKING:
    from wagtaildale.calls.wire.fields import CallFields
    from wagtaildale.calls.wire.frames import Frame

LEASE = TicketId(7)
BODY = b'late'


class SilentOwner(Listener):
    """Grants slots, accepts a run, and then stops sending for a while.

    The owner answers the run after a number of pings. Until then it also
    sends nothing on further connections, which have threads of their own,
    unless only the first connection is silent. It may send the beginning of
    the answer before it falls silent.

    Attributes:
        is_only_first_silent: whether only the first connection is silent.
        starts_answer: whether the owner starts the answer before it is silent.
        runs: run messages received.
        unanswered_pings: number of pings that were not answered.
        has_run: event that is set once a run message has arrived.
        has_answered: event that is set once the run is answered.
    """

    def __init__(
        self,
        address: tuple[str, int],
        *,
        silent_pings: int,
        is_only_first_silent: bool = False,
        starts_answer: bool = False,
    ) -> None:
        self.is_only_first_silent = is_only_first_silent
        self.starts_answer = starts_answer
        self.runs: list[Run] = []
        self.unanswered_pings = 0
        self.has_run = threading.Event()
        self.has_answered = threading.Event()
        self._silent_pings = silent_pings
        super().__init__(address)

    def answer(self, sock: socket.socket) -> None:
        pings = self._silent_pings
        if self.is_only_first_silent and self.runs:
            pings = 0
        script = _ConnectionScript(self, sock.dup(), pings=pings)
        threading.Thread(
            target=script.run,
            daemon=True,
        ).start()

    @property
    def is_silent(self) -> bool:
        waiting = self.has_run.is_set() and not self.has_answered.is_set()
        return waiting and not self.is_only_first_silent

    def note_run(self, run: Run) -> None:
        self.runs.append(run)
        self.has_run.set()


class _ConnectionScript:
    """The behaviour of a silent owner on one connection."""

    def __init__(
        self,
        owner: SilentOwner,
        sock: socket.socket,
        *,
        pings: int,
    ) -> None:
        self._owner = owner
        self._sock = sock
        self._pings_left = pings
        self._run: Run | None = None

    def run(self) -> None:
        reader = FrameReader()
        with self._sock as sock:
            assert sock.recv(1) == PLAIN
            while chunk := _receive(sock):
                for frame in reader.feed(chunk):
                    self._handle_frame(frame)

    def _handle_frame(self, frame: Frame) -> None:
        if isinstance(frame, Reserve):
            self._send(Granted(frame.call, _describe(frame.fields, LEASE)))
        elif isinstance(frame, Run):
            self._run = frame
            self._owner.note_run(frame)
            if self._owner.starts_answer:
                self._answer(frame, more=True)
            self._answer_if_due()
        elif isinstance(frame, Ping):
            self._handle_ping()

    def _handle_ping(self) -> None:
        if self._run is not None:
            self._pings_left -= 1
            self._owner.unanswered_pings += 1
            self._answer_if_due()
        elif not self._owner.is_silent:
            self._send(Pong())

    def _answer_if_due(self) -> None:
        run = self._run
        if run is None or self._pings_left > 0:
            return
        self._run = None
        self._owner.has_answered.set()
        self._answer(run, more=False)

    def _answer(self, run: Run, *, more: bool) -> None:
        length = 2 * len(BODY) if more else len(BODY)
        answered = Answered(
            run.call,
            _describe(run.fields),
            200,
            (),
            BODY,
            more=more,
            length=length,
        )
        self._send(answered)

    def _send(self, frame: Frame) -> None:
        self._sock.sendall(encode_frame(frame))


def _receive(sock: socket.socket) -> bytes:
    try:
        return sock.recv(9999)
    except OSError:
        return b''


def _describe(
    fields: CallFields,
    lease: TicketId = NO_LEASE,
) -> AnswerFields:
    return AnswerFields(
        request_id=fields.request_id,
        attempt=fields.attempt,
        code=Code.ok,
        outcome=Outcome.answered,
        instance=InstanceId('b'),
        incarnation=Incarnation(1),
        in_flight=0,
        limit=4,
        queued=0,
        lease=lease,
    )
