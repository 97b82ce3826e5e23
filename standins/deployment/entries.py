"""What operators and backend servers write to the store, and settings."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from standins.deployment.model import (
    ADMIN_PORT,
    APP_PORT,
    CONTROL_PORT,
    ENTRY_PORT,
    HEALTH_PATH,
    HOST_NAME,
    INTERNAL_PORTS,
    OWNER_PORT,
    READY_PORT,
    STORE_PORT,
)

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from standins.deployment.machines import Machine
    from standins.deployment.model import Deployment, WorkClass

REGION: Final = 'region-1'
# Rules that no request matches.
IDLE_RULES: Final = 300
BORN_MS: Final = 1_790_000_000_000
PORTS: Final = (
    ENTRY_PORT,
    OWNER_PORT,
    READY_PORT,
    CONTROL_PORT,
    ADMIN_PORT,
    APP_PORT,
)


def build_configuration(deployment: Deployment, version: int) -> dict[str, Any]:
    """Build the value of the configuration's key.

    Args:
        deployment: deployment that is configured.
        version: version of the configuration.

    Returns:
        The configuration, not yet encoded.
    """
    return {
        'version': f'{version:08x}',
        'limits': {
            'maxHeaderBytes': 8192,
            'maxBodyBytes': 1_048_576,
            'headerTimeoutMs': 5000,
            'idleTimeoutMs': 15000,
        },
        'listeners': [
            {
                'host': HOST_NAME,
                'rules': [
                    *map(_build_rule, deployment.classes),
                    *_build_idle_rules(deployment, version),
                ],
            },
        ],
        'clusters': [
            {'name': service, 'maxConns': 130, 'healthPath': HEALTH_PATH}
            for service in deployment.services
        ],
    }


def _build_rule(work_class: WorkClass) -> dict[str, Any]:
    return {
        'name': work_class.name,
        'kind': work_class.kind.value,
        'goalMs': work_class.goal_ms,
        'priority': work_class.priority,
        'match': {'prefix': f'/{work_class.name}/'},
        'action': {
            'timeoutMs': work_class.timeout_ms,
            'attempts': 2,
            'service': work_class.service,
        },
    }


def _build_idle_rules(
    deployment: Deployment, version: int
) -> Iterator[dict[str, Any]]:
    for number in range(IDLE_RULES):
        rule = _build_rule(deployment.classes[number % 2])
        name = f'{deployment.name}-{rule["name"]}-{number:04d}'
        action = {**rule['action'], 'timeoutMs': 1000 + (version + number) % 9}
        yield {
            **rule,
            'name': name,
            'match': {'prefix': f'/idle/{name}/'},
            'action': action,
        }


def build_entry(
    machine: Machine, deployment: Deployment, *, state: str = 'ready'
) -> dict[str, Any]:
    """Build the entry of a machine's backend server.

    Args:
        machine: machine of the server.
        deployment: deployment that it belongs to.
        state: state that the server reports.

    Returns:
        The entry, not yet encoded.
    """
    return {
        'address': f'{machine.host}:{APP_PORT}',
        'info': {
            'service': machine.service,
            'version': 'v1',
            'zone': machine.zone,
            'slots': deployment.slots,
        },
        'status': {'state': state, 'sequence': 1, 'coldLeftMs': 0},
        'born': BORN_MS,
    }


def build_settings(
    machine: Machine,
    deployment: Deployment,
    *,
    seeds: Sequence[str],
) -> dict[str, Any]:
    """Build the settings of the node on a machine.

    Args:
        machine: machine of the node.
        deployment: deployment that it belongs to.
        seeds: IP addresses of the seeds.

    Returns:
        The settings, not yet encoded.
    """
    host = machine.host
    drain_ms = deployment.drain_ms
    return {
        'nodeName': f'sidecar-{host}',
        'ip': host,
        'zone': machine.zone,
        'region': REGION,
        'zones': dict.fromkeys(deployment.zones, REGION),
        'listenAddrs': {
            'inbound': f'{host}:{OWNER_PORT}',
            'outbound': f'{host}:{ENTRY_PORT}',
            'ready': f'{host}:{READY_PORT}',
            'control': f'{host}:{CONTROL_PORT}',
        },
        'internalPortRange': list(INTERNAL_PORTS),
        'seedNodes': [f'{seed}:{CONTROL_PORT}' for seed in seeds],
        'limits': {
            'cpuShare': 0.86,
            'cpuCores': 1,
            'memoryMb': deployment.memory_mb,
            'maxFds': deployment.max_fds,
            'linkMbps': 1000.0,
        },
        'heartbeatMs': deployment.heartbeat_ms,
        'bounds': [
            f'drainMs={drain_ms}',
            'graceS=6',
            'lossSlackMs=200',
            'applyMs=2000',
            'budgetRatio=0.2',
            'budgetWindowS=10',
            'budgetSlack=64',
        ],
        'appAddr': f'{host}:{APP_PORT}',
        'service': machine.service,
        'platform': {'address': f'{host}:{STORE_PORT}', 'readsPerS': 2000},
    }
