"""Runs a node on the operators' platform."""

from __future__ import annotations

import os
from functools import partial
from typing import TYPE_CHECKING, Final

import click
from result import Err

from wagtaildale.daemon import EXIT_SETTINGS, end_process, run_daemon
from wagtaildale.distribution.tuning import make_tuning
from wagtaildale.integration import Integration
from wagtaildale.platform.dialect import PLATFORM_DIALECT
from wagtaildale.platform.settings import read_settings, translate_settings
from wagtaildale.platform.store import PlatformStore
from wagtaildale.source.store_feed import StoreFeed

if TYPE_CHECKING:
    from wagtaildale.settings.model import Settings
    from wagtaildale.source.feed import Feed

MILLISECONDS: Final = 1000
SETTINGS_VARIABLE: Final = 'WAGTAILDALE_NODE_FILE'


def main() -> int:
    """Run a node with the settings file of the platform.

    Returns:
        Exit code of the process.
    """
    platform_file = read_settings(os.environ.get(SETTINGS_VARIABLE, ''))
    if isinstance(platform_file, Err):
        for fault in platform_file.err_value:
            click.echo(str(fault), err=True)
        return EXIT_SETTINGS
    settings = translate_settings(platform_file.ok_value)
    return run_daemon(
        settings,
        tuning=make_tuning(
            apply_seconds=min(
                settings.bounds.apply_seconds,
                settings.bounds.drain_seconds,
            ),
            heartbeat_seconds=platform_file.ok_value.heartbeat_ms
            / MILLISECONDS,
            line_mbps=platform_file.ok_value.limits.link_mbps,
        ),
        integration=Integration(
            dialect=PLATFORM_DIALECT,
            make_feeds=partial(
                _make_feeds, regions=platform_file.ok_value.zones
            ),
            has_parts=False,
        ),
    )


def _make_feeds(
    settings: Settings,
    *,
    regions: dict[str, str],
) -> tuple[Feed, ...]:
    return (StoreFeed(PlatformStore(settings, regions=regions)),)


if __name__ == '__main__':
    end_process(main())
