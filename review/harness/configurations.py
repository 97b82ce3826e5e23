"""The operator's configurations, as PROTOCOL.md describes them."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, Final

from harness.clients import HOST
from harness.upstreams import HEALTH_PATH

CONFIGURATION_KEY: Final = 'op/config'
FIRST_VERSION: Final = 12
SERVICE: Final = 'huvo11a'
OTHER_SERVICE: Final = 'wuno96b'
IDLE_TIMEOUT_MS: Final = 1200
IDLE_GOAL_MS: Final = 200


def build_rule(
    *, goal_ms: int, timeout_ms: int, service: str = SERVICE
) -> dict[str, Any]:
    """Build a rule for requests that may run more than once."""
    return {
        'name': 'report',
        'kind': 'safe',
        'goalMs': goal_ms,
        'priority': 2,
        'match': {'prefix': '/report/'},
        'action': {'timeoutMs': timeout_ms, 'attempts': 2, 'service': service},
    }


def build_idle_rules(count: int) -> tuple[dict[str, Any], ...]:
    """Build rules that no request matches."""
    rules = []
    for number in range(count):
        rule = build_rule(goal_ms=IDLE_GOAL_MS, timeout_ms=IDLE_TIMEOUT_MS)
        district = f'midlands/leicester/region-{number % 7}/district-{number}'
        rule['name'] = f'midlands-roof-claims-emergency-lookup-{number:06d}'
        rule['match'] = {
            'prefix': f'/customers/homeowners/{district}/claims/roof-damage/'
            f'hail-and-gales/emergency-lookup-{number:06d}/by-adjuster/'
        }
        rules.append(rule)
    return tuple(rules)


def build_configuration(
    version: int, rules: Sequence[dict[str, Any]]
) -> dict[str, Any]:
    """Build the value of the configuration's key."""
    return {
        'version': f'{version:08x}',
        'limits': {
            'maxHeaderBytes': 8192,
            'maxBodyBytes': 1048576,
            'headerTimeoutMs': 5000,
            'idleTimeoutMs': 15000,
        },
        'listeners': [{'host': HOST, 'rules': list(rules)}],
        'clusters': [
            {'name': name, 'maxConns': 130, 'healthPath': HEALTH_PATH}
            for name in (SERVICE, OTHER_SERVICE)
        ],
    }
