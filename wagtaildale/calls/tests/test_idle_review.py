"""Tests of when an idle server is put in doubt."""

from __future__ import annotations

from math import inf

import pytest

from wagtaildale.admission.gate import Gate
from wagtaildale.calls.owner.idle_review import (
    IDLE_SECONDS,
    IdleReview,
    may_have_restarted,
)
from wagtaildale.calls.owner.server_slow_start import SlowStartTracker
from wagtaildale.configuration.model import SlowStart
from wagtaildale.settings.model import BoundSettings
from wagtaildale.testing.builders import build_gate, build_recorder
from wagtaildale.timers.service import read_clock
from wagtaildale.types import InstanceId


@pytest.mark.parametrize(
    ('contact_at', 'doubted_at', 'expected'),
    [
        (10, -inf, True),
        (10, 5, True),
        (10, 10.1, False),
        (20 - IDLE_SECONDS / 2, -inf, False),
    ],
)
def test_server_is_doubted_once_after_each_contact(
    contact_at: float, doubted_at: float, *, expected: bool
) -> None:
    """A server that restarts twice while idle is doubted only once."""
    assert expected is may_have_restarted(
        contact_at=contact_at, doubted_at=doubted_at, now=20
    )


class AskedServer:
    """A server that was asked and has not answered yet.

    Attributes:
        gate: admission control of the server.
        tracker: tracker of its slow start.
        review: its review; no connection is open.
        asked_at: when the health check was sent, seconds on the clock.
    """

    def __init__(self) -> None:
        self.gate: Gate = build_gate()
        self.tracker = SlowStartTracker(
            self.gate,
            read_slow_start=lambda: SlowStart(seconds=30, per_second=7.5),
            bounds=BoundSettings(),
            recorder=build_recorder(),
        )
        self.review = IdleReview(
            self.tracker, rate=self.gate.state.rate, find_contact=float
        )
        self.tracker.note_unknown()
        self.asked_at = read_clock()

    @property
    def is_bounded(self) -> bool:
        """Whether the server counts as cold."""
        return self.gate.state.rate.find_slow_start(read_clock()) is not None


def test_review_keeps_a_question_that_is_not_answered_yet() -> None:
    """The answer of a warm server is dropped, and it stays bounded."""
    server = AskedServer()
    server.review.run()
    server.tracker.note_reported(0, asked_at=server.asked_at)
    assert not server.is_bounded


def test_list_does_not_stop_a_question() -> None:
    """An old list keeps the bound of a warm server in force."""
    server = AskedServer()
    server.tracker.note_listed(InstanceId('i-1'), 30)
    assert server.tracker.is_in_doubt
    server.tracker.note_reported(0, asked_at=read_clock())
    assert not server.is_bounded
