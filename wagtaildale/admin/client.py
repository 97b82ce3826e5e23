"""Client of a node's administration API, based on pycurl."""

from __future__ import annotations

from io import BytesIO
from typing import Final, TypeVar
from urllib.parse import urlencode

import pycurl
from msgspec import Struct
from result import Err, Result

from wagtaildale.decoding.json_documents import decode_json
from wagtaildale.errors.codes import Code
from wagtaildale.errors.faults import Fault

Document = TypeVar('Document')

CONNECT_TIMEOUT_MS: Final = 1000
RESPONSE_TIMEOUT_MS: Final = 10_000
STATUS_OK: Final = 200
STATUS_UNAUTHORISED: Final = 401
STATUS_NOT_FOUND: Final = 404


class AdminClient(Struct, frozen=True, kw_only=True):
    """Client of the administration API of one node.

    Attributes:
        address: host and port of the API.
        token: token that is sent; None if the node requires none.
    """

    address: str
    token: str | None = None

    def read(
        self,
        path: str,
        *,
        document_type: type[Document],
        query: dict[str, str] | None = None,
    ) -> Result[Document, Fault]:
        """Read one document by GET.

        Args:
            path: path of the API.
            document_type: type that the response is decoded to.
            query: query parameters.

        Returns:
            The document, or the fault.
        """
        curl = self._prepare(f'{path}?{urlencode(query or {})}')
        return self._perform(curl, document_type)

    def send(
        self,
        path: str,
        *,
        document_type: type[Document],
        body: bytes = b'',
    ) -> Result[Document, Fault]:
        """Send a request by POST.

        Args:
            path: path of the API.
            document_type: type that the response is decoded to.
            body: body of the request.

        Returns:
            The decoded response, or the fault.
        """
        curl = self._prepare(path)
        # libcurl retries a request when a reused connection fails, so a POST
        # uses a new connection.
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.POSTFIELDS, body)
        return self._perform(curl, document_type)

    def _perform(
        self,
        curl: pycurl.Curl,
        document_type: type[Document],
    ) -> Result[Document, Fault]:
        body = BytesIO()
        curl.setopt(pycurl.WRITEDATA, body)
        try:
            curl.perform()
        except pycurl.error as error:
            return Err(self._describe(str(error.args[-1])))
        status = int(curl.getinfo(pycurl.RESPONSE_CODE))
        curl.close()
        if status != STATUS_OK:
            return Err(self._describe_status(status))
        return self._decode(body.getvalue(), document_type)

    def _prepare(self, target: str) -> pycurl.Curl:
        curl = pycurl.Curl()
        curl.setopt(pycurl.URL, f'http://{self.address}{target}')
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.PROXY, '')
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
        curl.setopt(pycurl.TIMEOUT_MS, RESPONSE_TIMEOUT_MS)
        if self.token is not None:
            authorization = f'Authorization: Bearer {self.token}'
            curl.setopt(pycurl.HTTPHEADER, [authorization])
        return curl

    def _decode(
        self, body: bytes, document_type: type[Document]
    ) -> Result[Document, Fault]:
        decoded = decode_json(body, document_type, code=Code.admin_unreachable)
        return decoded.map_err(lambda failure: self._describe(failure.detail))

    def _describe_status(self, status: int) -> Fault:
        if status == STATUS_NOT_FOUND:
            return Fault(
                code=Code.admin_not_found,
                where=self.address,
                got=f'status {status}',
                expected='a path or a fingerprint that this node knows',
            )
        if status != STATUS_UNAUTHORISED:
            return self._describe(f'status {status}')
        return Fault(
            code=Code.admin_unauthorised,
            where=self.address,
            got='no token or a wrong one',
            expected='the token of that node: --token-file FILE',
        )

    def _describe(self, got: str) -> Fault:
        return Fault(
            code=Code.admin_unreachable,
            where=self.address,
            got=got,
            expected='the admin address of a node: --node HOST:PORT',
        )
