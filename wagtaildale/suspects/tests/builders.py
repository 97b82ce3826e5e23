"""Builds suspicions and fingerprints for tests."""

from __future__ import annotations

from wagtaildale.suspects.fingerprints import (
    Fingerprint,
    FingerprintInput,
    compute_fingerprint,
)
from wagtaildale.suspects.records import Suspicion

CALLER_FIELD = b'x-caller'


def build_fingerprint(
    path: str = '/files/1',
    *,
    work_class: str = 'casefiles/lookup',
    method: bytes = b'GET',
    caller: bytes = b'',
    body: bytes = b'',
) -> Fingerprint:
    return compute_fingerprint(
        FingerprintInput(
            work_class=work_class,
            method=method,
            target=path.encode(),
            body=body,
        ),
        headers=((b'host', b'm'), (CALLER_FIELD, caller), (b'x-id', b'1')),
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
