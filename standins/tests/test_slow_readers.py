"""Callers that read slowly, at real nodes with little memory."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

import pytest

from standins.tests.crowded_fleet import run_clients
from standins.tests.slow_readers import SlowReaderRun, SlowReaders
from standins.tests.test_crowds import assert_borne

if TYPE_CHECKING:
    from pathlib import Path


@pytest.mark.parametrize(
    ('clients', 'size'),
    [
        (6, '20000000'),
        (40, '5000000'),
        (40, '20000000'),
        (60, 'endless'),
    ],
)
def test_slow_readers_leave_memory_for_others(
    clients: int, size: str, tmp_path: Path
) -> None:
    """Answers that were cut are not freed, and fill the memory of a node."""
    readers = SlowReaders(clients=clients, path=f'/lookup/5/{size}/')
    assert_borne(
        asyncio.run(run_clients(partial(SlowReaderRun, readers), tmp_path))
    )
