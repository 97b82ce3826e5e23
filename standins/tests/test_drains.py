"""Short seeded runs of deployments whose servers leave."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from standins.deployment.profiles import HAILMARK, PDP_GATES, STARTNUMMER
from standins.deployment.run import DeploymentRun, RunPlan
from standins.deployment.scenarios import SCENARIOS
from wagtaildale.testing.loopback import choose_network

if TYPE_CHECKING:
    from pathlib import Path

    from standins.deployment.model import Deployment

SECONDS = 12.0
SEED = 73


@pytest.mark.parametrize(
    ('deployment', 'scenario'),
    [
        (HAILMARK, 'waits'),
        (PDP_GATES, 'stops'),
        (STARTNUMMER, 'pauses'),
        (PDP_GATES, 'hidden'),
        (PDP_GATES, 'words'),
    ],
    ids=['hailmark', 'pdp', 'startnummer', 'pdp-hidden', 'pdp-words'],
)
def test_servers_that_left_get_no_requests(
    deployment: Deployment, scenario: str, tmp_path: Path
) -> None:
    """Requests reach servers that have said in any way that they leave."""
    plan = RunPlan(
        scenario=SCENARIOS[scenario],
        seconds=SECONDS,
        seed=SEED,
        network=choose_network(),
        folder=tmp_path,
    )
    outcome = asyncio.run(DeploymentRun(deployment, plan).run())
    assert outcome.departures
    assert outcome.served
    assert not outcome.broken
    assert not outcome.lost
