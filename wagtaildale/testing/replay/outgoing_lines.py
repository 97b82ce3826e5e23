"""Simulated server whose responses share the line out of its node."""

from __future__ import annotations

import random
from functools import partial
from math import inf
from typing import TYPE_CHECKING, Final

from msgspec import Struct, field

from wagtaildale.admission.messages import RequestArrived
from wagtaildale.admission.outgoing_line import (
    OutgoingLine,
    ResponseId,
    ResponseLimits,
    check_response,
)
from wagtaildale.testing.replay.load import LoadClass
from wagtaildale.testing.replay.servers import Job, ReplayServer

if TYPE_CHECKING:
    from wagtaildale.admission.messages import Refused, TicketId
    from wagtaildale.testing.replay.clock import VirtualClock

MS_PER_SECOND: Final = 1000
# One-way delay between the owner and the entries, beside the time on the line.
DELAY_SECONDS: Final = 0.002
# Bytes of the head of a response beside its body, and of a message with a piece
# of it.
HEAD_BYTES: Final = 250
FRAME_BYTES: Final = 80
# Payload of a packet, and its headers of TCP, IP and Ethernet.
PACKET_BODY_BYTES: Final = 1448
PACKET_HEADER_BYTES: Final = 66


class ResponseLoad(Struct, frozen=True, kw_only=True):
    """A class of requests, with the size of its responses.

    Attributes:
        work_class: rate, run times, targets and rank.
        bytes: mean size of a response, log-normal.
        max_bytes: size of the largest response.
        spread: standard deviation of the logarithm of the size.
        bulk: whether the class is marked as bulk.
    """

    work_class: LoadClass
    bytes: int
    max_bytes: int
    spread: float = 0
    bulk: bool = False

    def draw_bytes(self) -> int:
        """Draw the size of a response.

        Returns:
            Number of bytes.
        """
        factor = random.lognormvariate(-(self.spread**2) / 2, self.spread)
        return min(self.max_bytes, max(1, round(self.bytes * factor)))


class ResponseCounts(Struct, kw_only=True):
    """Outcomes of the requests of one class.

    Attributes:
        sent: requests that arrived at the owner.
        in_time: requests answered within the target.
        late: requests answered after it.
        refused_by_slots: requests that the gate refused.
        refused_by_line: requests refused for want of bandwidth.
        bytes_in_time: bytes of the responses within the target.
        bulk_ahead_seconds: longest time of large responses on the line when
            a response of the class was sent.
        retry_after: retry times of the refusals for want of bandwidth.
    """

    sent: int = 0
    in_time: int = 0
    late: int = 0
    refused_by_slots: int = 0
    refused_by_line: int = 0
    bytes_in_time: int = 0
    bulk_ahead_seconds: float = 0
    retry_after: list[float] = field(default_factory=list)


class _Response(Struct, kw_only=True, eq=False):
    load: ResponseLoad
    arrived_at: float
    size: int
    name: ResponseId
    unsent: int = 0


