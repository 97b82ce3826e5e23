"""One kept-alive connection to a platform, by libcurl."""

from __future__ import annotations

from io import BytesIO
from typing import Final

import pycurl
from msgspec import Struct
from result import Err, Ok, Result

from wagtaildale.errors.codes import Code
from wagtaildale.source.platform import ReadFailure

CONNECT_MS: Final = 1000
MILLISECONDS: Final = 1000
LARGEST_ANSWER: Final = 4_000_000
UNACKNOWLEDGED_MS: Final = 3000


class Answer(Struct, frozen=True, kw_only=True):
    """One HTTP answer of a platform.

    Attributes:
        status: HTTP status.
        headers: lines as they came, in lower case.
        body: all of it.
    """

    status: int
    headers: tuple[str, ...]
    body: bytes


class CurlReader:
    """Asks for one address after the other; belongs to one task."""

    def __init__(self, *, connect_ms: int = CONNECT_MS) -> None:
        """Prepare a connection; nothing is sent yet.

        Args:
            connect_ms: how long connecting may take, milliseconds.
        """
        self._curl = pycurl.Curl()
        self._curl.setopt(pycurl.NOSIGNAL, 1)
        self._curl.setopt(pycurl.CONNECTTIMEOUT_MS, connect_ms)
        self._curl.setopt(pycurl.MAXFILESIZE, LARGEST_ANSWER)
        self._curl.setopt(pycurl.PROXY, '')

    def ask(self, url: str, *, seconds: float) -> Result[Answer, ReadFailure]:
        """Ask for an address.

        Args:
            url: what to get.
            seconds: that the answer may take.

        Returns:
            The answer whatever its status, or why there is none.
        """
        body = BytesIO()
        headers: list[str] = []
        curl = self._curl
        curl.setopt(pycurl.URL, url)
        curl.setopt(pycurl.TIMEOUT_MS, round(seconds * MILLISECONDS))
        curl.setopt(pycurl.WRITEDATA, body)
        curl.setopt(pycurl.HEADERFUNCTION, _HeaderCollector(headers))
        try:
            curl.perform()
        except pycurl.error as error:
            # Failure: a connection went silent without a reset, and every
            # further read on it would wait in vain too.
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
    """Collects header lines as libcurl hands them over."""

    def __init__(self, headers: list[str]) -> None:
        self._headers = headers

    def __call__(self, line: bytes) -> None:
        self._headers.append(line.decode('latin-1').lower())
