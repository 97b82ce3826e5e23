"""Tests of messages that were delayed between nodes."""

from __future__ import annotations

import pytest

from wagtaildale.distribution.delays import WINDOW_SECONDS, Delays
from wagtaildale.distribution.tuning import make_tuning
from wagtaildale.testing.builders import build_configuration
from wagtaildale.testing.network import FakeNetwork
from wagtaildale.types import DocumentKind, Incarnation, InstanceId

A = InstanceId('a')
PROCESS = (A, Incarnation(1))
APPLY_SECONDS = 2.0
ROUNDS = 3
DELAY_SECONDS = 6.0
FAST_SECONDS = 0.002


def test_delayed_confirmation_does_not_count_as_new() -> None:
    """A node that was cut off uses an old list for some more seconds.

    While it is cut off, the reader of its data centre goes on sending
    confirmations. After the cut they all arrive at once. If the node takes
    them as new although they are seconds old, it does not read by itself.
    """
    network = FakeNetwork(
        ('a', 'b'),
        data_centres=('derby',),
        tuning=make_tuning(apply_seconds=APPLY_SECONDS),
    )
    network.source.publish(build_configuration(1))
    network.settle()
    for _round in range(ROUNDS):
        network.run_round()
    reader, other = sorted(network.nodes, key=network.is_idle)
    network.read_source(reader)
    sent_at = network.now
    assert any(each.to == other for each in network.in_flight)
    network.now += DELAY_SECONDS
    network.flush()
    fresh = network.nodes[other].state.freshness[DocumentKind.configuration]
    assert fresh.confirmed_at <= sent_at


@pytest.mark.parametrize('offset', [-5000, 0, 5000])
def test_steady_clocks_of_nodes_may_differ(offset: float) -> None:
    delays = Delays()
    for second in range(5):
        sent = float(second)
        delay = delays.measure(
            PROCESS, sent=sent + offset, now=sent + FAST_SECONDS
        )
        assert delay == pytest.approx(0, abs=FAST_SECONDS)
    late = delays.measure(PROCESS, sent=5 + offset, now=5 + 3.0)
    assert late == pytest.approx(3.0, abs=2 * FAST_SECONDS)


def test_suspended_sender_seems_delayed_only_for_the_window() -> None:
    """The steady clock of a machine stops while the machine is suspended.

    Its later messages all seem delayed by that time, so that its
    confirmations would never count as new.
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


def test_restarted_sender_has_no_earlier_offset() -> None:
    delays = Delays()
    delays.measure(PROCESS, sent=100.0, now=100.0)
    restarted = (A, Incarnation(2))
    assert delays.measure(restarted, sent=1.0, now=101.0) == 0
    assert list(delays.senders) == [restarted]


def test_queueing_on_a_slow_line_is_not_a_delay() -> None:
    """Nodes on slow lines read the platform, which slows the lines further.

    A message that waits behind a large one is some tenths of a second late.
    That must not make the confirmation in it stale.
    """
    delays = Delays()
    delays.measure(PROCESS, sent=100.0, now=100.0)
    assert delays.measure(PROCESS, sent=101.0, now=101.4) == 0
