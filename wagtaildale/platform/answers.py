"""Decodes the responses of the platform's store."""

from __future__ import annotations

from typing import Final, TypeVar

from msgspec import Struct, field
from result import Err, Ok, Result

from wagtaildale.decoding.json_documents import decode_json
from wagtaildale.document.eras import FIRST_ERA, Era
from wagtaildale.errors.codes import Code
from wagtaildale.source.curl import Answer
from wagtaildale.source.http import describe_status
from wagtaildale.source.platform import ReadFailure, make_read_failure

STATUS_OK: Final = 200
STATUS_GONE: Final = 410
# Sent in every response; rises when the store is restored from an older copy.
ERA_HEADER: Final = 'store-era:'
ERA_DIGITS: Final = 6

AnswerType = TypeVar('AnswerType')


class StoredEntry(Struct, frozen=True, kw_only=True):
    """An item of the store, or a change of an item.

    Attributes:
        key: key of the item.
        revision: revision of the last change.
        created: revision at which the item was created.
        encoded: value of the item in base64; missing if it was removed.
        tombstone: whether the item was removed.
    """

    key: str
    revision: int
    created: int = 0
    encoded: str = field(name='value', default='')
    tombstone: bool = False


class Page(Struct, frozen=True, kw_only=True, rename='camel'):
    """One page of the response to a range read.

    Attributes:
        entries: items on this page; the platform's term is items.
        has_more: whether further pages follow.
        store_revision: revision of the store when the page was read.
    """

    entries: tuple[StoredEntry, ...] = field(name='items')
    has_more: bool
    store_revision: int

    @property
    def last_key(self) -> str:
        """Key after which the next page begins; empty on an empty page."""
        return self.entries[-1].key if self.entries else ''


class Changes(Struct, frozen=True, kw_only=True, rename='camel'):
    """Response to a watch.

    Attributes:
        events: changes, oldest first.
        store_revision: revision from which the next watch continues.
    """

    events: tuple[StoredEntry, ...]
    store_revision: int


def decode_answer(
    answer: Answer,
    answer_type: type[AnswerType],
) -> Result[tuple[AnswerType, Era], ReadFailure]:
    """Decode a response of the store.

    Args:
        answer: HTTP response.
        answer_type: type that its body is decoded to.

    Returns:
        The decoded body and the era of the store, or why there is none.
    """
    if answer.status == STATUS_GONE:
        detail = 'the store has dropped the changes after this revision'
        return Err(ReadFailure(code=Code.history_gone, detail=detail))
    if answer.status != STATUS_OK:
        return Err(describe_status(answer.status))
    decoded = decode_json(answer.body, answer_type, code=Code.part_corrupt)
    if isinstance(decoded, Err):
        return Err(make_read_failure(decoded.err_value))
    return _find_era(answer).map(lambda era: (decoded.ok_value, era))


def _find_era(answer: Answer) -> Result[Era, ReadFailure]:
    era_lines = [line for line in answer.headers if line.startswith(ERA_HEADER)]
    if not era_lines:
        return Ok(FIRST_ERA)
    digits = era_lines[-1].removeprefix(ERA_HEADER).strip()
    if digits.isdecimal() and len(digits) <= ERA_DIGITS:
        return Ok(Era(int(digits)))
    detail = f'got era {digits!r}, expected a short decimal number'
    return Err(ReadFailure(code=Code.part_corrupt, detail=detail))
