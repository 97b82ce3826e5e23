"""Settings of a node, as DEPLOY.md describes them."""

from __future__ import annotations

from types import MappingProxyType
from typing import Final

APP_PORT: Final = 8145
CONTROL_PORT: Final = 8529
PORTS: Final = MappingProxyType(
    {'inbound': 8146, 'outbound': 8147, 'ready': 8141, 'control': CONTROL_PORT}
)
REGION: Final = 'region-1'
BOUNDS: Final = (
    'seedLagS=3',
    'reuseAfterS=2',
    'stableWindowMs=3000',
    'ackMs=4000',
    'catchUpS=4',
    'drainMs=2000',
    'graceS=6',
    'lossSlackMs=200',
    'applyMs=2000',
    'rollbackSlackMs=250',
    'skewMaxMs=5000',
    'budgetRatio=0.2',
    'budgetWindowS=10',
    'budgetSlack=64',
    'recoverS=15',
)


def build_settings(
    host: str,
    *,
    zone: str,
    service: str,
    seeds: tuple[str, ...],
    store: str,
) -> dict[str, object]:
    """Build the settings of a node, with the figures of DEPLOY.md."""
    return {
        'nodeName': f'sidecar-{host}',
        'role': 'node',
        'instanceClass': 'sidecar',
        'serves': ['sidecar', 'control_plane'],
        'ip': host,
        'zone': zone,
        'region': REGION,
        'zones': {'zone-a': REGION, 'zone-b': REGION, 'zone-c': REGION},
        'listenAddrs': {name: f'{host}:{port}' for name, port in PORTS.items()},
        'internalPortRange': [7380, 7395],
        'seedNodes': [f'{seed}:{CONTROL_PORT}' for seed in seeds],
        'bootstrap': True,
        'countsAsLoss': False,
        'limits': {
            'cpuShare': 0.86,
            'cpuCores': 1,
            'memoryMb': 300,
            'maxFds': 4100,
            'linkMbps': 1000.0,
            'diskMb': 0,
        },
        'dataDir': None,
        'discovery': 'platform',
        'entry': 'static',
        'heartbeatMs': 1500,
        'contracts': ['base', 'drain', 'config', 'cost', 'retry', 'recover'],
        'faultTolerance': {'machines': 2, 'zones': 0, 'regions': 0},
        'bounds': list(BOUNDS),
        'appAddr': f'{host}:{APP_PORT}',
        'service': service,
        'platform': {
            'address': store,
            'form': 'read',
            'writesPerS': 400,
            'readsPerS': 2000,
            'historyS': 20,
            'valueBytes': 1048576,
            'ttlMinMs': 1000,
        },
    }
