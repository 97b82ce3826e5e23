"""Runs a node that loses messages or has another tuning.

Used by the soak, the sweep and the benchmarks of distribution under faults.
"""

from __future__ import annotations

import os
import random
import sys
from typing import TYPE_CHECKING, Final

import click
from msgspec import json

from wagtaildale.daemon import run_daemon
from wagtaildale.distribution.sockets import NodeSockets
from wagtaildale.distribution.tuning import Tuning
from wagtaildale.settings.load import load_settings

if TYPE_CHECKING:
    from wagtaildale.keys.pairs import KeyPair
    from wagtaildale.types import InstanceId

LOSS_VARIABLE: Final = 'WAGTAILDALE_BENCH_LOSS'
TUNING_VARIABLE: Final = 'WAGTAILDALE_BENCH_TUNING'


class LossySockets(NodeSockets):
    """Sockets that drop a share of all messages sent."""

    def __init__(self, keys: tuple[KeyPair, ...] = ()) -> None:
        """Create the sockets without opening them.

        Args:
            keys: key pairs of the fleet.
        """
        super().__init__(keys)
        self._loss_share = float(os.environ.get(LOSS_VARIABLE, '0'))

    def answer(self, instance: InstanceId, frame: bytes) -> bool:
        """Send on the connection that an instance used last, or drop.

        Args:
            instance: receiving instance.
            frame: encoded message.

        Returns:
            Whether the message was accepted; True if it was dropped.
        """
        return self._is_lost() or super().answer(instance, frame)

    def send(self, address: str, frame: bytes) -> bool:
        """Send to an address, or drop the message.

        Args:
            address: ZeroMQ endpoint.
            frame: encoded message.

        Returns:
            Whether the message was accepted; True if it was dropped.
        """
        return self._is_lost() or super().send(address, frame)

    def _is_lost(self) -> bool:
        return random.random() < self._loss_share


@click.command()
@click.option('--settings', 'settings_file', required=True)
def main(settings_file: str) -> None:
    """Run one node with lossy sockets.

    Args:
        settings_file: path of the settings file.
    """
    settings = load_settings(settings_file).unwrap()
    tuning_text = os.environ.get(TUNING_VARIABLE)
    tuning = json.decode(tuning_text, type=Tuning) if tuning_text else None
    sys.exit(
        run_daemon(settings, make_sockets=LossySockets, tuning=tuning),
    )


if __name__ == '__main__':
    main()
