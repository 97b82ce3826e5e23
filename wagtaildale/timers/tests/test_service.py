"""Tests of the timer service."""

from __future__ import annotations

from typing import Any

from wagtaildale.timers.inbox import Inbox
from wagtaildale.timers.messages import Tick, TimerName, WokeLate
from wagtaildale.timers.service import (
    Subscription,
    TimerService,
    read_clock,
)


def build_service() -> tuple[TimerService, Inbox[Any]]:
    service = TimerService()
    inbox: Inbox[Any] = Inbox()
    service.subscribe(
        Subscription(name=TimerName.rank, inbox=inbox, interval=1),
    )
    return service, inbox


def test_tick_is_sent_when_due() -> None:
    service, inbox = build_service()
    now = read_clock()
    service.advance(now + 0.5, expected=now + 0.5)
    assert not inbox.take_all()
    service.advance(now + 1.5, expected=now + 1.5)
    assert [type(message) for message in inbox.take_all()] == [Tick]


def test_late_wake_is_reported_before_any_tick() -> None:
    """Guards against a resumed process that acts on outdated state.

    After a pause of half a minute it would send messages prepared before.
    """
    service, inbox = build_service()
    now = read_clock()
    service.advance(now + 30, expected=now + 1)
    kinds = [type(message) for message in inbox.take_all()]
    assert kinds == [WokeLate, Tick]
