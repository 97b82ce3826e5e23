"""Key pairs of the fleet and the files that hold them.

All nodes of a fleet hold the same pair, with which they authenticate each
other as members of the fleet. During a key rotation a node accepts two pairs.
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

OWNER_ONLY_MODE: Final = 0o600
GROUP_AND_OTHERS_MODE: Final = stat.S_IRWXG | stat.S_IRWXO
KEY_CHARACTERS: Final = 40


class KeyPair(Struct, frozen=True, kw_only=True):
    """One key pair in ZeroMQ's Z85 encoding.

    Attributes:
        public: public key, derived from the secret key.
        secret: secret key; never printed or logged.
    """

    public: bytes
    secret: bytes

    def __repr__(self) -> str:
        """Show only the public key.

        Returns:
            Text that is safe to log.
        """
        return f'KeyPair({self.public.decode()})'


def write_new_pair(path: Path) -> Result[KeyPair, Fault]:
    """Generate a pair and write its secret key to a new file.

    Args:
        path: path of the key file, which must not exist yet.

    Returns:
        The pair, or why the file cannot be written.
    """
    public, secret = zmq.curve_keypair()
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        descriptor = os.open(path, flags, OWNER_ONLY_MODE)
    except OSError as error:
        return Err(_make_fault(path, str(error), 'a new file'))
    with os.fdopen(descriptor, 'wb') as key_file:
        key_file.write(secret + b'\n')
    return Ok(KeyPair(public=public, secret=secret))


def read_pairs(paths: tuple[str, ...]) -> Result[tuple[KeyPair, ...], Faults]:
    """Read the key files named in the settings.

    Args:
        paths: key files, the node's own first, then others that it accepts.

    Returns:
        The pairs in the same order, or all faults.
    """
    reads = [_read_pair(Path(path)) for path in paths]
    faults = tuple(read.err_value for read in reads if isinstance(read, Err))
    if faults:
        return Err(faults)
    return Ok(tuple(read.ok_value for read in reads if isinstance(read, Ok)))


def _read_pair(path: Path) -> Result[KeyPair, Fault]:
    try:
        secret = path.read_bytes().strip()
    except OSError as error:
        return Err(_make_fault(path, str(error), 'a readable key file'))
    if path.stat().st_mode & GROUP_AND_OTHERS_MODE:
        got = 'a file that other users can access'
        return Err(_make_fault(path, got, 'mode 0600'))
    if len(secret) != KEY_CHARACTERS:
        got = f'{len(secret)} characters'
        return Err(_make_fault(path, got, 'a file of `wagtaildale keys new`'))
    try:
        public = zmq.curve_public(secret)
    except (zmq.ZMQError, ValueError):
        got = 'text that is not a Z85 key'
        return Err(_make_fault(path, got, 'a file of `wagtaildale keys new`'))
    return Ok(KeyPair(public=public, secret=secret))


def _make_fault(path: Path, got: str, expected: str) -> Fault:
    return Fault(
        code=Code.secret_unreadable,
        where=str(path),
        got=got,
        expected=expected,
    )
