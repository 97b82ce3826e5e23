"""Tests of the feed of one document."""

from __future__ import annotations

from typing import Any

from result import Ok, Result

from wagtaildale.configuration.model import Manifest
from wagtaildale.source.feed import (
    FIRST_INDEX,
    WATCHES_PER_FULL_READ,
    DocumentFeed,
)
from wagtaildale.source.platform import Platform, Reading, ReadFailure
from wagtaildale.testing.builders import build_compiled
from wagtaildale.types import DocumentKind


class PassingPlatform(Platform):
    """Platform whose watches pass each change without telling it.

    Attributes:
        version: published version of the configuration.
    """

    def __init__(self) -> None:
        self.version = 1

    def read_manifest(
        self, *, index: int, wait: float
    ) -> Result[Reading[Manifest], ReadFailure]:
        manifest = build_compiled(self.version).manifest
        is_first = index == FIRST_INDEX
        reading = Reading(
            index=self.version,
            payload=manifest if is_first else None,
            changed=is_first,
        )
        return Ok(reading)

    def read_part(self, name: str) -> Any:
        raise NotImplementedError

    def read_instances(self, *, index: int, wait: float) -> Any:
        raise NotImplementedError


def test_version_that_a_watch_passes_is_read_later() -> None:
    """A version is never applied, since the cursor has passed it."""
    platform = PassingPlatform()
    feed = DocumentFeed(DocumentKind.configuration, platform=platform)
    feed.read(wait=1.0).unwrap()
    platform.version = 2
    versions = [
        read.outline.version
        for _read in range(WATCHES_PER_FULL_READ)
        for read in feed.read(wait=1.0).unwrap().changed
    ]
    assert versions == [2]
