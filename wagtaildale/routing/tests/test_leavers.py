"""Tests of what is remembered of servers that leave."""

from __future__ import annotations

from msgspec import structs

from wagtaildale.routing.leavers import KEPT_MOST, Leaver, Leavers
from wagtaildale.testing.builders import build_record
from wagtaildale.types import InstanceId, ListedState

SERVER = InstanceId('a')


def test_word_holds_whatever_the_list_says() -> None:
    """A list that lags names a leaving server as ready, and later not."""
    leavers = Leavers()
    record = build_record(SERVER)
    assert not leavers.has(record)
    assert leavers.note(Leaver(SERVER))
    assert not leavers.note(Leaver(SERVER))
    for state in ListedState:
        assert leavers.has(structs.replace(record, state=state))


def test_word_is_of_one_start() -> None:
    """A server that starts again under its id is left out for good."""
    leavers = Leavers()
    leavers.note(Leaver(SERVER, 7))
    again = structs.replace(build_record(SERVER), born=8)
    assert not leavers.has(again)
    assert leavers.note(Leaver(SERVER, 8))
    assert leavers.has(again)


def test_number_of_words_is_bounded() -> None:
    leavers = Leavers()
    for number in range(KEPT_MOST + 1):
        leavers.note(Leaver(InstanceId(f'i{number}')))
    assert not leavers.knows(InstanceId('i0'))
    assert leavers.knows(InstanceId('i1'))
