"""Fixtures for the tests of calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from wagtaildale.calls.tests.pairs import Pair

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def pair() -> Iterator[Pair]:
    made = Pair()
    yield made
    made.close()
