"""HTTP client for a platform: one keep-alive connection, by libcurl."""

from __future__ import annotations

import select
from contextlib import ExitStack
from io import BytesIO
from types import MappingProxyType
from typing import Final

import pycurl
from msgspec import Struct, field
from result import Err, Ok, Result

from wagtaildale.errors.codes import Code
from wagtaildale.source.platform import ReadFailure
from wagtaildale.timers.service import read_clock

CONNECT_TIMEOUT_MS: Final = 1000
MILLISECONDS: Final = 1000
LARGEST_ANSWER_BYTES: Final = 4_000_000
# The largest answer over a line of 1 Mbit/s.
LONGEST_TRANSFER_SECONDS: Final = 32
NO_TIMER: Final = -1
POLL_EVENTS: Final = MappingProxyType(
    {
        pycurl.POLL_IN: select.POLLIN,
        pycurl.POLL_OUT: select.POLLOUT,
        pycurl.POLL_INOUT: select.POLLIN | select.POLLOUT,
    },
)


class Answer(Struct, frozen=True, kw_only=True):
    """One HTTP response of a platform.

    Attributes:
        status: HTTP status.
        headers: header lines as received, in lower case.
        body: complete body.
    """

    status: int
    headers: tuple[str, ...]
    body: bytes


class CurlClient:
    """Sends one GET after the other; used by one task only."""

    def __init__(self, *, connect_timeout_ms: int = CONNECT_TIMEOUT_MS) -> None:
        """Prepare a connection; nothing is sent yet.

        Args:
            connect_timeout_ms: longest time to connect, milliseconds.
        """
        self._curl = pycurl.Curl()
        self._curl.setopt(pycurl.NOSIGNAL, 1)
        self._curl.setopt(pycurl.CONNECTTIMEOUT_MS, connect_timeout_ms)
        self._curl.setopt(pycurl.MAXFILESIZE, LARGEST_ANSWER_BYTES)
        self._curl.setopt(pycurl.PROXY, '')
        self._transfers = _Transfers()

    def get(
        self, url: str, *, hold_seconds: float, idle_timeout_seconds: float
    ) -> Result[Answer, ReadFailure]:
        """Send a GET request and wait for its response.

        The time of a transfer depends on the line, so only the time without
        any byte is limited: a bound on the whole response would end each full
        read on a line that is too slow for it.

        Args:
            url: URL to get.
            hold_seconds: longest time that the server holds the response back,
                seconds.
            idle_timeout_seconds: longest time without a byte of the response
                beyond that, seconds.

        Returns:
            The response, whatever its status, or why there is none.
        """
        received = _Received()
        curl = self._curl
        longest = hold_seconds + LONGEST_TRANSFER_SECONDS
        curl.setopt(pycurl.URL, url)
        curl.setopt(pycurl.TIMEOUT_MS, round(longest * MILLISECONDS))
        curl.setopt(pycurl.WRITEFUNCTION, received.add_body)
        curl.setopt(pycurl.HEADERFUNCTION, received.add_header)
        failure = self._transfers.perform(
            curl,
            received,
            hold_seconds=hold_seconds,
            idle_timeout_seconds=idle_timeout_seconds,
        )
        # If the connection was dropped without a reset, every later read on it
        # would time out too, so the next read opens a new one.
        curl.setopt(pycurl.FRESH_CONNECT, int(failure is not None))
        if failure is not None:
            return Err(failure)
        return Ok(
            Answer(
                status=int(curl.getinfo(pycurl.RESPONSE_CODE)),
                headers=tuple(received.headers),
                body=received.body.getvalue(),
            ),
        )


class _Received(Struct, kw_only=True):
    """What has arrived of a response."""

    headers: list[str] = field(default_factory=list)
    body: BytesIO = field(default_factory=BytesIO)
    byte_count: int = 0

    def add_header(self, line: bytes) -> None:
        self.byte_count += len(line)
        self.headers.append(line.decode('latin-1').lower())

    def add_body(self, chunk: bytes) -> None:
        self.byte_count += len(chunk)
        self.body.write(chunk)


class _Transfers:
    """Runs one transfer at a time and keeps the connection between them.

    The sockets are polled here and not by ``select``, which cannot watch
    descriptors above 1,023.
    """

    def __init__(self) -> None:
        self._poller = select.poll()
        self._timer_at: float | None = None
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)

    def perform(
        self,
        curl: pycurl.Curl,
        received: _Received,
        *,
        hold_seconds: float,
        idle_timeout_seconds: float,
    ) -> ReadFailure | None:
        """Run a transfer to its end.

        Returns:
            Why it failed; None if the response is complete.
        """
        idle_at = read_clock() + hold_seconds + idle_timeout_seconds
        seen_bytes = received.byte_count
        with ExitStack() as stack:
            self._multi.add_handle(curl)
            stack.callback(self._multi.remove_handle, curl)
            while read_clock() < idle_at:
                self._step(idle_at)
                _queued, succeeded, failed = self._multi.info_read()
                if succeeded:
                    return None
                if failed:
                    return _describe_failure(*failed[0][1:])
                if received.byte_count > seen_bytes:
                    seen_bytes = received.byte_count
                    idle_at = read_clock() + idle_timeout_seconds
        return ReadFailure(
            code=Code.source_unreachable,
            detail=(
                f'no byte for {idle_timeout_seconds:.3f} s after'
                f' {seen_bytes} bytes'
            ),
            is_silent=True,
        )

    def _step(self, idle_at: float) -> None:
        """Wait for a socket or a timer of libcurl, and let it go on."""
        wake_at = idle_at
        if self._timer_at is not None:
            wake_at = min(idle_at, self._timer_at)
        wait_seconds = max(0, wake_at - read_clock())
        ready = self._poller.poll(wait_seconds * MILLISECONDS)
        for descriptor, events in ready:
            self._multi.socket_action(descriptor, _find_actions(events))
        if self._timer_at is not None and read_clock() >= self._timer_at:
            self._timer_at = None
            self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)

    def _watch_socket(
        self, what: int, descriptor: int, *_unused: object
    ) -> None:
        events = POLL_EVENTS.get(what)
        if events is not None:
            self._poller.register(descriptor, events)
            return
        try:
            self._poller.unregister(descriptor)
        except KeyError:
            # libcurl also removes sockets that it never watched.
            return

    def _set_timer(self, timeout_ms: int) -> None:
        if timeout_ms == NO_TIMER:
            self._timer_at = None
        else:
            self._timer_at = read_clock() + timeout_ms / MILLISECONDS


def _describe_failure(number: int, detail: str) -> ReadFailure:
    code = Code.source_unreachable
    if number == pycurl.E_FILESIZE_EXCEEDED:
        code = Code.answer_too_large
    return ReadFailure(code=code, detail=detail)


def _find_actions(events: int) -> int:
    actions = 0
    if events & select.POLLIN:
        actions |= pycurl.CSELECT_IN
    if events & select.POLLOUT:
        actions |= pycurl.CSELECT_OUT
    if events & (select.POLLERR | select.POLLHUP | select.POLLNVAL):
        actions |= pycurl.CSELECT_ERR
    return actions
