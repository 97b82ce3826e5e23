"""Rejects requests whose heads two readers could understand differently."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from wagtaildale.calls.failures import CallFailed
from wagtaildale.errors.codes import Code

if TYPE_CHECKING:
    from wagtaildale.calls.http.parsing import Message

HOST: Final = b'host'
TRANSFER_ENCODING: Final = b'transfer-encoding'
CHUNKED: Final = b'chunked'
CONNECT: Final = b'CONNECT'
SCHEME_END: Final = b'://'
DEFAULT_PORTS: Final = MappingProxyType({b'http': b':80', b'https': b':443'})


def check_request(message: Message) -> None:
    """Check the head of a request.

    Args:
        message: the request.

    Raises:
        CallFailed: if it asks for a tunnel, names two hosts, or frames its
            body in another way than by a length or in chunks.
    """
    if message.method == CONNECT:
        raise _make_failure('CONNECT is not supported')
    hosts = message.find_all(HOST)
    if len(hosts) > 1:
        raise _make_failure(f'got {len(hosts)} Host fields, expected one')
    if not message.target.startswith(b'/'):
        _check_authority(message, hosts)
    encodings = message.find_all(TRANSFER_ENCODING)
    if encodings and [each.lower() for each in encodings] != [CHUNKED]:
        raise _make_failure('Transfer-Encoding is not chunked')


def _check_authority(message: Message, hosts: list[bytes]) -> None:
    scheme, separator, rest = message.target.partition(SCHEME_END)
    authority = rest.partition(b'/')[0].partition(b'?')[0]
    if not separator or not scheme.isalpha():
        return
    port = DEFAULT_PORTS.get(scheme.lower(), b'')
    named = [_normalise_host(each, default_port=port) for each in hosts]
    if named != [_normalise_host(authority, default_port=port)]:
        raise _make_failure('target and Host name different hosts')


def _normalise_host(host: bytes, *, default_port: bytes) -> bytes:
    return host.lower().removesuffix(default_port)


def _make_failure(detail: str) -> CallFailed:
    return CallFailed(Code.request_malformed, detail=detail)
