"""Tests of feeds and node processes with a store that is restored."""

from __future__ import annotations

import os
import subprocess
import sys
import time
from contextlib import ExitStack
from typing import TYPE_CHECKING, Any, Final

import pytest
from msgspec import json, structs

from wagtaildale.document.eras import Era, find_era, make_version
from wagtaildale.platform.store import PlatformStore
from wagtaildale.platform.tests.builders import (
    SETTINGS,
    build_configuration,
    build_entry,
    build_settings,
)
from wagtaildale.platform.tests.feeds import list_instances, read_feed
from wagtaildale.platform.tests.stores import StandInStore
from wagtaildale.settings.model import PlatformSettings
from wagtaildale.source.store_feed import StoreFeed
from wagtaildale.testing.loopback import make_host

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

PATIENCE: Final = 20.0
CONFIGURATION: Final = 'op/config'
FIRST: Final = 'servers/i-1'
SECOND: Final = 'servers/i-2'
HOSTS: Final = (make_host(1), make_host(2))
BACKEND_PORT: Final = 8145
CONTROL_PORT: Final = 8529


@pytest.fixture
def store() -> Iterator[StandInStore]:
    with StandInStore() as standin:
        standin.write(CONFIGURATION, build_configuration())
        standin.write(FIRST, build_listed(0))
        standin.write(SECOND, build_listed(1))
        yield standin


@pytest.fixture
def logs(store: StandInStore, tmp_path: Path) -> Iterator[list[Path]]:
    """Log files of two running nodes."""
    paths = [tmp_path / f'{index}.log' for index in range(len(HOSTS))]
    with ExitStack() as stack:
        for index, log in enumerate(paths):
            node = stack.enter_context(start_node(index, store, log))
            stack.callback(node.kill)
        yield paths


def start_node(
    index: int,
    store: StandInStore,
    log: Path,
) -> subprocess.Popen[bytes]:
    settings = log.with_suffix('.json')
    settings.write_bytes(build_node_file(index, store))
    with log.open('wb') as output:
        return subprocess.Popen(
            [sys.executable, '-m', 'wagtaildale.platform'],
            stdout=output,
            stderr=output,
            env={**os.environ, 'WAGTAILDALE_NODE_FILE': str(settings)},
        )


def build_listed(index: int, *, state: str = 'ready') -> dict[str, Any]:
    return build_entry(address=f'{HOSTS[index]}:{BACKEND_PORT}', state=state)


def build_node_file(index: int, store: StandInStore) -> bytes:
    host = HOSTS[index]
    ports = {
        'inbound': 8146,
        'outbound': 8147,
        'ready': 8141,
        'control': CONTROL_PORT,
    }
    fields = {
        'ip': host,
        'listenAddrs': {name: f'{host}:{port}' for name, port in ports.items()},
        'seedNodes': [f'{other}:{CONTROL_PORT}' for other in HOSTS],
        'appAddr': f'{host}:{BACKEND_PORT}',
        'platform': {'address': store.address, 'readsPerS': 2000},
    }
    return json.encode({**SETTINGS, **fields})


def wait_for_log_texts(logs: list[Path], *texts: str) -> None:
    deadline = time.monotonic() + PATIENCE
    while not all(has_texts(log, texts) for log in logs):
        assert time.monotonic() < deadline, logs[0].read_text()[-2000:]
        time.sleep(0.02)


def has_texts(log: Path, texts: tuple[str, ...]) -> bool:
    written = log.read_text()
    return all(text in written for text in texts)


def test_revisions_that_are_reused_after_a_restore_are_read_again(
    store: StandInStore,
) -> None:
    """A watch continues from a revision that now means another change.

    After its restore the store assigns the same revision numbers again.
    """
    platform = PlatformSettings(url=f'http://{store.address}')
    settings = structs.replace(build_settings(), platform=platform)
    regions = {'derby': 'midlands', 'coventry': 'midlands'}
    feed = StoreFeed(PlatformStore(settings, regions=regions))
    read_feed(feed)
    older_copy = store.make_copy()
    store.write(SECOND, build_listed(1, state='draining'))
    before = read_feed(feed)
    store.restore(older_copy, (FIRST, build_listed(0, state='draining')))
    store.write(CONFIGURATION, build_configuration())
    after = read_feed(feed)
    states = {
        name: record.state.value
        for name, record in list_instances(after).items()
    }
    assert states == {'i-1': 'leaving', 'i-2': 'live'}
    assert after.changed[1].outline.version > before.changed[0].outline.version
    assert find_era(after.changed[1].outline.version) == store.era


def test_leaving_server_gets_no_work_after_a_restore(
    store: StandInStore,
    logs: list[Path],
) -> None:
    """Nodes send calls to a leaving server because of a restored older copy.

    In the copy the server is still listed as ready.
    """
    wait_for_log_texts(logs, 'kind=node-ready')
    older_copy = store.make_copy()
    store.write(SECOND, build_listed(1, state='draining'))
    version = make_version(Era(store.era), revision=store.revision)
    wait_for_log_texts(logs, f'kind=instances-applied version={version}')
    store.restore(older_copy)
    wait_for_log_texts(logs, 'kind=platform-returned', 'held=i-2')


def test_log_shows_by_which_word_a_server_leaves(
    store: StandInStore,
    logs: list[Path],
) -> None:
    """A late request cannot be traced to the word that came late."""
    wait_for_log_texts(logs, 'kind=node-ready')
    store.write(SECOND, build_listed(1, state='draining'))
    version = make_version(Era(store.era), revision=store.revision)
    wait_for_log_texts(
        logs,
        f'kind=instance-leaving version={version} subject=i-2 word=reported',
    )
