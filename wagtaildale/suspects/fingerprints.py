"""By what a request is known again when it comes anew, at any machine."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING, Final, NewType

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wagtaildale.calls.frames import HeaderPairs

Fingerprint = NewType('Fingerprint', bytes)
# What is asked for, whoever asks; the first bytes of a fingerprint.
Subject = NewType('Subject', bytes)

SUBJECT_BYTES: Final = 8
CALLER_BYTES: Final = 4
# Of a body: as much as is here before the first attempt of any request.
BODY_BYTES: Final = 65_536
LENGTH_BYTES: Final = 8
HOST_FIELD: Final = b'host'
CREDENTIALS_FIELD: Final = b'authorization'


def take_fingerprint(
    method: bytes,
    *,
    target: bytes,
    headers: HeaderPairs,
    body: bytes,
    caller_field: bytes | None,
) -> Fingerprint:
    """Take the fingerprint of a request.

    A request's id is new each time it comes. Method, host, path, query and
    body stay, and by whom it is sent. Of a body that is passed on as it comes
    only the beginning is here when the request is first sent.

    Args:
        method: HTTP method.
        target: path and query.
        headers: as they go to a backend server.
        body: all of it, or its beginning.
        caller_field: the header field, in lower case, that names the service
            which the request came from, if there is one.

    Returns:
        The same bytes at every node.
    """
    named = {HOST_FIELD: b'', CREDENTIALS_FIELD: b'', caller_field: b''}
    named.update((name, text) for name, text in headers if name in named)
    begun = body[:BODY_BYTES]
    subject = _hash(
        (method, named[HOST_FIELD], target, begun),
        size=SUBJECT_BYTES,
    )
    caller = _hash(
        (named[CREDENTIALS_FIELD], named[caller_field]),
        size=CALLER_BYTES,
    )
    return Fingerprint(subject + caller)


def find_subject(fingerprint: Fingerprint) -> Subject:
    """Find what is asked for, whoever asks.

    Args:
        fingerprint: of a request.

    Returns:
        The part of the fingerprint that callers share.
    """
    return Subject(fingerprint[:SUBJECT_BYTES])


def _hash(texts: Iterable[bytes], *, size: int) -> bytes:
    digest = blake2b(digest_size=size)
    for text in texts:
        # With its length, so that no two lists of texts read alike.
        digest.update(len(text).to_bytes(LENGTH_BYTES))
        digest.update(text)
    return digest.digest()
