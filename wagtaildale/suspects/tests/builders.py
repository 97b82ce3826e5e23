"""Suspicions and fingerprints for tests."""

from __future__ import annotations

from wagtaildale.suspects.fingerprints import Fingerprint, take_fingerprint
from wagtaildale.suspects.records import Suspicion

CALLER_FIELD = b'x-caller'


def build_fingerprint(
    path: str = '/files/1',
    *,
    method: bytes = b'GET',
    host: bytes = b'm',
    caller: bytes = b'',
    body: bytes = b'',
) -> Fingerprint:
    return take_fingerprint(
        method,
        target=path.encode(),
        headers=((b'host', host), (CALLER_FIELD, caller), (b'x-id', b'1')),
        body=body,
        caller_field=CALLER_FIELD,
    )


def build_suspicion(
    path: str = '/files/1',
    *,
    clearings: int = 0,
    ends: int = 1,
    caller: bytes = b'',
) -> Suspicion:
    return Suspicion(build_fingerprint(path, caller=caller), clearings, ends)
