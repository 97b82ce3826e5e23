"""Tests of full reads of the store whose answers take long to arrive."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import pytest
from msgspec import structs

from wagtaildale.errors.codes import Code
from wagtaildale.platform.store import PlatformStore
from wagtaildale.platform.tests.builders import (
    build_configuration,
    build_settings,
)
from wagtaildale.platform.tests.stores import StandInStore
from wagtaildale.settings.model import BoundSettings, PlatformSettings
from wagtaildale.testing.assertions import assert_err, assert_ok

if TYPE_CHECKING:
    from collections.abc import Iterator

# An answer in this many pieces takes longer than a silent store is waited for.
PIECES: Final = 50
APPLY_SECONDS: Final = 2.0


@pytest.fixture
def standin() -> Iterator[StandInStore]:
    with StandInStore() as store:
        store.write('op/config', build_configuration())
        store.pieces = PIECES
        yield store


@pytest.fixture
def store(standin: StandInStore) -> PlatformStore:
    settings = structs.replace(
        build_settings(),
        platform=PlatformSettings(url=f'http://{standin.address}'),
        bounds=BoundSettings(
            apply_seconds=APPLY_SECONDS, drain_seconds=APPLY_SECONDS
        ),
    )
    return PlatformStore(settings, regions={'derby': 'midlands'})


def test_answer_that_arrives_slowly_is_read_to_its_end(
    store: PlatformStore,
) -> None:
    """No node on a slow line can ever read the store."""
    assert assert_ok(store.read_all()).entries


def test_answer_that_stops_half_way_is_given_up(
    standin: StandInStore, store: PlatformStore
) -> None:
    """A reader waits for the rest of an answer that never comes."""
    standin.stops_after = PIECES // 2
    failure = assert_err(store.read_all())
    assert failure.code is Code.source_unreachable
