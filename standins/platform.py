"""Stand-in of the platform: key-value store and instance list.

``GET /v1/kv/PREFIX/manifest?index=N&wait=5000ms`` is a long poll: it
responds once the index of the key is past ``N``, or with 304 when the wait
is over. Each response has the header ``X-Index``. ``GET /v1/instances``
supports the same long poll. Nothing can be written over HTTP: tests and the
demo publish by method calls.
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
        index: index of the store when the value was published.
        body: content.
    """

    index: int
    body: bytes


class PlatformFaults(Struct, kw_only=True):
    """Simulated faults of the platform; set by tests.

    Attributes:
        down: whether every read gets 503.
        delay_seconds: delay of each response.
        frozen: whether waiting reads miss values published meanwhile.
        half: whether responses are truncated in the middle.
        reads_per_second: rate limit; reads above it get 429; 0 for no limit.
        list_lag_seconds: delay until a change of the instance list is
            visible.
        missing_parts: whether reads of parts get 404.
    """

    down: bool = False
    delay_seconds: float = 0
    frozen: bool = False
    half: bool = False
    reads_per_second: int = 0
    list_lag_seconds: float = 0
    missing_parts: bool = False


class PlatformCounts(Struct, kw_only=True):
    """Counts of the reads of the platform.

    Attributes:
        reads: all reads; a long poll counts once.
        refused: reads refused because of the rate limit.
        waiting_watches: reads that are waiting now.
        answered_bytes: total size of the response bodies.
        by_second: number of reads by second of the monotonic clock.
    """

    reads: int = 0
    refused: int = 0
    waiting_watches: int = 0
    answered_bytes: int = 0
    by_second: dict[int, int] = field(default_factory=dict)


class PlatformStandIn:
    """HTTP server that serves published values to nodes.

    Example:
        >>> platform = PlatformStandIn('127.0.0.1', 0)
        >>> platform.faults.down = True
        >>> platform.close()
    """

    def __init__(self, host: str, port: int) -> None:
        """Listen and serve on threads of this process.

        Args:
            host: IP address.
            port: port to listen on; 0 for any free port.
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
        """Base URL for the settings of nodes."""
        host, port = self._server.server_address[:2]
        return f'http://{host!s}:{port}'

    def publish(self, compiled: Compiled) -> None:
        """Publish a configuration version, its parts before the manifest.

        Args:
            compiled: manifest and parts of the version.
        """
        for blob in compiled.parts.values():
            self.put(f'{PARTS_PREFIX}{hash_part(blob).hex()}', blob)
        self.put(MANIFEST_PATH, json.encode(compiled.manifest))

    def publish_instances(
        self,
        index: int,
        instances: tuple[InstanceRecord, ...],
    ) -> None:
        """Publish the instance list, after ``list_lag_seconds`` if set.

        Args:
            index: increasing index of the list.
            instances: live and leaving instances.
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
        """Store a value and wake waiting reads.

        Args:
            key: path of the value.
            body: content, at most ``LARGEST_VALUE_BYTES`` long.

        Raises:
            ValueError: if the content is too long.
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
        """Reset all indexes to 1, as a restart of the platform does."""
        with self._changed:
            self._index = 1
            self._stored_values = {
                key: StoredValue(index=1, body=stored.body)
                for key, stored in self._stored_values.items()
            }

    def wait_for_value(
        self, key: str, index: int, timeout: float
    ) -> StoredValue | None:
        """Return a value once its index is past a known one.

        Args:
            key: path of the value.
            index: index known to the reader; 0 to return at once.
            timeout: longest wait, seconds.

        Returns:
            The value after the wait, or None if the key is missing.
        """
        deadline = time.monotonic() + timeout
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
            Whether it is within the rate limit.
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
    """HTTP server with one thread per connection, for long polls."""

    daemon_threads = True
    request_queue_size = 512
    standin: PlatformStandIn

    def handle_error(self, *_request: Any) -> None:
        """Ignore errors: tests kill nodes in the middle of reads."""


class _RequestHandler(BaseHTTPRequestHandler):
    """Serves the reads of one connection."""

    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    wbufsize = -1

    def do_GET(self) -> None:
        """Respond to a read, with the simulated faults applied."""
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
        wait_ms = int(query.get('wait', ['0ms'])[0].removesuffix('ms'))
        hidden = self._standin.faults.missing_parts
        stored = self._standin.wait_for_value(
            url.path, index, wait_ms / MILLISECONDS
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
