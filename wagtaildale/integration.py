"""The adapter interface for platforms.

An integration gathers what differs between platforms: the header names and
the way documents are read. The product's own platform is the default.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from msgspec import Struct

from wagtaildale.calls.dialect import DEFAULT_DIALECT, Dialect
from wagtaildale.settings.model import Settings
from wagtaildale.source.feed import DocumentFeed, Feed
from wagtaildale.source.http import HttpPlatform
from wagtaildale.types import DocumentKind

if TYPE_CHECKING:
    from wagtaildale.source.platform import Platform


class Integration(Struct, frozen=True, kw_only=True):
    """Adapter of a node for its platform.

    Attributes:
        dialect: header names used with callers and backend servers.
        make_feeds: factory of the feeds of the documents, which use separate
            connections.
        has_parts: whether the platform serves single parts by content hash.
    """

    dialect: Dialect
    make_feeds: Callable[[Settings], tuple[Feed, ...]]
    has_parts: bool


def make_own_feeds(settings: Settings) -> tuple[Feed, ...]:
    """Create the feeds of the product's own platform.

    Args:
        settings: settings with the address of the platform.

    Returns:
        One feed for each document.
    """
    return tuple(
        DocumentFeed(kind, platform=HttpPlatform(settings.platform))
        for kind in DocumentKind
    )


def make_part_reader(
    settings: Settings,
    integration: Integration,
) -> Platform | None:
    """Create the reader of single parts.

    Args:
        settings: settings with the address of the platform.
        integration: adapter for the platform.

    Returns:
        The reader, or None if the platform serves only whole documents.
    """
    return HttpPlatform(settings.platform) if integration.has_parts else None


OWN_INTEGRATION = Integration(
    dialect=DEFAULT_DIALECT,
    make_feeds=make_own_feeds,
    has_parts=True,
)
