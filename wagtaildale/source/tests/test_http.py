"""Tests of reading a stand-in platform over HTTP."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import pytest

from standins.platform import MANIFEST_PATH, PlatformStandIn
from wagtaildale.errors.codes import Code
from wagtaildale.settings.model import PlatformSettings
from wagtaildale.source.http import HttpPlatform
from wagtaildale.source.pacing import (
    LAST_CAP_SECONDS,
    Backoff,
    TokenBucket,
)
from wagtaildale.testing.assertions import assert_err, assert_ok
from wagtaildale.testing.builders import build_compiled, build_record

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def platform() -> Iterator[PlatformStandIn]:
    standin = PlatformStandIn('127.0.0.1', 0)
    standin.publish(build_compiled(1))
    standin.publish_instances(1, (build_record('a'),))
    yield standin
    standin.close()


@pytest.fixture
def http_platform(platform: PlatformStandIn) -> HttpPlatform:
    return HttpPlatform(PlatformSettings(url=platform.url))


def test_manifest_and_parts_are_read(http_platform: HttpPlatform) -> None:
    reading = assert_ok(http_platform.read_manifest(index=0, wait=0))
    assert reading.payload is not None
    assert reading.payload.version == 1
    digest = reading.payload.parts['casefiles']
    assert assert_ok(http_platform.read_part(digest))
    assert assert_ok(http_platform.read_part('0' * 32)) is None


def test_instance_list_is_read(http_platform: HttpPlatform) -> None:
    reading = assert_ok(http_platform.read_instances(index=0, wait=0))
    assert reading.payload is not None
    assert reading.payload.instances == (build_record('a'),)


def test_watch_returns_a_change(
    platform: PlatformStandIn,
    http_platform: HttpPlatform,
) -> None:
    index = assert_ok(http_platform.read_manifest(index=0, wait=0)).index
    timer = threading.Timer(0.05, platform.publish, (build_compiled(2),))
    timer.start()
    reading = assert_ok(http_platform.read_manifest(index=index, wait=5))
    assert reading.payload is not None
    assert reading.payload.version == 2


def test_watch_returns_unchanged_after_its_wait(
    http_platform: HttpPlatform,
) -> None:
    index = assert_ok(http_platform.read_manifest(index=0, wait=0)).index
    reading = assert_ok(http_platform.read_manifest(index=index, wait=0.05))
    assert not reading.changed
    assert reading.payload is None


@pytest.mark.parametrize(
    ('fault', 'code'),
    [('down', Code.source_refused), ('half', Code.source_unreachable)],
)
def test_platform_fault_has_its_code(
    platform: PlatformStandIn,
    http_platform: HttpPlatform,
    fault: str,
    code: Code,
) -> None:
    setattr(platform.faults, fault, True)
    failure = assert_err(http_platform.read_manifest(index=0, wait=0))
    assert failure.code is code


def test_reads_over_the_rate_are_refused(
    platform: PlatformStandIn,
    http_platform: HttpPlatform,
) -> None:
    platform.faults.reads_per_second = 1
    http_platform.read_manifest(index=0, wait=0)
    reads = [http_platform.read_manifest(index=0, wait=0) for _read in range(4)]
    refused = [read.unwrap_err() for read in reads if read.is_err()]
    assert {failure.code for failure in refused} == {Code.source_refused}


@pytest.mark.parametrize(
    'body',
    [b'{', b'{"version":0,"name":"x","parts":{}}', b'[]', b'\xff'],
)
def test_unreadable_manifest_is_corrupt(
    platform: PlatformStandIn,
    http_platform: HttpPlatform,
    body: bytes,
) -> None:
    platform.put(MANIFEST_PATH, body)
    failure = assert_err(http_platform.read_manifest(index=0, wait=0))
    assert failure.code is Code.part_corrupt


def test_value_over_a_megabyte_is_not_published(
    platform: PlatformStandIn,
) -> None:
    platform.put('/v1/kv/x', bytes(1_000_000))
    with pytest.raises(ValueError, match='1000001'):
        platform.put('/v1/kv/x', bytes(1_000_001))


def test_token_bucket_delays_reads_over_its_burst() -> None:
    bucket = TokenBucket(rate=2, burst=3, now=0)
    delays = [bucket.take(now=0) for _read in range(5)]
    assert delays == [0, 0, 0, 0.5, 1]
    assert bucket.take(now=10) == 0


def test_backoff_grows_to_its_cap_and_resets() -> None:
    backoff = Backoff(last_cap_seconds=8)
    drawn = [backoff.draw() for _failure in range(200)]
    assert max(drawn[:1]) <= 0.5
    assert 4 < max(drawn) <= 8
    backoff.reset()
    assert backoff.draw() <= 0.5


def test_backoff_keeps_to_a_lower_limit() -> None:
    """After a long outage the first reader waits for half a minute."""
    backoff = Backoff()
    drawn = [backoff.draw() for _failure in range(20)]
    backoff.limit(1)
    drawn = [backoff.draw() for _failure in range(200)]
    assert 0.5 < max(drawn) <= 1
    backoff.limit(100)
    assert max(backoff.draw() for _failure in range(200)) <= LAST_CAP_SECONDS
