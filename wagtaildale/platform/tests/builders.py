"""Builders of the settings, entries and documents of the platform."""

from __future__ import annotations

import json as stdlib_json
from base64 import b64encode
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, Final

from msgspec import json

from wagtaildale.platform.settings import PlatformFile, translate_settings
from wagtaildale.settings.model import Settings

if TYPE_CHECKING:
    from collections.abc import Sequence

SETTINGS: Final = MappingProxyType(
    {
        'nodeName': 'sidecar-derby-1',
        'ip': '10.4.0.13',
        'zone': 'derby',
        'zones': {'derby': 'midlands', 'coventry': 'midlands'},
        'listenAddrs': {
            'inbound': '10.4.0.13:8146',
            'outbound': '10.4.0.13:8147',
            'ready': '10.4.0.13:8141',
            'control': '10.4.0.13:8529',
        },
        'internalPortRange': [7380, 7395],
        'seedNodes': ['10.1.0.36:8529', '10.4.0.13:8529'],
        'limits': {'maxFds': 4100, 'memoryMb': 300},
        'heartbeatMs': 1500,
        'bounds': ['applyMs=2000', 'graceS=6', 'budgetSlack=64', 'closed=true'],
        'appAddr': '10.4.0.13:8145',
        'service': 'gopu72b',
        'platform': {'address': '10.200.1.7:8142', 'readsPerS': 2000},
    },
)


# Deeper than the recursion limit of the interpreter.
NESTED_DEPTH: Final = 20_000
NESTED_FIELD: Final = b'{"notes": %b%b, ' % (
    b'[' * NESTED_DEPTH,
    b']' * NESTED_DEPTH,
)


def build_file(**changes: Any) -> PlatformFile:
    """Build the fields of a settings file.

    Args:
        changes: fields that differ from the default file.

    Returns:
        The decoded file.
    """
    encoded = json.encode({**SETTINGS, **changes})
    return json.decode(encoded, type=PlatformFile)


def build_settings() -> Settings:
    """Build a daemon's settings from the platform's settings file.

    Returns:
        The settings.
    """
    return translate_settings(build_file())


def build_entry(
    *,
    address: str = '10.1.0.8:8145',
    service: str = 'gopu72b',
    state: str = 'ready',
    zone: str = 'derby',
    slots: Any = 9,
    **others: Any,
) -> dict[str, Any]:
    """Build the entry of a backend server.

    Args:
        address: address of the server.
        service: service that the server runs.
        state: ``ready`` or ``draining``.
        zone: data centre of the server.
        slots: most requests that the server runs at once.
        others: further fields, which replace the default ones.

    Returns:
        The value of the entry, not yet encoded.
    """
    return {
        'address': address,
        'info': {
            'service': service,
            'version': 'v1',
            'zone': zone,
            'slots': slots,
        },
        'status': {'state': state, 'sequence': 7, 'coldLeftMs': 0},
        'born': 1_790_000_000_000,
        **others,
    }


def build_rule(name: str, *, prefix: str, **action: Any) -> dict[str, Any]:
    """Build a published rule.

    Args:
        name: name of the rule.
        prefix: prefix of the paths that the rule matches.
        action: fields of the rule's action that differ from the default.

    Returns:
        The rule, not yet encoded.
    """
    return {
        'name': name,
        'kind': 'unsafe',
        'goalMs': 250,
        'priority': 1,
        'match': {'prefix': prefix},
        'action': {
            'timeoutMs': 800,
            'attempts': 2,
            'service': 'gopu72b',
            **action,
        },
    }


def build_configuration(
    rules: Sequence[dict[str, Any]] | None = None,
    **action: Any,
) -> dict[str, Any]:
    """Build a published configuration, with one rule if none are given.

    Args:
        rules: rules of the only host.
        action: fields of the default rule's action that differ from the
            default.

    Returns:
        The configuration, not yet encoded.
    """
    default_rules = [build_rule('r-1', prefix='/bookings/', **action)]
    return {
        'version': '0000001f',
        'limits': {
            'maxHeaderBytes': 8192,
            'maxBodyBytes': 1048576,
            'headerTimeoutMs': 5000,
            'idleTimeoutMs': 15000,
        },
        'listeners': [
            {
                'host': 'Mesh.Example',
                'rules': default_rules if rules is None else rules,
            },
        ],
        'clusters': [
            {'name': 'gopu72b', 'maxConns': 130, 'healthPath': '/health'},
        ],
    }


def build_raw_item(
    key: str, payload: bytes, *, revision: int = 5
) -> dict[str, Any]:
    """Build an item of the store from bytes.

    Args:
        key: key of the item.
        payload: value of the item.
        revision: revision of the item's creation and last change.

    Returns:
        The item in the format of the store.
    """
    return {
        'key': key,
        'value': b64encode(payload).decode(),
        'revision': revision,
        'created': revision,
        'lease': 0,
    }


def build_item(key: str, entry: Any, *, revision: int = 5) -> dict[str, Any]:
    """Build an item of the store.

    Args:
        key: key of the item.
        entry: value of the item, not yet encoded.
        revision: revision of the item's creation and last change.

    Returns:
        The item in the format of the store.
    """
    return build_raw_item(
        key, stdlib_json.dumps(entry).encode(), revision=revision
    )