class ReplayOutgoingLine:
    """One server whose responses share the line out of its node.

    Attributes:
        counts: outcomes by class.
    """

    def __init__(
        self,
        clock: VirtualClock,
        server: ReplayServer,
        line: OutgoingLine,
        *,
        is_scheduled: bool,
        real_bytes_per_second: float = inf,
    ) -> None:
        """Create an idle line.

        Args:
            clock: virtual clock.
            server: server behind the production code of its gate.
            line: state of the owner's line.
            is_scheduled: whether large responses are scheduled; otherwise
                every response is sent at once.
            real_bytes_per_second: bandwidth of the simulated line; infinite
                if slots are the only limit.
        """
        self.counts: dict[str, ResponseCounts] = {}
        self._clock = clock
        self._server = server
        self._line = line
        self._is_scheduled = is_scheduled
        self._per_second = real_bytes_per_second
        self._free_at = float(0)
        self._bulk_ends: list[tuple[float, float]] = []
        self._responses: dict[ResponseId, _Response] = {}
        self._last_name = 0
        self._wakes_at = inf

    def play(
        self, loads: tuple[ResponseLoad, ...], *, seconds: float
    ) -> dict[str, ResponseCounts]:
        """Schedule the arrivals of a load and run it to its end.

        Args:
            loads: classes of requests.
            seconds: length of the load.

        Returns:
            Outcomes by class.
        """
        for load in loads:
            name = load.work_class.name
            self.counts[name] = ResponseCounts()
            self._schedule(load, seconds)
        # The last responses get their deadline to arrive.
        longest = max(each.work_class.deadline_seconds for each in loads)
        self._clock.run(until=seconds + 2 * longest)
        return self.counts

    def _schedule(self, load: ResponseLoad, seconds: float) -> None:
        at = random.expovariate(load.work_class.per_second)
        while at < seconds:
            self._clock.schedule(at, partial(self._arrive, load))
            at += random.expovariate(load.work_class.per_second)

    def _arrive(self, load: ResponseLoad) -> None:
        now = self._clock.now
        counts = self.counts[load.work_class.name]
        counts.sent += 1
        self._last_name += 1
        response = _Response(
            load=load,
            arrived_at=now,
            size=load.draw_bytes(),
            name=ResponseId(self._last_name),
        )
        if load.bulk and self._is_scheduled and not self._expect(response):
            return
        work_class = load.work_class
        self._server.request_slot(
            RequestArrived(
                within_ms=int(work_class.target_seconds * MS_PER_SECOND),
                deadline=now + work_class.deadline_seconds,
                rank=work_class.rank,
                work_class=work_class.name,
            ),
            Job(
                work_class=work_class,
                on_refused=partial(self._on_refused, response),
                on_done=partial(self._on_done, response),
                on_started=_start_without_calls,
            ),
        )

    def _expect(self, response: _Response) -> bool:
        line = self._line
        now = self._clock.now
        work_class = response.load.work_class
        limits = ResponseLimits(
            target_seconds=work_class.target_seconds,
            deadline_seconds=work_class.deadline_seconds,
            patient=True,
            rank=work_class.rank,
        )
        overdue = check_response(
            line,
            work_class.name,
            limits=limits,
            run_seconds=self._server.state.estimate_run_seconds(
                work_class.name, now=now
            ),
            now=now,
        )
        if overdue > 0:
            counts = self.counts[work_class.name]
            counts.refused_by_line += 1
            counts.retry_after.append(overdue)
            return False
        size = line.sizes.find(work_class.name).mean
        line.expect(response.name, size=size, limits=limits, now=now)
        self._responses[response.name] = response
        return True

    def _on_refused(self, response: _Response, _refused: Refused) -> None:
        self.counts[response.load.work_class.name].refused_by_slots += 1
        self._end(response)

    def _on_done(self, response: _Response, _seconds: float) -> None:
        known = self._line.responses.get(response.name)
        if known is None:
            size = response.size + HEAD_BYTES
            if self._is_scheduled:
                self._line.use.note_other_sent(size, now=self._clock.now)
            self._carry(response, size, is_last=True)
            return
        response.unsent = response.size
        known.note_received(response.size, is_complete=True)
        self._line.sizes.note(response.load.work_class.name, response.size)
        self._release()

    def _release(self) -> None:
        line = self._line
        now = self._clock.now
        line.use.note_other_sent(0, now=now)
        piece = line.find_piece(now)
        while piece is not None:
            self._send_piece(self._responses[piece.response], piece.size)
            piece = line.find_piece(now)
        self._wake_at(line.find_next_at(now))

    def _send_piece(self, response: _Response, max_size: int) -> None:
        now = self._clock.now
        size = min(max_size, response.unsent)
        response.unsent -= size
        self._line.use.note_piece_sent(size + FRAME_BYTES, now=now)
        self._line.responses[response.name].note_sent(size, now=now)
        self._carry(response, size + FRAME_BYTES, is_last=not response.unsent)
        if response.unsent:
            self._clock.schedule(
                self._free_at - now + 2 * DELAY_SECONDS,
                partial(self._on_acknowledged, response.name, size),
            )
        else:
            self._end(response)

    def _on_acknowledged(self, name: ResponseId, size: int) -> None:
        known = self._line.responses.get(name)
        if known is not None:
            known.note_acknowledged(size, now=self._clock.now)
        self._release()

    def _wake_at(self, at: float) -> None:
        is_set = self._clock.now < self._wakes_at <= at
        if at < inf and not is_set:
            self._wakes_at = at
            self._clock.schedule(at - self._clock.now, self._release)

    def _carry(self, response: _Response, size: int, *, is_last: bool) -> None:
        now = self._clock.now
        packets = 1 + size // PACKET_BODY_BYTES
        size += packets * PACKET_HEADER_BYTES
        begins = max(self._free_at, now)
        self._free_at = begins + size / self._per_second
        if response.load.bulk:
            self._bulk_ends.append((begins, self._free_at))
        else:
            self._note_bulk_ahead(response.load)
        if is_last:
            self._clock.schedule(
                self._free_at - now + DELAY_SECONDS,
                partial(self._deliver, response),
            )

    def _note_bulk_ahead(self, load: ResponseLoad) -> None:
        now = self._clock.now
        self._bulk_ends = [each for each in self._bulk_ends if each[1] > now]
        ahead = sum(end - max(now, begins) for begins, end in self._bulk_ends)
        counts = self.counts[load.work_class.name]
        counts.bulk_ahead_seconds = max(counts.bulk_ahead_seconds, ahead)

    def _deliver(self, response: _Response) -> None:
        counts = self.counts[response.load.work_class.name]
        seconds = self._clock.now + DELAY_SECONDS - response.arrived_at
        if seconds <= response.load.work_class.target_seconds:
            counts.in_time += 1
            counts.bytes_in_time += response.size
        else:
            counts.late += 1

    def _end(self, response: _Response) -> None:
        self._responses.pop(response.name, None)
        self._line.end(response.name)


def _start_without_calls(_ticket: TicketId) -> bool:
    return False
