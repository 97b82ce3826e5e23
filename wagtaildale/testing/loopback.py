"""Loopback addresses that test runs side by side do not share."""

from __future__ import annotations

import itertools
import os
from typing import Final

NETWORKS: Final = 200
FIRST_NETWORK: Final = 20

_run_numbers = itertools.count()


def choose_network() -> str:
    """Choose a network that other processes, and other calls, do not use.

    Returns:
        First three parts of its IP addresses.
    """
    third, second = divmod(os.getpid(), NETWORKS)
    third = (third + next(_run_numbers)) % NETWORKS
    return f'127.{FIRST_NETWORK + second}.{FIRST_NETWORK + third}'


_network = choose_network()


def make_host(number: int) -> str:
    """Give an address on the network of this process.

    Args:
        number: last part of the address, from 1 to 254.

    Returns:
        The IP address.
    """
    return f'{_network}.{number}'
