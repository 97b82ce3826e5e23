"""Key pairs of the fleet and the files that hold them.

Every node of a fleet holds the same pair: with it a node proves to others
that it belongs to the fleet, and knows that they do. While a key is being
rotated a node accepts two.
"""

from __future__ import annotations

import os
import stat
from pathlib import Path
from typing import Final

import zmq
from msgspec import Struct
from result import Err, Ok, Result

from wagtaildale.errors.codes import Code
from wagtaildale.errors.faults import Fault, Faults

OWNER_ONLY: Final = 0o600
OTHERS: Final = stat.S_IRWXG | stat.S_IRWXO
KEY_LENGTH: Final = 40


class KeyPair(Struct, frozen=True, kw_only=True):
    """One pair, Z85-encoded as ZeroMQ does.

    Attributes:
        public: derived from the secret.
        secret: never printed or logged.
    """

    public: bytes
    secret: bytes

    def __repr__(self) -> str:
        """Show the public part only.

        Returns:
            Text that is safe in a log.
        """
        return f'KeyPair({self.public.decode()})'


def write_new_pair(path: Path) -> Result[KeyPair, Fault]:
    """Make a pair and write its secret to a new file.

    Args:
        path: must not exist yet.

    Returns:
        The pair, or why the file cannot be written.
    """
    public, secret = zmq.curve_keypair()
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        descriptor = os.open(path, flags, OWNER_ONLY)
    except OSError as error:
        return Err(_describe(path, str(error), 'a new file'))
    with os.fdopen(descriptor, 'wb') as key_file:
        key_file.write(secret + b'\n')
    return Ok(KeyPair(public=public, secret=secret))


def read_pairs(paths: tuple[str, ...]) -> Result[tuple[KeyPair, ...], Faults]:
    """Read the secrets named in the settings.

    Args:
        paths: the node's own key first, then others that it accepts.

    Returns:
        The pairs in the same order, or every fault.
    """
    read = [_read_pair(Path(path)) for path in paths]
    faults = tuple(each.err_value for each in read if isinstance(each, Err))
    if faults:
        return Err(faults)
    return Ok(tuple(each.ok_value for each in read if isinstance(each, Ok)))


def _read_pair(path: Path) -> Result[KeyPair, Fault]:
    try:
        secret = path.read_bytes().strip()
    except OSError as error:
        return Err(_describe(path, str(error), 'a readable key file'))
    if path.stat().st_mode & OTHERS:
        got = 'a file that others can read'
        return Err(_describe(path, got, 'mode 0600'))
    if len(secret) != KEY_LENGTH:
        got = f'{len(secret)} characters'
        return Err(_describe(path, got, 'a file of `wagtaildale keys new`'))
    try:
        public = zmq.curve_public(secret)
    except (zmq.ZMQError, ValueError):
        got = 'no Z85 text'
        return Err(_describe(path, got, 'a file of `wagtaildale keys new`'))
    return Ok(KeyPair(public=public, secret=secret))


def _describe(path: Path, got: str, expected: str) -> Fault:
    return Fault(
        code=Code.secret_unreadable,
        where=str(path),
        got=got,
        expected=expected,
    )
