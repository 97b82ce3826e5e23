"""Runs a deployment as real processes and checks the drain of its servers.

Started by ``make soak``. Exits with a non-zero status if a request reaches a
server that has left, and leaves logs and records in ``out/drains``.
"""

from __future__ import annotations

import asyncio
import os
import random
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Final

import click

from standins.deployment.profiles import DEPLOYMENTS
from standins.deployment.run import DeploymentRun, RunPlan
from standins.deployment.scenarios import SCENARIOS
from wagtaildale.testing.loopback import choose_network

if TYPE_CHECKING:
    from standins.deployment.run import RunOutcome
    from standins.deployment.verdict import LateRequest

OUTPUT_FOLDER: Final = Path('out/drains')


@click.command()
@click.option('--deployment', type=click.Choice(sorted(DEPLOYMENTS)))
@click.option('--scenario', type=click.Choice(sorted(SCENARIOS)))
@click.option('--seconds', type=float, default=20)
@click.option('--seed', type=int, default=1)
def main(
    deployment: str | None,
    scenario: str | None,
    seconds: float,
    seed: int,
) -> None:
    """Run a deployment while its servers leave, and print one summary line.

    \f

    Args:
        deployment: name of the deployment; drawn by the seed if left out.
        scenario: name of the scenario; drawn by the seed if left out.
        seconds: how long servers leave.
        seed: seed of all random choices.
    """
    generator = random.Random(seed)
    names = (
        deployment or generator.choice(sorted(DEPLOYMENTS)),
        scenario or generator.choice(sorted(SCENARIOS)),
    )
    folder = OUTPUT_FOLDER / '-'.join((*names, str(seed), str(os.getpid())))
    folder.mkdir(parents=True)
    plan = RunPlan(
        scenario=SCENARIOS[names[1]],
        seconds=seconds,
        seed=seed,
        network=choose_network(),
        folder=folder.resolve(),
    )
    run = DeploymentRun(DEPLOYMENTS[names[0]], plan)
    outcome = asyncio.run(run.run())
    _print_summary(outcome, ' '.join(names), plan)
    sys.exit(1 if outcome.broken or outcome.lost else 0)


def _print_summary(outcome: RunOutcome, names: str, plan: RunPlan) -> None:
    for late in outcome.late:
        click.echo(_describe(late))
    for lost in outcome.lost:
        click.echo(
            f'lost {lost.sent.request_id} sent '
            f'{lost.sent.at - lost.stopped_at:.3f} s after SIGTERM, cut '
            f'{lost.sent.ended_at - lost.stopped_at:.3f} s after it, '
            f'has_run={bool(lost.arrivals)}'
        )
    click.echo(
        f'drains {names} seed={plan.seed} good={not outcome.broken} '
        f'requests={outcome.requests} served={outcome.served} '
        f'arrivals={outcome.arrivals} departures={outcome.departures} '
        f'late={len(outcome.late)} broken={len(outcome.broken)} '
        f'lost={len(outcome.lost)} '
        f'folder={plan.folder}'
    )


def _describe(late: LateRequest) -> str:
    departure = late.departure
    kind = 'announced' if departure.was_announced else 'removed'
    verdict = 'excused' if late.is_excused else 'broken'
    return (
        f'{verdict} {late.arrival.request_id} reached {departure.instance} '
        f'({kind}) {late.late_seconds:.3f} s late, through {late.entry_host}'
    )


if __name__ == '__main__':
    main()
