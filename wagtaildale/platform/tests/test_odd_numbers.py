"""Tests of configurations with numbers that cannot be used."""

from __future__ import annotations

from copy import deepcopy
from typing import Any, Final

import pytest
from msgspec import json

from wagtaildale.configuration.validation import check_parts
from wagtaildale.decoding.numbers import LARGEST_INTEGER
from wagtaildale.errors.codes import Code
from wagtaildale.platform.configuration import decode_configuration
from wagtaildale.platform.tests.builders import build_configuration

HUGE: Final = 10**400
RULE: Final = ('listeners', 0, 'rules', 0)
ACTION: Final = (*RULE, 'action')
SPLIT: Final = ({'service': 'gopu72b', 'weight': 0},)
PLACES: Final = (
    (*RULE, 'goalMs'),
    (*RULE, 'priority'),
    (*ACTION, 'timeoutMs'),
    (*ACTION, 'attempts'),
    ('clusters', 0, 'maxConns'),
    ('limits', 'maxHeaderBytes'),
    ('limits', 'maxBodyBytes'),
    ('limits', 'headerTimeoutMs'),
    ('limits', 'idleTimeoutMs'),
)


def build_with(place: tuple[Any, ...], number: int) -> bytes:
    configuration = deepcopy(build_configuration())
    target: Any = configuration
    for key in place[:-1]:
        target = target[key]
    target[place[-1]] = number
    return json.encode(configuration)


@pytest.mark.parametrize('place', PLACES)
@pytest.mark.parametrize(
    'number',
    [LARGEST_INTEGER + 1, 2**64, HUGE, -HUGE],
    ids=['inexact', 'long', 'huge', 'negative'],
)
def test_number_out_of_range_is_a_failure(
    place: tuple[Any, ...], number: int
) -> None:
    """Callers were reset, or never answered, by a limit of 400 digits."""
    decoded = decode_configuration(build_with(place, number))
    assert decoded.unwrap_err().code is Code.part_corrupt


@pytest.mark.parametrize('place', PLACES)
def test_largest_number_is_taken(place: tuple[Any, ...]) -> None:
    decoded = decode_configuration(build_with(place, LARGEST_INTEGER))
    assert check_parts(decoded.unwrap().blobs).is_ok()


def test_split_without_weight_is_a_fault() -> None:
    """A request was never answered: none of its services has a weight."""
    payload = json.encode(build_configuration(split=SPLIT))
    blobs = decode_configuration(payload).unwrap().blobs
    assert check_parts(blobs).unwrap_err().code is Code.field_invalid
