"""Reads JSON from nodes and stand-ins over HTTP."""

from __future__ import annotations

from contextlib import closing
from http.client import HTTPConnection, HTTPException
from typing import Final, TypeVar

from msgspec import MsgspecError, json

DocumentType = TypeVar('DocumentType')

TIMEOUT_SECONDS: Final = 3.0
OK: Final = 200


def read_json(
    address: tuple[str, int],
    path: str,
    document_type: type[DocumentType],
    *,
    body: bytes | None = None,
) -> DocumentType | None:
    """Read one JSON document.

    Args:
        address: IP address and port.
        path: path and query.
        document_type: type to decode into.
        body: body to send by POST; None for a GET request.

    Returns:
        The document, or None if the request or the decoding fails.
    """
    try:
        text = _fetch(address, path, body)
    except (OSError, HTTPException):
        return None
    try:
        return json.decode(text, type=document_type)
    except MsgspecError:
        return None


def _fetch(address: tuple[str, int], path: str, body: bytes | None) -> bytes:
    with closing(
        HTTPConnection(*address, timeout=TIMEOUT_SECONDS)
    ) as connection:
        connection.request('GET' if body is None else 'POST', path, body)
        response = connection.getresponse()
        return response.read() if response.status == OK else b''
