"""An upstream whose entry is removed is sent requests from a node's queue."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Final

from harness.fleet import Fleet, build_rule, open_record
from harness.load import Load, Traffic
from harness.nodes import pause
from harness.record import read_clock
from harness.verdicts import Verdict, has_trouble

ZONES: Final = ('zone-a', 'zone-a', 'zone-b')
SLOTS: Final = 2
GOAL_MS: Final = 4000
LIMIT_MS: Final = 12000
CLIENTS_OF_A_NODE: Final = 24
TRAFFIC: Final = Traffic(
    clients=CLIENTS_OF_A_NODE,
    spread_seconds=4,
    method='POST',
    path='/report/600',
    limit_ms=LIMIT_MS,
)
CALM_SECONDS: Final = 8
AFTER_SECONDS: Final = 4
# `drainMs` of the settings, and how much longer the upstream serves.
DRAIN_SECONDS: Final = 2
LEAVING_SECONDS: Final = 1


def run_case(fleet: Fleet) -> Verdict:
    """Run the case."""
    rule = build_rule(goal_ms=GOAL_MS, timeout_ms=LIMIT_MS)
    if not fleet.start({**rule, 'kind': 'unsafe'}):
        return Verdict.not_run
    load = Load(fleet, TRAFFIC)
    pause(CALM_SECONDS)
    removed_at = read_clock()
    if has_trouble():
        remove_last(fleet)
    pause(AFTER_SECONDS)
    load.stop()
    fleet.record.note(f'{load.count_served()} requests served')
    return judge(fleet, removed_at) if has_trouble() else Verdict.held


def remove_last(fleet: Fleet) -> None:
    """Let the last upstream leave without a report that it drains."""
    upstream = fleet.upstreams[-1]
    fleet.store.remove(fleet.name_entry(-1))
    fleet.record.note(f'the entry of {upstream.instance} is removed')
    pause(DRAIN_SECONDS + LEAVING_SECONDS)
    upstream.close()
    fleet.record.note(f'{upstream.instance} has ended')


def judge(fleet: Fleet, removed_at: float) -> Verdict:
    """Find runs that begin too late at the upstream."""
    late = [
        run
        for run in fleet.upstreams[-1].runs
        if run.begun_at > removed_at + DRAIN_SECONDS
    ]
    for run in late:
        begun = run.begun_at - removed_at
        fleet.record.note(
            f'{run.request_id} ran {begun:.3f} s after the entry was removed, '
            f'answered: {run.is_answered}'
        )
    return Verdict.broken if late else Verdict.held


def main() -> Verdict:
    """Run the case and note its verdict."""
    record = open_record(Path(__file__).parent)
    with Fleet(record, zones=ZONES, slots=SLOTS) as fleet:
        verdict = run_case(fleet)
    record.note(verdict.name)
    return verdict


if __name__ == '__main__':
    sys.exit(main())
