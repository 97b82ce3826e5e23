"""By what a request is known again when it comes anew, at any machine."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING, Final, NewType

from msgspec import Struct

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wagtaildale.calls.frames import HeaderPairs

Fingerprint = NewType('Fingerprint', bytes)
# What is asked for, whoever asks; the first bytes of a fingerprint.
Subject = NewType('Subject', bytes)

SUBJECT_BYTES: Final = 8
CALLER_BYTES: Final = 4
FINGERPRINT_BYTES: Final = SUBJECT_BYTES + CALLER_BYTES
# Of a body: as much as is here before the first attempt of any request.
BODY_BYTES: Final = 65_536
LENGTH_BYTES: Final = 8
CREDENTIALS_FIELD: Final = b'authorization'


class FingerprintInput(Struct, frozen=True, kw_only=True):
    """What a request asks for.

    Attributes:
        work_class: service and class, as calls name it.
        method: HTTP method.
        target: path and query.
        body: all of it, or its beginning.
    """

    work_class: str
    method: bytes
    target: bytes
    body: bytes


def compute_fingerprint(
    asked: FingerprintInput,
    *,
    headers: HeaderPairs,
    caller_field: bytes | None,
) -> Fingerprint:
    """Take the fingerprint of a request.

    A request's id is new each time it comes, and its host may be that of the
    node it comes to. Its class stays, the service may change with a
    configuration. Of a body that is passed on as it comes only the beginning
    is here when the request is first sent.

    Args:
        asked: what it asks for.
        headers: as they go to a backend server.
        caller_field: the header field, in lower case, that names the service
            which the request came from, if there is one.

    Returns:
        The same bytes at every node.
    """
    named = {CREDENTIALS_FIELD: b'', caller_field: b''}
    named.update((name, text) for name, text in headers if name in named)
    class_name = asked.work_class.rpartition('/')[2].encode()
    begun = asked.body[:BODY_BYTES]
    subject = _hash(
        (class_name, asked.method, asked.target, begun),
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
        fingerprint: fingerprint of a request.

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
