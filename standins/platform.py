"""Stand-in of the platform: key-value reads with long polls, and a list.

``GET /v1/kv/PREFIX/manifest?index=N&wait=5000ms`` answers once the key's
index is past ``N`` or with 304 when the wait is over; each answer carries
``X-Index``. ``GET /v1/instances`` is watched alike. Nothing can be written
by HTTP: tests and the demo publish by method calls.
"""

from __future__ import annotations

import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import TYPE_CHECKING, Any, Final
from urllib.parse import parse_qs, urlsplit

from msgspec import Struct, field, json

from wagtaildale.configuration.compiled import hash_part
from wagtaildale.membership.records import InstanceList

if TYPE_CHECKING:
    from wagtaildale.configuration.compiled import Compiled
    from wagtaildale.membership.records import InstanceRecord

MANIFEST_PATH: Final = '/v1/kv/wagtaildale/manifest'
PARTS_PREFIX: Final = '/v1/kv/wagtaildale/parts/'
INSTANCES_PATH: Final = '/v1/instances'
LARGEST_VALUE_BYTES: Final = 1_000_000
MILLISECONDS: Final = 1000
OK: Final = 200
NOT_MODIFIED: Final = 304
NOT_FOUND: Final = 404
TOO_MANY_REQUESTS: Final = 429
UNAVAILABLE: Final = 503
SHUTDOWN_POLL_SECONDS: Final = 0.02


class StoredValue(Struct, frozen=True, kw_only=True):
    """A published value.

    Attributes:
        index: when it was published, on the stand-in's own count.
        body: the bytes.
    """

    index: int
    body: bytes


class PlatformFaults(Struct, kw_only=True):
    """What is wrong with the platform; tests set these.

    Attributes:
        down: every read is answered with 503.
        delay_seconds: seconds before each answer.
        frozen: reads give what was published before the freeze.
        half: answers are cut in the middle.
        reads_per_second: more than these are refused with 429; 0 for any.
        list_lag_seconds: seconds until a change of the instance list is seen.
        missing_parts: parts are answered with 404.
    """

    down: bool = False
    delay_seconds: float = 0
    frozen: bool = False
    half: bool = False
    reads_per_second: int = 0
    list_lag_seconds: float = 0
    missing_parts: bool = False


class PlatformCounts(Struct, kw_only=True):
    """What was asked of the platform.

    Attributes:
        reads: all calls, a waiting watch counting as one.
        refused: of these, refused over the rate.
        waiting_watches: watches that wait now.
        answered_bytes: bodies sent.
        by_second: reads by second of the monotonic clock.
    """

    reads: int = 0
    refused: int = 0
    waiting_watches: int = 0
    answered_bytes: int = 0
    by_second: dict[int, int] = field(default_factory=dict)


