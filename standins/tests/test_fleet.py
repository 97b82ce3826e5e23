"""Tests of starting a fleet and the demo on addresses in use."""

from __future__ import annotations

import socket
from contextlib import ExitStack, suppress
from typing import TYPE_CHECKING, Final

import pytest
from click.testing import CliRunner

from demo.__main__ import main
from demo.deployments import DEPLOYMENTS
from standins.fleet import (
    ADMIN_PORT,
    AddressInUseError,
    Fleet,
    FleetOptions,
    Placement,
)
from wagtaildale.testing.loopback import choose_network

if TYPE_CHECKING:
    from collections.abc import Iterator

NETWORK: Final = choose_network()
USED_ADDRESS: Final = (f'{NETWORK}.2', ADMIN_PORT)
DEMO_HOST: Final = '127.0.1.1'
PLACEMENT: Final = Placement(
    region='midlands',
    data_centres=('derby',),
    services={'casefiles': 2},
)


@pytest.fixture
def occupied_demo_address() -> Iterator[None]:
    """Listen on an address of the demo, unless another run does."""
    with ExitStack() as stack:
        with suppress(OSError):
            stack.enter_context(socket.create_server((DEMO_HOST, ADMIN_PORT)))
        yield


def test_fleet_does_not_start_on_used_addresses() -> None:
    """Two runs use the same addresses, so their nodes would mix.

    The second run must fail before it starts a process.
    """
    with socket.create_server(USED_ADDRESS):
        with pytest.raises(
            AddressInUseError, match=f'{USED_ADDRESS[0]}:{USED_ADDRESS[1]}'
        ):
            Fleet(PLACEMENT, options=FleetOptions(network=NETWORK))
    Fleet(PLACEMENT, options=FleetOptions(network=NETWORK)).close()


@pytest.mark.parametrize('deployment', DEPLOYMENTS)
def test_demonstration_reports_used_addresses(
    occupied_demo_address: None,
    deployment: str,
) -> None:
    """A second demo run prints one line with the reason, and no traceback.

    Both runs use the same addresses. Without the check, their nodes mix: no
    node holds the last version, and a third of the calls do not run.
    """
    outcome = CliRunner().invoke(main, ['--deployment', deployment])
    assert outcome.exit_code not in {0, 1}
    assert len(outcome.output.splitlines()) == 1
    assert f'{DEMO_HOST}:' in outcome.output
    assert 'make demo' in outcome.output
