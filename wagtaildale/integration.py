"""What differs from one platform to another, gathered for ``assembly``.

The product's own platform is the default; another brings its header fields
and its way of reading documents.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from msgspec import Struct

from wagtaildale.calls.dialect import OWN_DIALECT, Dialect
from wagtaildale.settings.model import Settings
from wagtaildale.source.feed import DocumentFeed, Feed
from wagtaildale.source.http import HttpPlatform
from wagtaildale.types import DocumentKind

if TYPE_CHECKING:
    from wagtaildale.source.platform import Platform


class Integration(Struct, frozen=True, kw_only=True):
    """How a node meets its platform.

    Attributes:
        dialect: how callers and backend servers are spoken to.
        make_feeds: makes the feeds of the documents, with connections of
            their own.
        has_parts: whether single parts are read by content hash.
    """

    dialect: Dialect
    make_feeds: Callable[[Settings], tuple[Feed, ...]]
    has_parts: bool


def make_own_feeds(settings: Settings) -> tuple[Feed, ...]:
    """Make the feeds of the product's own platform.

    Args:
        settings: where the platform is.

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
    """Make the reader of single parts.

    Args:
        settings: where the platform is.
        integration: whether it has single parts.

    Returns:
        The reader, or nothing where documents come whole.
    """
    return HttpPlatform(settings.platform) if integration.has_parts else None


OWN_INTEGRATION = Integration(
    dialect=OWN_DIALECT,
    make_feeds=make_own_feeds,
    has_parts=True,
)
