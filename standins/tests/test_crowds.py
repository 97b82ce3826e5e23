"""Crowds of clients that don't behave, at real nodes with little memory."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import pytest

from standins.deployment.model import (
    ADMIN_PORT,
    CONTROL_PORT,
    ENTRY_PORT,
    OWNER_PORT,
    READY_PORT,
)
from standins.tests.crowded_fleet import (
    MAX_FDS,
    MEGABYTE,
    MEMORY_MB,
    CrowdOutcome,
    run_crowd,
)
from standins.tests.crowds import (
    CROWDS,
    MANY,
    Crowd,
    send_long_lines,
    send_nothing,
    send_short_lines,
)

if TYPE_CHECKING:
    from pathlib import Path

FEW_DESCRIPTORS: Final = 400
CROWDED: Final = 1500


def assert_borne(outcome: CrowdOutcome, *, max_fds: int = MAX_FDS) -> None:
    assert not outcome.ended
    assert outcome.peak_bytes <= MEMORY_MB * MEGABYTE
    assert outcome.peak_descriptors <= max_fds
    assert outcome.beside
    assert outcome.afterwards


@pytest.mark.parametrize('name', CROWDS)
def test_crowd_leaves_memory_and_room_for_others(
    name: str, tmp_path: Path
) -> None:
    """A crowd fills the memory of a node, or all places of its servers."""
    assert_borne(asyncio.run(run_crowd(CROWDS[name], tmp_path)))


@pytest.mark.parametrize(
    ('port', 'clients'),
    [
        (ENTRY_PORT, MANY),
        (OWNER_PORT, MANY),
        (READY_PORT, MANY),
        (ADMIN_PORT, CROWDED),
        (CONTROL_PORT, MANY),
    ],
)
def test_connections_leave_descriptors(
    port: int, clients: int, tmp_path: Path
) -> None:
    """Connections that send nothing take all descriptors of a node."""
    crowd = Crowd(clients=clients, build=send_nothing, port=port)
    outcome = asyncio.run(run_crowd(crowd, tmp_path, max_fds=FEW_DESCRIPTORS))
    assert_borne(outcome, max_fds=FEW_DESCRIPTORS)


@pytest.mark.parametrize('port', [OWNER_PORT, READY_PORT, ADMIN_PORT])
def test_heads_at_other_ports_leave_memory(port: int, tmp_path: Path) -> None:
    """Heads without an end at the ports beside that of callers."""
    crowd = Crowd(clients=MANY, build=send_short_lines, port=port)
    assert_borne(asyncio.run(run_crowd(crowd, tmp_path)))


@pytest.mark.parametrize('port', [ENTRY_PORT, READY_PORT, ADMIN_PORT])
def test_long_lines_leave_memory(port: int, tmp_path: Path) -> None:
    """Heads of the longest lines that a library takes, without an end."""
    crowd = Crowd(clients=MANY, build=send_long_lines, port=port)
    assert_borne(asyncio.run(run_crowd(crowd, tmp_path)))
