"""HTTP client for a platform: one keep-alive connection, by libcurl."""

from __future__ import annotations

from io import BytesIO
from typing import Final

import pycurl
from msgspec import Struct
from result import Err, Ok, Result

from wagtaildale.errors.codes import Code
from wagtaildale.source.platform import ReadFailure

CONNECT_TIMEOUT_MS: Final = 1000
MILLISECONDS: Final = 1000
LARGEST_ANSWER_BYTES: Final = 4_000_000
UNACKNOWLEDGED_MS: Final = 3000


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

    def get(
        self, url: str, *, timeout_seconds: float
    ) -> Result[Answer, ReadFailure]:
        """Send a GET request and wait for its response.

        Args:
            url: URL to get.
            timeout_seconds: longest time for the whole response, seconds.

        Returns:
            The response, whatever its status, or why there is none.
        """
        body = BytesIO()
        headers: list[str] = []
        curl = self._curl
        curl.setopt(pycurl.URL, url)
        curl.setopt(pycurl.TIMEOUT_MS, round(timeout_seconds * MILLISECONDS))
        curl.setopt(pycurl.WRITEDATA, body)
        curl.setopt(pycurl.HEADERFUNCTION, _HeaderCollector(headers))
        try:
            curl.perform()
        except pycurl.error as error:
            # If the connection was dropped without a reset, every later
            # read on it would time out too, so the next read opens a new one.
            curl.setopt(pycurl.FRESH_CONNECT, 1)
            detail = str(error.args[-1])
            return Err(
                ReadFailure(code=Code.source_unreachable, detail=detail),
            )
        curl.setopt(pycurl.FRESH_CONNECT, 0)
        return Ok(
            Answer(
                status=int(curl.getinfo(pycurl.RESPONSE_CODE)),
                headers=tuple(headers),
                body=body.getvalue(),
            ),
        )


class _HeaderCollector:
    """Callback that collects header lines from libcurl."""

    def __init__(self, headers: list[str]) -> None:
        self._headers = headers

    def __call__(self, line: bytes) -> None:
        self._headers.append(line.decode('latin-1').lower())
