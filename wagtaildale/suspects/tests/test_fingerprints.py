"""Tests of what a request is known by."""

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
def test_other_request_has_another_subject(other: Fingerprint) -> None:
    assert find_subject(other) != find_subject(build_fingerprint())


def test_request_of_another_caller_has_the_same_subject() -> None:
    ours = build_fingerprint(caller=b'a')
    theirs = build_fingerprint(caller=b'b')
    assert ours != theirs
    assert find_subject(ours) == find_subject(theirs)


def test_id_and_host_of_a_request_do_not_matter() -> None:
    """A request that comes to another node names that node as its host."""
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


def test_service_of_a_class_does_not_matter() -> None:
    """A configuration sends a request to another service, and it goes on."""
    moved = build_fingerprint(work_class='archive/lookup')
    assert moved == build_fingerprint()


def test_long_body_counts_by_its_beginning() -> None:
    begun = b'x' * BODY_BYTES
    assert build_fingerprint(body=begun) == build_fingerprint(body=begun + b'y')
