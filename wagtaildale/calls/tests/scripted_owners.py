"""Owners that a test scripts, a message at a time."""

from __future__ import annotations

import socket
import threading
from typing import TYPE_CHECKING

from wagtaildale.admission.messages import TicketId
from wagtaildale.calls.fields import NO_LEASE, AnswerFields
from wagtaildale.calls.frames import (
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
from wagtaildale.calls.tests.listeners import Listener
from wagtaildale.errors.codes import Code
from wagtaildale.types import Incarnation, InstanceId, Outcome

if TYPE_CHECKING:
    from wagtaildale.calls.fields import CallFields
    from wagtaildale.calls.frames import Frame

LEASE = TicketId(7)
BODY = b'late'


class SilentOwner(Listener):
    """Grants slots, takes a run, and then says nothing for a while.

    It answers once it was asked so many times whether it is there. Until
    then its line stands still: nothing comes on further connections either,
    which are served by threads of their own. Or only the first connection
    is silent, and further ones work. It may begin an answer before.
    """

    def __init__(
        self,
        address: tuple[str, int],
        *,
        silent_pings: int,
        only_first: bool = False,
        begins: bool = False,
    ) -> None:
        self.only_first = only_first
        self.begins = begins
        self.runs: list[Run] = []
        self.unanswered_pings = 0
        self.has_run = threading.Event()
        self.has_answered = threading.Event()
        self._silent_pings = silent_pings
        super().__init__(address)

    def answer(self, sock: socket.socket) -> None:
        pings = self._silent_pings
        if self.only_first and self.runs:
            pings = 0
        script = _Script(self, sock.dup(), pings=pings)
        threading.Thread(
            target=script.play,
            daemon=True,
        ).start()

    @property
    def is_silent(self) -> bool:
        waiting = self.has_run.is_set() and not self.has_answered.is_set()
        return waiting and not self.only_first

    def note_run(self, run: Run) -> None:
        self.runs.append(run)
        self.has_run.set()


class _Script:
    """What a silent owner does on one connection."""

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

    def play(self) -> None:
        reader = FrameReader()
        with self._sock as sock:
            assert sock.recv(1) == PLAIN
            while chunk := _receive(sock):
                for frame in reader.feed(chunk):
                    self._take(frame)

    def _take(self, frame: Frame) -> None:
        if isinstance(frame, Reserve):
            self._send(Granted(frame.call, _describe(frame.fields, LEASE)))
        elif isinstance(frame, Run):
            self._run = frame
            self._owner.note_run(frame)
            if self._owner.begins:
                self._answer(frame, more=True)
            self._answer_if_due()
        elif isinstance(frame, Ping):
            self._take_ping()

    def _take_ping(self) -> None:
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
