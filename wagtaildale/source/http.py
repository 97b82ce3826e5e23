"""Reads a platform with an HTTP key-value API and long polls."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, TypeVar

from result import Err, Ok, Result

from wagtaildale.configuration.model import Manifest
from wagtaildale.decoding.json_documents import decode_json
from wagtaildale.errors.codes import Code
from wagtaildale.membership.records import InstanceList
from wagtaildale.source.curl import Answer, CurlClient
from wagtaildale.source.platform import (
    Platform,
    ReadFailure,
    Reading,
    make_read_failure,
)

if TYPE_CHECKING:
    from wagtaildale.settings.model import PlatformSettings

IDLE_TIMEOUT_SECONDS: Final = 3.0
MILLISECONDS: Final = 1000
INDEX_HEADER: Final = 'x-index:'
# Those of the largest 64-bit number.
INDEX_DIGITS: Final = 20
STATUS_OK: Final = 200
STATUS_NOT_FOUND: Final = 404
STATUS_NOT_MODIFIED: Final = 304
READABLE_STATUSES: Final = frozenset(
    (STATUS_OK, STATUS_NOT_MODIFIED, STATUS_NOT_FOUND)
)
REFUSING_STATUSES: Final = frozenset((429, 503))

Payload = TypeVar('Payload')


class HttpPlatform(Platform):
    """Reads over one keep-alive connection; used by one task only."""

    def __init__(self, settings: PlatformSettings) -> None:
        """Prepare a connection; nothing is sent yet.

        Args:
            settings: address and key prefix of the platform.
        """
        self._keys = f'{settings.url}/v1/kv/{settings.prefix}'
        self._instances = f'{settings.url}/v1/instances'
        self._client = CurlClient()

    def read_manifest(
        self,
        *,
        index: int,
        wait: float,
    ) -> Result[Reading[Manifest], ReadFailure]:
        """Read the manifest; see ``Platform``.

        Args:
            index: cursor of the watch.
            wait: longest time that the read is held open, seconds.

        Returns:
            The manifest, or why it was not read.
        """
        return self._read(f'{self._keys}/manifest', index, wait, Manifest)

    def read_part(self, name: str) -> Result[bytes | None, ReadFailure]:
        """Read one part; see ``Platform``.

        Args:
            name: content hash of the part, hexadecimal.

        Returns:
            The part's bytes, None if there is no such part, or why it was
            not read.
        """
        answer = self._get(f'{self._keys}/parts/{name}', 0)
        if isinstance(answer, Err):
            return answer
        if answer.ok_value.status == STATUS_NOT_FOUND:
            return Ok(None)
        return Ok(answer.ok_value.body)

    def read_instances(
        self,
        *,
        index: int,
        wait: float,
    ) -> Result[Reading[InstanceList], ReadFailure]:
        """Read the instance list; see ``Platform``.

        Args:
            index: cursor of the watch.
            wait: longest time that the read is held open, seconds.

        Returns:
            The list, or why it was not read.
        """
        return self._read(self._instances, index, wait, InstanceList)

    def _read(
        self,
        url: str,
        index: int,
        wait: float,
        payload_type: type[Payload],
    ) -> Result[Reading[Payload], ReadFailure]:
        wait_ms = round(wait * MILLISECONDS)
        query = f'{url}?index={index}&wait={wait_ms}ms'
        fetched = self._get(query, wait)
        if isinstance(fetched, Err):
            return fetched
        answer = fetched.ok_value
        if answer.status != STATUS_OK:
            return Ok(_make_empty_reading(answer))
        decoded = decode_json(answer.body, payload_type, code=Code.part_corrupt)
        if isinstance(decoded, Err):
            return Err(make_read_failure(decoded.err_value))
        return Ok(Reading(index=_find_index(answer), payload=decoded.ok_value))

    def _get(
        self, url: str, hold_seconds: float
    ) -> Result[Answer, ReadFailure]:
        fetched = self._client.get(
            url,
            hold_seconds=hold_seconds,
            idle_timeout_seconds=IDLE_TIMEOUT_SECONDS,
        )
        if (
            isinstance(fetched, Err)
            or fetched.ok_value.status in READABLE_STATUSES
        ):
            return fetched
        return Err(describe_status(fetched.ok_value.status))


def _make_empty_reading(answer: Answer) -> Reading[Any]:
    changed = answer.status != STATUS_NOT_MODIFIED
    return Reading(index=_find_index(answer), payload=None, changed=changed)


def _find_index(answer: Answer) -> int:
    for line in answer.headers:
        if line.startswith(INDEX_HEADER):
            digits = line.removeprefix(INDEX_HEADER).strip()
            is_index = digits.isdecimal() and len(digits) <= INDEX_DIGITS
            return int(digits) if is_index else 0
    return 0


def describe_status(status: int) -> ReadFailure:
    """Describe a response that holds no document.

    Args:
        status: HTTP status of the response.

    Returns:
        A failure with code ``source_refused`` for statuses 429 and 503, and
        ``source_unreachable`` for all others.
    """
    refusing = status in REFUSING_STATUSES
    code = Code.source_refused if refusing else Code.source_unreachable
    return ReadFailure(code=code, detail=f'status {status}')
