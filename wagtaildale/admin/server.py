"""The administration API: HTTP and JSON by werkzeug, on its own address."""

from __future__ import annotations

import hmac
import logging
from typing import TYPE_CHECKING, Final

from msgspec import Struct, json
from result import Err, Ok, Result
from werkzeug.exceptions import HTTPException, Unauthorized
from werkzeug.routing import Map, Rule
from werkzeug.serving import BaseWSGIServer, make_server
from werkzeug.wrappers import Request, Response

from wagtaildale.admin.model import Timeline
from wagtaildale.admin.reports import explain_request, report_node
from wagtaildale.errors.codes import Code
from wagtaildale.errors.faults import Fault
from wagtaildale.settings.load import read_token

if TYPE_CHECKING:
    from collections.abc import Iterable
    from wsgiref.types import StartResponse, WSGIEnvironment

    from wagtaildale.node import Node

JSON: Final = 'application/json'
BEARER: Final = 'Bearer '
READY_STATE: Final = 'ready'
OK: Final = 200
UNREADY_STATUS: Final = 503
ERROR_STATUS: Final = 500

ROUTES: Final = Map(
    [
        Rule('/v1/node', endpoint='node', methods=['GET']),
        Rule('/v1/timeline', endpoint='timeline', methods=['GET']),
        Rule('/v1/explain', endpoint='explain', methods=['GET']),
        Rule('/v1/ready', endpoint='ready', methods=['GET']),
    ],
)


class AdminServer:
    """Serves the API from one task and its request threads."""

    def __init__(self, node: Node) -> None:
        """Prepare; ``bind`` opens the port.

        Args:
            node: that is administered.
        """
        self._node = node
        self._token: str | None = None
        self._server: BaseWSGIServer | None = None

    def __call__(
        self,
        environ: WSGIEnvironment,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer one request (WSGI).

        Args:
            environ: the request.
            start_response: takes status and headers.

        Returns:
            The body.
        """
        request = Request(environ)
        try:
            response = self._answer(request)
        except HTTPException as error:
            response = _write_error(error)
        return response(environ, start_response)

    def bind(self) -> Result[None, Fault]:
        """Read the token and open the port.

        Returns:
            Nothing, or the fault.
        """
        settings = self._node.parts.settings
        token = read_token(settings.admin)
        if isinstance(token, Err):
            return token
        self._token = token.ok_value
        logging.getLogger('werkzeug').setLevel(logging.ERROR)
        try:
            self._server = make_server(
                settings.host,
                settings.admin_port,
                self,
                threaded=True,
            )
        except (OSError, SystemExit) as error:
            fault = Fault(
                code=Code.address_in_use,
                where=f'{settings.host}:{settings.admin_port}',
                got=str(error),
                expected='an address that is free',
            )
            return Err(fault)
        return Ok(None)

    def run(self) -> None:
        """Serve until stopped."""
        if self._server is not None:
            self._server.serve_forever()

    def stop(self) -> None:
        """Close the port."""
        if self._server is not None:
            self._server.shutdown()

    def _answer(self, request: Request) -> Response:
        adapter = ROUTES.bind_to_environ(request.environ)
        endpoint = adapter.match()[0]
        if endpoint == 'ready':
            return self._write_ready()
        self._check_token(request)
        if endpoint == 'node':
            return _write(report_node(self._node))
        if endpoint == 'timeline':
            return self._write_timeline(request)
        return _write(
            explain_request(
                self._node,
                method=request.args.get('method', 'GET'),
                path=request.args.get('path', '/'),
            ),
        )

    def _check_token(self, request: Request) -> None:
        if self._token is None:
            return
        given = request.headers.get('Authorization', '')
        if not hmac.compare_digest(given, BEARER + self._token):
            raise Unauthorized

    def _write_timeline(self, request: Request) -> Response:
        since = request.args.get('since', 0, type=int)
        events = self._node.parts.recorder.read_since(since)
        return _write(Timeline(events=tuple(events)))

    def _write_ready(self) -> Response:
        states = self._node.parts.states
        state = states[-1].value
        return Response(
            json.encode({'state': state}),
            status=OK if state == READY_STATE else UNREADY_STATUS,
            mimetype=JSON,
        )


def _write(body: Struct) -> Response:
    return Response(json.encode(body), mimetype=JSON)


def _write_error(error: HTTPException) -> Response:
    unauthorised = isinstance(error, Unauthorized)
    code = Code.admin_unauthorised if unauthorised else Code.admin_not_found
    fault = Fault(
        code=code,
        where='admin API',
        got=error.name,
        expected='a path of docs/operators/admin-api.md, with a token',
    )
    return Response(
        json.encode(fault),
        status=error.code or ERROR_STATUS,
        mimetype=JSON,
    )
