"""Computes fingerprints that identify a repeated request on any node."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING, Final, NewType

from msgspec import Struct

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wagtaildale.calls.wire.frames import HeaderPairs

Fingerprint = NewType('Fingerprint', bytes)
# Identifies a request without its caller: the first bytes of a fingerprint.
Subject = NewType('Subject', bytes)

SUBJECT_BYTES: Final = 8
CALLER_BYTES: Final = 4
FINGERPRINT_BYTES: Final = SUBJECT_BYTES + CALLER_BYTES
# Prefix of the body that is hashed: as much as is received before the first
# attempt of any request.
BODY_BYTES: Final = 65_536
LENGTH_BYTES: Final = 8
CREDENTIALS_FIELD: Final = b'authorization'


class FingerprintInput(Struct, frozen=True, kw_only=True):
    """Fields of a request that identify it regardless of its caller.

    Attributes:
        work_class: the request's service and class.
        method: HTTP method.
        target: path and query.
        body: the whole body, or its beginning.
    """

    work_class: str
    method: bytes
    target: bytes
    body: bytes


def compute_fingerprint(
    source: FingerprintInput,
    *,
    headers: HeaderPairs,
    caller_field: bytes | None,
) -> Fingerprint:
    """Compute the fingerprint of a request.

    The request id and the host are not part of it: a repeated request has a
    new id, and the host may name the node that receives it. The class is, but
    not its service, which a new configuration may change. Only the beginning
    of the body counts, since a streamed body is not complete when the request
    is first sent.

    Args:
        source: fields that identify the request.
        headers: header fields that are sent to a backend server.
        caller_field: lower-case name of the header field that names the
            calling service; None if there is none.

    Returns:
        The fingerprint, which is the same on every node.
    """
    caller_fields = {CREDENTIALS_FIELD: b'', caller_field: b''}
    caller_fields.update(
        (name, text) for name, text in headers if name in caller_fields
    )
    class_name = source.work_class.rpartition('/')[2].encode()
    body_prefix = source.body[:BODY_BYTES]
    subject = _hash(
        (class_name, source.method, source.target, body_prefix),
        size=SUBJECT_BYTES,
    )
    caller = _hash(
        (caller_fields[CREDENTIALS_FIELD], caller_fields[caller_field]),
        size=CALLER_BYTES,
    )
    return Fingerprint(subject + caller)


def find_subject(fingerprint: Fingerprint) -> Subject:
    """Extract the part of a fingerprint that does not depend on the caller.

    Args:
        fingerprint: fingerprint of a request.

    Returns:
        The part that is the same for all callers of the request.
    """
    return Subject(fingerprint[:SUBJECT_BYTES])


def _hash(texts: Iterable[bytes], *, size: int) -> bytes:
    digest = blake2b(digest_size=size)
    for text in texts:
        # The length prefix makes the hash of each list of texts unambiguous.
        digest.update(len(text).to_bytes(LENGTH_BYTES))
        digest.update(text)
    return digest.digest()
