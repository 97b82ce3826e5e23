"""A node that stops takes requests that it can't finish before its end."""

from __future__ import annotations

from signal import SIGTERM
from typing import Final

from harness.cases import conduct
from harness.clients import Request
from harness.configurations import build_rule
from harness.fleet import Deployment, Fleet
from harness.load import Load, Traffic
from harness.nodes import pause
from harness.record import read_clock
from harness.verdicts import Verdict, has_trouble

# The last node is the only one of its zone: while it stops, fewer than half of
# the zone's nodes are in, so the platform keeps sending it new work.
DEPLOYMENT: Final = Deployment(
    zones=('zone-a', 'zone-a', 'zone-b'),
    slots=9,
)
GOAL_MS: Final = 3000
TIMEOUT_MS: Final = 4000
LIMIT_MS: Final = 8000
TRAFFIC: Final = Traffic(
    clients=8,
    spread_seconds=2,
    method='POST',
    path='/report/2000',
    limit_ms=LIMIT_MS,
)
CALM_SECONDS: Final = 6
GRACE_SECONDS: Final = 6
# A request that was sent later than this after the SIGTERM counts as lost also
# if its upstream is still at work in the last sixth of the grace period.
EXCUSED_SECONDS: Final = 3
AFTER_SECONDS: Final = 3


def run_case(fleet: Fleet) -> Verdict:
    """Run the case."""
    rule = build_rule(goal_ms=GOAL_MS, timeout_ms=TIMEOUT_MS)
    if not fleet.start({**rule, 'kind': 'unsafe'}):
        return Verdict.not_run
    load = Load(fleet, TRAFFIC)
    pause(CALM_SECONDS)
    stopped_at = read_clock()
    node = fleet.nodes[-1]
    if has_trouble():
        node.send_signal(SIGTERM)
        node.wait_for_end(GRACE_SECONDS)
    pause(AFTER_SECONDS)
    load.stop()
    fleet.record.note(f'{load.count_served()} requests served')
    return judge(fleet, load.list_cut(node), stopped_at)


def judge(fleet: Fleet, cut: list[Request], stopped_at: float) -> Verdict:
    """Find requests that the rule counts as lost."""
    runs = {
        run.request_id: run
        for upstream in fleet.upstreams
        for run in upstream.runs
    }
    lost = [
        request
        for request in cut
        if request.request_id in runs
        and request.sent_at > stopped_at + EXCUSED_SECONDS
    ]
    for request in lost:
        sent = request.sent_at - stopped_at
        ended = request.ended_at - stopped_at
        fleet.record.note(
            f'{request.request_id} was sent {sent:.3f} s after the SIGTERM '
            f'and run; its connection ended {ended:.3f} s after it'
        )
    return Verdict.broken if lost else Verdict.held


if __name__ == '__main__':
    conduct(__file__, DEPLOYMENT, run_case)
