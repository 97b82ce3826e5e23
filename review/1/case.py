"""One entry that can't be read ends the processes of all nodes."""

from __future__ import annotations

import threading
from functools import partial
from typing import Final

from harness.cases import conduct
from harness.configurations import build_rule
from harness.fleet import Deployment, Fleet
from harness.load import Load, Traffic
from harness.nodes import Node, pause, wait_until
from harness.verdicts import Verdict, has_trouble

DEPLOYMENT: Final = Deployment(
    zones=('zone-a', 'zone-a', 'zone-a', 'zone-b', 'zone-b', 'zone-b'),
    slots=9,
)
GOAL_MS: Final = 200
LIMIT_MS: Final = 1200
TRAFFIC: Final = Traffic(
    clients=3,
    spread_seconds=0.1,
    method='GET',
    path='/report/60',
    limit_ms=LIMIT_MS,
)
CALM_SECONDS: Final = 5
WATCHED_SECONDS: Final = 40
# The platform starts a process that has ended again after a short delay.
RESTART_SECONDS: Final = 0.5
POLL_SECONDS: Final = 1
# 40 KB; a value of the store may have `valueBytes`, which is 1,048,576.
DEPTH: Final = 20_000
FOREIGN_KEY: Final = 'servers/i-0badc0de'
FOREIGN_ENTRY: Final = b'{"notes": %b%b}' % (b'[' * DEPTH, b']' * DEPTH)
# The rule bears two ends of a process, and one machine with more.
ENDS_BORNE: Final = 2
MACHINES_BORNE: Final = 1
DEFECT: Final = 'kind=node-stopped code='
LOGGED_CHARACTERS: Final = 400


def keep_up(node: Node, seconds: float) -> None:
    """Start one node again each time that it ends."""
    is_over = threading.Event()
    threading.Timer(seconds, is_over.set).start()
    has_ended = partial(_has_ended, node)
    while not is_over.is_set():
        if wait_until(has_ended, POLL_SECONDS):
            pause(RESTART_SECONDS)
            node.start()


def watch(nodes: list[Node], seconds: float) -> None:
    """Start all processes that end again, as the platform does."""
    keepers = [
        threading.Thread(target=keep_up, args=(node, seconds), daemon=True)
        for node in nodes
    ]
    for keeper in keepers:
        keeper.start()
    for running in keepers:
        running.join()


def run_case(fleet: Fleet) -> Verdict:
    """Run the case."""
    record = fleet.record
    if not fleet.start(build_rule(goal_ms=GOAL_MS, timeout_ms=LIMIT_MS)):
        return Verdict.not_run
    load = Load(fleet, TRAFFIC)
    pause(CALM_SECONDS)
    served_in_calm = load.count_served()
    if has_trouble():
        record.note('another writer writes an entry that cannot be read')
        fleet.store.write(FOREIGN_KEY, FOREIGN_ENTRY)
    watch(fleet.nodes, WATCHED_SECONDS)
    load.stop()
    record.note(f'{served_in_calm} requests served in {CALM_SECONDS} s before')
    served = load.count_served() - served_in_calm
    record.note(f'{served} requests served in {WATCHED_SECONDS} s after it')
    return judge(fleet)


def judge(fleet: Fleet) -> Verdict:
    """Compare the ends of processes with the rule."""
    ends = [len(node.exits) for node in fleet.nodes]
    fleet.record.note(f'processes ended by themselves, by machine: {ends}')
    for node in fleet.nodes:
        fleet.record.note(node.find_line(DEFECT)[:LOGGED_CHARACTERS])
    often = sum(count > ENDS_BORNE for count in ends)
    return Verdict.broken if often > MACHINES_BORNE else Verdict.held


def _has_ended(node: Node) -> bool:
    return node.find_exit() is not None


if __name__ == '__main__':
    conduct(__file__, DEPLOYMENT, run_case)
