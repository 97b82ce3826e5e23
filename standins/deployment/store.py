"""Stand-in of the platform's store, which answers reads and watches."""

from __future__ import annotations

import asyncio
import time
from base64 import b64encode
from contextlib import suppress
from functools import partial
from typing import Any, Final
from urllib.parse import parse_qs, urlsplit

from msgspec import Struct, json

from standins.deployment.model import STORE_PORT

MILLISECONDS: Final = 1000
OK: Final = 200
MISSING: Final = 404
GONE: Final = 410
HISTORY_SECONDS: Final = 20.0
HEAD_END: Final = b'\r\n\r\n'
USUAL_DELAY_SECONDS: Final = 0.004
FIRST_REVISION: Final = 100
BACKLOG: Final = 512
SILENCE_SECONDS: Final = 0.05

Answer = tuple[int, dict[str, Any]]


class Change(Struct, frozen=True, kw_only=True):
    """A change of an item.

    Attributes:
        at: time of the change, seconds on the monotonic clock.
        event: the change as watches return it.
        is_hidden: whether watches leave it out.
    """

    at: float
    event: dict[str, Any]
    is_hidden: bool = False


class Store:
    """Items with one revision counter, and the changes of some seconds.

    Each node reaches the store at an address of its own, so that it can serve
    some of them only.

    Attributes:
        delay_seconds: time that each answer takes.
        refused_hosts: machines that get no answer.
        is_silent: whether no watch is answered.
        hidden_keys: keys whose next change watches leave out, although they
            name its revision.
    """

    def __init__(self) -> None:
        """Create an empty store that does not listen yet."""
        self.delay_seconds = USUAL_DELAY_SECONDS
        self.refused_hosts: set[str] = set()
        self.is_silent = False
        self.hidden_keys: set[str] = set()
        self._changed = asyncio.Condition()
        self._revision = FIRST_REVISION
        self._present: dict[str, dict[str, Any]] = {}
        self._changes: list[Change] = []
        self._dropped_revision = 0
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, host: str) -> None:
        """Start to listen for the node of a machine.

        Args:
            host: IP address of the machine.
        """
        server = await asyncio.start_server(
            partial(self._serve, host), host, STORE_PORT, backlog=BACKLOG
        )
        self._servers.append(server)

    async def write(self, key: str, entry: Any) -> None:
        """Write an item.

        Args:
            key: key of the item.
            entry: value, not yet encoded.
        """
        self._revision += 1
        known = self._present.get(key)
        written = {
            'key': key,
            'value': b64encode(json.encode(entry)).decode(),
            'revision': self._revision,
            'created': known['created'] if known else self._revision,
            'lease': 0,
        }
        self._present[key] = written
        await self._note_change(written)

    async def remove(self, key: str) -> None:
        """Remove an item, if it is there.

        Args:
            key: key of the item.
        """
        if self._present.pop(key, None) is None:
            return
        self._revision += 1
        await self._note_change(
            {'key': key, 'revision': self._revision, 'tombstone': True}
        )

    def drop_history(self) -> None:
        """Drop all changes; a watch from an earlier revision fails."""
        self._changes.clear()
        self._dropped_revision = self._revision

    def close(self) -> None:
        """Stop answering."""
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()

    async def _note_change(self, change: dict[str, Any]) -> None:
        now = time.monotonic()
        is_hidden = change['key'] in self.hidden_keys
        self.hidden_keys.discard(change['key'])
        self._changes.append(Change(at=now, event=change, is_hidden=is_hidden))
        while self._changes[0].at <= now - HISTORY_SECONDS:
            self._dropped_revision = self._changes.pop(0).event['revision']
        async with self._changed:
            self._changed.notify_all()

    async def _serve(
        self,
        host: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._answer_all(host, reader, writer)
        except (OSError, EOFError, asyncio.CancelledError):
            # Only ``close`` cancels, and nobody waits for this task.
            writer.close()
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _answer_all(
        self,
        host: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while host not in self.refused_hosts:
            head = await reader.readuntil(HEAD_END)
            status, answer = await self._answer(head.split(b' ')[1].decode())
            await asyncio.sleep(self.delay_seconds)
            if host in self.refused_hosts:
                return
            body = json.encode(answer)
            writer.write(
                b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\n'
                b'Content-Length: %d\r\n\r\n%b' % (status, len(body), body)
            )
            await writer.drain()

    async def _answer(self, target: str) -> Answer:
        url = urlsplit(target)
        query = {name: each[0] for name, each in parse_qs(url.query).items()}
        if url.path == '/kv-watch':
            return await self._watch(query)
        if url.path == '/kv-range':
            return self._read_range(query)
        found = self._present.get(query['key'])
        return (MISSING, {}) if found is None else (OK, found)

    def _read_range(self, query: dict[str, str]) -> Answer:
        after = query.get('after', '')
        found = [
            self._present[key] for key in sorted(self._present) if key > after
        ]
        answer = {
            'items': found,
            'hasMore': False,
            'storeRevision': self._revision,
        }
        return OK, answer

    async def _watch(self, query: dict[str, str]) -> Answer:
        after = int(query['after'])
        while self.is_silent:
            await asyncio.sleep(SILENCE_SECONDS)
        if after < self._dropped_revision:
            return GONE, {}
        seconds = int(query['waitMs']) / MILLISECONDS
        async with self._changed:
            with suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    await self._changed.wait_for(lambda: self._revision > after)
        # Also after the time-out: a change may have come in that moment.
        events = self._list_events(after)
        return OK, {'events': events, 'storeRevision': self._revision}

    def _list_events(self, after: int) -> list[dict[str, Any]]:
        return [
            each.event
            for each in self._changes
            if each.event['revision'] > after and not each.is_hidden
        ]
