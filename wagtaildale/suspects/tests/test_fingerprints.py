"""Tests of the fingerprints of requests."""

from __future__ import annotations

import pytest

from wagtaildale.suspects.fingerprints import (
    BODY_BYTES,
    Fingerprint,
    FingerprintInput,
    compute_fingerprint,
    find_subject,
)
from wagtaildale.suspects.tests.builders import CALLER_FIELD, build_fingerprint


@pytest.mark.parametrize(
    'other',
    [
        build_fingerprint('/files/2'),
        build_fingerprint(method=b'POST'),
        build_fingerprint(work_class='casefiles/photos'),
        build_fingerprint(body=b'x'),
        build_fingerprint('/files/1x', body=b''),
        build_fingerprint('/files/', body=b'1'),
    ],
)
def test_different_request_has_a_different_subject(other: Fingerprint) -> None:
    assert find_subject(other) != find_subject(build_fingerprint())


def test_request_of_another_caller_has_the_same_subject() -> None:
    ours = build_fingerprint(caller=b'a')
    theirs = build_fingerprint(caller=b'b')
    assert ours != theirs
    assert find_subject(ours) == find_subject(theirs)


def test_fingerprint_does_not_depend_on_request_id_and_host() -> None:
    """A repeated request may name another node as its host."""
    fingerprint = compute_fingerprint(
        FingerprintInput(
            work_class='casefiles/lookup',
            method=b'GET',
            target=b'/files/1',
            body=b'',
        ),
        headers=((b'x-id', b'2'), (b'host', b'127.0.0.2:8080')),
        caller_field=CALLER_FIELD,
    )
    assert fingerprint == build_fingerprint()


def test_fingerprint_does_not_depend_on_the_service() -> None:
    """A new configuration must not hide a harmful request behind a service."""
    moved = build_fingerprint(work_class='archive/lookup')
    assert moved == build_fingerprint()


def test_only_the_beginning_of_a_long_body_counts() -> None:
    body_prefix = b'x' * BODY_BYTES
    assert build_fingerprint(body=body_prefix) == build_fingerprint(
        body=body_prefix + b'y'
    )
