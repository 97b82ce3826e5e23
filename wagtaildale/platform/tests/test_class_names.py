"""Tests of the classes that published rules become."""

from __future__ import annotations

from itertools import product
from typing import Any, Final

import pytest
from msgspec import json

from wagtaildale.configuration.validation import check_parts
from wagtaildale.platform.class_names import RuleKey, name_classes
from wagtaildale.platform.configuration import decode_configuration
from wagtaildale.platform.tests.builders import build_configuration, build_rule
from wagtaildale.routing.table import RouteMatch, RoutingTable

DESK: Final = 'desk.example'
PUBLIC: Final = 'public.example'
SERVICES: Final = ('gopu72b', 'huvo11a')
SPLIT: Final = (
    {'service': 'huvo11a', 'weight': 1},
    {'service': 'gopu72b', 'weight': 1},
)


def build_version(*listeners: tuple[str, dict[str, Any]]) -> bytes:
    return json.encode(
        {
            **build_configuration([]),
            'listeners': [
                {'host': host, 'rules': [rule]} for host, rule in listeners
            ],
            'clusters': [{'name': name} for name in SERVICES],
        }
    )


def build_table(*listeners: tuple[str, dict[str, Any]]) -> RoutingTable:
    document = decode_configuration(build_version(*listeners)).unwrap()
    return RoutingTable(check_parts(document.blobs).unwrap())


def find_match(table: RoutingTable, host: str, path: str) -> RouteMatch:
    match = table.find('GET', path, host=host)
    assert match is not None
    return match


def list_called_names(match: RouteMatch) -> set[str]:
    services = [match.service]
    if match.split is not None:
        services = [match.choose_service() for _ in range(4)]
    return {f'{service}/{match.work_class.name}' for service in services}


@pytest.mark.parametrize('safe_host', [DESK, PUBLIC])
@pytest.mark.parametrize('is_safe_first', [False, True])
def test_rules_of_one_name_keep_their_own_settings(
    safe_host: str, *, is_safe_first: bool
) -> None:
    """A rule took kind, target, timeout and rank of another with its name."""
    unsafe = build_rule('default', prefix='/book/')
    safe = {
        **build_rule('default', prefix='/look/', timeoutMs=4000),
        'kind': 'safe',
        'goalMs': 600,
        'priority': 0,
    }
    listeners = [(DESK, unsafe), (safe_host, safe)]
    if is_safe_first:
        listeners.reverse()
    table = build_table(*listeners)
    unsafe_class = find_match(table, DESK, '/book/1').work_class
    safe_class = find_match(table, safe_host, '/look/1').work_class
    assert (
        unsafe_class.idempotent,
        unsafe_class.within_ms,
        unsafe_class.deadline_ms,
        unsafe_class.rank,
    ) == (False, 250, 800, 1)
    assert (
        safe_class.idempotent,
        safe_class.within_ms,
        safe_class.deadline_ms,
        safe_class.rank,
    ) == (True, 600, 4000, 0)


@pytest.mark.parametrize(
    ('action', 'other_action'),
    [
        ({}, {}),
        ({'split': SPLIT}, {}),
        ({'split': SPLIT}, {'split': tuple(reversed(SPLIT))}),
        ({'split': SPLIT}, {'service': 'huvo11a'}),
    ],
)
def test_rules_of_one_name_have_different_class_names(
    action: dict[str, Any], other_action: dict[str, Any]
) -> None:
    """Times, sizes and overload of two classes were mixed up by their name."""
    table = build_table(
        (DESK, build_rule('default', prefix='/book/', **action)),
        (PUBLIC, build_rule('default', prefix='/look/', **other_action)),
    )
    names = list_called_names(find_match(table, DESK, '/book/1'))
    other_names = list_called_names(find_match(table, PUBLIC, '/look/1'))
    assert not names & other_names


def test_rule_of_its_own_name_gives_it_to_its_class() -> None:
    table = build_table(
        (DESK, build_rule('r-1', prefix='/book/')),
        (PUBLIC, build_rule('r-2', prefix='/look/')),
    )
    names = [each.work_class.name for each in table.list_matches()]
    assert sorted(names) == ['r-1', 'r-2']


def test_names_are_different_and_without_slashes() -> None:
    """The name that one rule was given was that of another one."""
    names = ('default', 'default@a', 'default%40a', 'a/b', 'a%2Fb', '', '@')
    hosts = ('a', 'a@a', '')
    prefixes = ('/', '/a/', '/@a/', '/%40a/')
    keys = [
        RuleKey(name=name, host=host, prefix=prefix)
        for name, host, prefix in product(names, hosts, prefixes)
    ]
    keys.append(RuleKey(name='default%40a@a', host='b', prefix='/'))
    class_names = name_classes(keys).values()
    assert len(set(class_names)) == len(keys)
    assert not any('/' in name for name in class_names)
