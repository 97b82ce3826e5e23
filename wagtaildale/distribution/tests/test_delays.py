"""Tests of messages that were held up on their way."""

from __future__ import annotations

import pytest

from wagtaildale.distribution.delays import WINDOW_SECONDS, Delays
from wagtaildale.distribution.tuning import make_tuning
from wagtaildale.testing.builders import build_configuration
from wagtaildale.testing.network import FakeNetwork
from wagtaildale.types import Incarnation, InstanceId, DocumentKind

A = InstanceId('a')
PROCESS = (A, Incarnation(1))
APPLY_SECONDS = 2.0
ROUNDS = 3
HELD_SECONDS = 6.0
FAST = 0.002


def test_news_that_was_held_up_is_as_old_as_it_is() -> None:
    """A node that was cut off goes by an old list for seconds more.

    While it is cut off, the reader of its data centre goes on saying "the
    platform has just confirmed this". When the cut is mended all of it
    comes at once, and the node takes the platform's word for new though it
    is seconds old, and reads nothing itself.
    """
    network = FakeNetwork(
        ('a', 'b'),
        data_centres=('derby',),
        tuning=make_tuning(apply_seconds=APPLY_SECONDS),
    )
    network.source.show(build_configuration(1))
    network.settle()
    for _round in range(ROUNDS):
        network.pass_round()
    reader, other = sorted(network.nodes, key=network.is_idle)
    network.read_source(reader)
    sent_at = network.now
    assert any(each.to == other for each in network.flying)
    network.now += HELD_SECONDS
    network.flush()
    fresh = network.nodes[other].state.freshness[DocumentKind.configuration]
    assert fresh.confirmed_at <= sent_at


@pytest.mark.parametrize('offset', [-5000, 0, 5000])
def test_clocks_need_no_common_zero(offset: float) -> None:
    delays = Delays()
    for second in range(5):
        sent = float(second)
        delay = delays.measure(PROCESS, sent=sent + offset, now=sent + FAST)
        assert delay == pytest.approx(0, abs=FAST)
    late = delays.measure(PROCESS, sent=5 + offset, now=5 + 3.0)
    assert late == pytest.approx(3.0, abs=2 * FAST)


def test_suspended_sender_is_late_for_some_seconds_only() -> None:
    """A machine is suspended, and its steady clock stands still meanwhile.

    All it says then looks late by that; it would never count as fresh.
    """
    delays = Delays()
    delays.measure(PROCESS, sent=100.0, now=100.0)
    seconds = int(2 * WINDOW_SECONDS) + 3
    last = [
        delays.measure(PROCESS, sent=100.0 + second, now=105.0 + second)
        for second in range(seconds)
    ]
    assert last[0] == 5.0
    assert last[-1] == 0


def test_restarted_sender_begins_anew() -> None:
    delays = Delays()
    delays.measure(PROCESS, sent=100.0, now=100.0)
    again = (A, Incarnation(2))
    assert delays.measure(again, sent=1.0, now=101.0) == 0
    assert list(delays.senders) == [again]


def test_slow_line_is_no_delay() -> None:
    """Nodes on slow lines read the platform, and their lines grow slower.

    A message that waits behind a large one is some tenths of a second late;
    that does not make the platform's word old.
    """
    delays = Delays()
    delays.measure(PROCESS, sent=100.0, now=100.0)
    assert delays.measure(PROCESS, sent=101.0, now=101.4) == 0
