"""Store feeds over a fake HTTP client with prepared answers."""

from __future__ import annotations

from typing import Any

from msgspec import Struct, json
from result import Err, Ok, Result

from wagtaildale.membership.records import InstanceRecord
from wagtaildale.platform.store import PlatformStore
from wagtaildale.platform.tests.builders import build_settings
from wagtaildale.source.curl import Answer
from wagtaildale.source.feed import FeedReading
from wagtaildale.source.platform import ReadFailure
from wagtaildale.source.store_feed import StoreFeed
from wagtaildale.types import DocumentKind


class EraAnswer(Struct, frozen=True):
    """A prepared answer with the era that the store sends with it."""

    era: int | str
    answer: Any


class FakeClient:
    """HTTP client that returns prepared answers in order.

    Attributes:
        urls: requested URLs, the latest last.
    """

    def __init__(self, *answers: Any) -> None:
        self.urls: list[str] = []
        self._answers = list(answers)

    def get(
        self,
        url: str,
        *,
        hold_seconds: float,
        idle_timeout_seconds: float,
    ) -> Result[Answer, ReadFailure]:
        self.urls.append(url)
        answer = self._answers.pop(0)
        if isinstance(answer, ReadFailure):
            return Err(answer)
        headers: tuple[str, ...] = ()
        if isinstance(answer, EraAnswer):
            headers = (f'store-era: {answer.era}\r\n',)
            answer = answer.answer
        if isinstance(answer, int):
            return Ok(Answer(status=answer, headers=headers, body=b''))
        body = json.encode(answer)
        return Ok(Answer(status=200, headers=headers, body=body))


def build_feed(*answers: Any) -> tuple[StoreFeed, FakeClient]:
    client = FakeClient(*answers)
    store = PlatformStore(
        build_settings(),
        regions={'derby': 'midlands'},
        client=client,
    )
    return StoreFeed(store), client


def build_page(*entries: dict[str, Any], revision: int = 9) -> dict[str, Any]:
    return {'items': entries, 'hasMore': False, 'storeRevision': revision}


def build_changes(*events: dict[str, Any], revision: int) -> dict[str, Any]:
    return {'events': events, 'storeRevision': revision}


def read_feed(feed: StoreFeed) -> FeedReading:
    return feed.read(wait=1.0).unwrap()


def find_blobs(reading: FeedReading, kind: DocumentKind) -> tuple[bytes, ...]:
    found = [each for each in reading.changed if each.outline.kind is kind]
    return found[0].blobs if found else ()


def list_instances(reading: FeedReading) -> dict[str, InstanceRecord]:
    records = (
        json.decode(blob, type=InstanceRecord)
        for blob in find_blobs(reading, DocumentKind.instances)
    )
    return {record.instance: record for record in records}