class PlatformStandIn:
    """The platform as the system meets it.

    Example:
        >>> platform = PlatformStandIn('127.0.0.1', 0)
        >>> platform.faults.down = True
        >>> platform.close()
    """

    def __init__(self, host: str, port: int) -> None:
        """Listen and serve from threads of this process.

        Args:
            host: IP number.
            port: 0 for any that is free.
        """
        self.faults = PlatformFaults()
        self.counts = PlatformCounts()
        self._stored_values: dict[str, StoredValue] = {}
        self._index = 1
        self._changed = threading.Condition()
        self._server = _Server((host, port), _RequestHandler)
        self._server.standin = self
        self._thread = threading.Thread(
            target=self._server.serve_forever,
            args=(SHUTDOWN_POLL_SECONDS,),
            daemon=True,
        )
        self._thread.start()

    @property
    def url(self) -> str:
        """The base address for the daemons' settings."""
        host, port = self._server.server_address[:2]
        return f'http://{host!s}:{port}'

    def publish(self, compiled: Compiled) -> None:
        """Publish a version as operators do: parts first.

        Args:
            compiled: manifest and parts.
        """
        for blob in compiled.parts.values():
            self.put(f'{PARTS_PREFIX}{hash_part(blob).hex()}', blob)
        self.put(MANIFEST_PATH, json.encode(compiled.manifest))

    def publish_instances(
        self,
        index: int,
        instances: tuple[InstanceRecord, ...],
    ) -> None:
        """Set the instance list, seen after the lag that is set.

        Args:
            index: the list's own, increasing.
            instances: live and leaving.
        """
        listing = InstanceList(index=index, instances=instances)
        body = json.encode(listing)
        if not self.faults.list_lag_seconds:
            self.put(INSTANCES_PATH, body)
            return
        timer = threading.Timer(
            self.faults.list_lag_seconds,
            self.put,
            (INSTANCES_PATH, body),
        )
        timer.daemon = True
        timer.start()

    def put(self, key: str, body: bytes) -> None:
        """Set a value.

        Args:
            key: the path it is read by.
            body: at most a megabyte.

        Raises:
            ValueError: for a larger one.
        """
        if len(body) > LARGEST_VALUE_BYTES:
            raise ValueError(
                f'got {len(body)} bytes, {LARGEST_VALUE_BYTES} at most'
            )
        with self._changed:
            self._index += 1
            self._stored_values[key] = StoredValue(index=self._index, body=body)
            self._changed.notify_all()

    def reset_index(self) -> None:
        """Begin to count anew, as after a restart of the platform."""
        with self._changed:
            self._index = 1
            self._stored_values = {
                key: StoredValue(index=1, body=stored.body)
                for key, stored in self._stored_values.items()
            }

    def wait_for_value(
        self, key: str, index: int, wait: float
    ) -> StoredValue | None:
        """Find a value, waiting until it is past an index.

        Args:
            key: the path.
            index: already known to the reader.
            wait: seconds at most.

        Returns:
            The value as it stands after the wait.
        """
        deadline = time.monotonic() + wait
        with self._changed:
            self.counts.waiting_watches += 1
            stored = self._stored_values.get(key)
            while index and stored and stored.index <= index:
                remaining = deadline - time.monotonic()
                if remaining <= 0 or not self._changed.wait(remaining):
                    break
                if not self.faults.frozen:
                    stored = self._stored_values.get(key)
            self.counts.waiting_watches -= 1
        return stored

    def count_read(self) -> bool:
        """Count a read.

        Returns:
            Whether it is within the rate.
        """
        second = int(time.monotonic())
        with self._changed:
            self.counts.reads += 1
            self.counts.by_second.setdefault(second, 0)
            self.counts.by_second[second] += 1
            rate = self.faults.reads_per_second
            if rate and self.counts.by_second[second] > rate:
                self.counts.refused += 1
                return False
        return True

    def close(self) -> None:
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()


class _Server(ThreadingHTTPServer):
    """Threads for the reads that wait."""

    daemon_threads = True
    request_queue_size = 512
    standin: PlatformStandIn

    def handle_error(self, *_request: Any) -> None:
        """Say nothing: readers are killed in the middle of reads."""


class _RequestHandler(BaseHTTPRequestHandler):
    """Answers one connection's reads."""

    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    wbufsize = -1

    def do_GET(self) -> None:
        """Answer a read."""
        standin = self._standin
        within_rate = standin.count_read()
        if standin.faults.delay_seconds:
            time.sleep(standin.faults.delay_seconds)
        if standin.faults.down:
            self._answer(UNAVAILABLE, 0, b'')
        elif within_rate:
            self._answer_read()
        else:
            self._answer(TOO_MANY_REQUESTS, 0, b'')

    def log_message(self, *_args: Any) -> None:
        """Log nothing."""

    @property
    def _standin(self) -> PlatformStandIn:
        assert isinstance(self.server, _Server)
        return self.server.standin

    def _answer_read(self) -> None:
        url = urlsplit(self.path)
        query = parse_qs(url.query)
        index = int(query.get('index', ['0'])[0])
        wait = int(query.get('wait', ['0ms'])[0].removesuffix('ms'))
        hidden = self._standin.faults.missing_parts
        stored = self._standin.wait_for_value(
            url.path, index, wait / MILLISECONDS
        )
        if stored is None:
            self._answer(NOT_FOUND, 1, b'')
        elif hidden and url.path.startswith(PARTS_PREFIX):
            self._answer(NOT_FOUND, 1, b'')
        elif index and stored.index == index:
            self._answer(NOT_MODIFIED, stored.index, b'')
        else:
            self._answer(OK, stored.index, stored.body)

    def _answer(self, status: int, index: int, body: bytes) -> None:
        self.send_response(status)
        self.send_header('X-Index', str(index))
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        half = self._standin.faults.half
        self._standin.counts.answered_bytes += len(body)
        self.wfile.write(body[: len(body) // 2] if half else body)
        self.wfile.flush()
        self.close_connection = half
