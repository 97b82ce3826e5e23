"""The platform by HTTP with long polls, in the manner of key-value APIs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, TypeVar

from msgspec import MsgspecError, json
from result import Err, Ok, Result

from wagtaildale.configuration.model import Manifest
from wagtaildale.errors.codes import Code
from wagtaildale.membership.records import InstanceList
from wagtaildale.source.curl import Answer, CurlReader
from wagtaildale.source.platform import Platform, ReadFailure, Reading

if TYPE_CHECKING:
    from wagtaildale.settings.model import PlatformSettings

ANSWER_SECONDS: Final = 3.0
MILLISECONDS: Final = 1000
INDEX_HEADER: Final = 'x-index:'
STATUS_OK: Final = 200
STATUS_MISSING: Final = 404
STATUS_SAME: Final = 304
ANSWERS: Final = frozenset((STATUS_OK, STATUS_SAME, STATUS_MISSING))
REFUSING: Final = frozenset((429, 503))

Payload = TypeVar('Payload')


class HttpPlatform(Platform):
    """Reads by one kept-alive connection; belongs to one task."""

    def __init__(self, settings: PlatformSettings) -> None:
        """Prepare a connection; nothing is sent yet.

        Args:
            settings: where the platform is.
        """
        self._keys = f'{settings.url}/v1/kv/{settings.prefix}'
        self._instances = f'{settings.url}/v1/instances'
        self._reader = CurlReader()

    def read_manifest(
        self,
        *,
        index: int,
        wait: float,
    ) -> Result[Reading[Manifest], ReadFailure]:
        """Read the manifest; see ``Platform``.

        Args:
            index: cursor.
            wait: seconds.

        Returns:
            The manifest, or why not.
        """
        return self._read(f'{self._keys}/manifest', index, wait, Manifest)

    def read_part(self, name: str) -> Result[bytes | None, ReadFailure]:
        """Read one part; see ``Platform``.

        Args:
            name: its content hash, hexadecimal.

        Returns:
            Its bytes, nothing if it is not there, or why not.
        """
        answer = self._ask(f'{self._keys}/parts/{name}', ANSWER_SECONDS)
        if isinstance(answer, Err):
            return answer
        if answer.ok_value.status == STATUS_MISSING:
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
            index: cursor.
            wait: seconds.

        Returns:
            The list, or why not.
        """
        return self._read(self._instances, index, wait, InstanceList)

    def _read(
        self,
        url: str,
        index: int,
        wait: float,
        shape: type[Payload],
    ) -> Result[Reading[Payload], ReadFailure]:
        wait_ms = round(wait * MILLISECONDS)
        query = f'{url}?index={index}&wait={wait_ms}ms'
        asked = self._ask(query, wait + ANSWER_SECONDS)
        if isinstance(asked, Err):
            return asked
        answer = asked.ok_value
        if answer.status != STATUS_OK:
            return Ok(_read_empty(answer))
        try:
            decoded = json.decode(answer.body, type=shape)
        except MsgspecError as error:
            return Err(ReadFailure(code=Code.part_corrupt, detail=str(error)))
        return Ok(Reading(index=_find_index(answer), payload=decoded))

    def _ask(self, url: str, seconds: float) -> Result[Answer, ReadFailure]:
        asked = self._reader.ask(url, seconds=seconds)
        if isinstance(asked, Err) or asked.ok_value.status in ANSWERS:
            return asked
        return Err(describe_status(asked.ok_value.status))


def _read_empty(answer: Answer) -> Reading[Any]:
    changed = answer.status != STATUS_SAME
    return Reading(index=_find_index(answer), payload=None, changed=changed)


def _find_index(answer: Answer) -> int:
    for line in answer.headers:
        if line.startswith(INDEX_HEADER):
            digits = line.removeprefix(INDEX_HEADER).strip()
            return int(digits) if digits.isdecimal() else 0
    return 0


def describe_status(status: int) -> ReadFailure:
    """Describe an answer of a platform that gives nothing.

    Args:
        status: HTTP status.

    Returns:
        Whether the platform refuses or fails.
    """
    refusing = status in REFUSING
    code = Code.source_refused if refusing else Code.source_unreachable
    return ReadFailure(code=code, detail=f'status {status}')
