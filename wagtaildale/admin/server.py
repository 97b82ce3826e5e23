"""HTTP server of the administration API, based on werkzeug, with JSON."""

from __future__ import annotations

import logging
import threading
from typing import TYPE_CHECKING, Final

from msgspec import Struct, json
from werkzeug.exceptions import Forbidden, HTTPException, Unauthorized
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from wagtaildale.admin.bounded_server import AdminRequestHandler, BoundedServer
from wagtaildale.admin.endpoints import ENDPOINTS, RequestContext, show_ready
from wagtaildale.admin.fleet import FleetReporter
from wagtaildale.admin.model import ReadyReport
from wagtaildale.admin.openapi import write_api
from wagtaildale.admin.scopes import Scope, TokenAuthenticator
from wagtaildale.errors.codes import Code
from wagtaildale.errors.faults import Fault
from wagtaildale.telemetry.gauges import make_metrics
from wagtaildale.types import NodeState

if TYPE_CHECKING:
    import socket
    from collections.abc import Iterable
    from wsgiref.types import StartResponse, WSGIEnvironment

    from wagtaildale.node import Node

JSON: Final = 'application/json'
METRICS_TYPE: Final = 'text/plain; version=0.0.4; charset=utf-8'
METRICS: Final = 'metrics'
OPENAPI: Final = 'openapi'
OK: Final = 200
UNREADY_STATUS: Final = 503
ERROR_STATUS: Final = 500

ROUTES: Final = Map(
    [
        *(
            Rule(endpoint.path, endpoint=endpoint, methods=[endpoint.method])
            for endpoint in ENDPOINTS
        ),
        Rule('/metrics', endpoint=METRICS, methods=['GET']),
        Rule('/v1/openapi.json', endpoint=OPENAPI, methods=['GET']),
    ],
)


class AdminServer:
    """Serves the API from one task, with a thread for each request."""

    def __init__(
        self,
        node: Node,
        *,
        authenticator: TokenAuthenticator,
        listener: socket.socket,
    ) -> None:
        """Create a server; ``run`` serves requests.

        Args:
            node: node that is administered.
            authenticator: finds the scope of each request.
            listener: listening socket.
        """
        logging.getLogger('werkzeug').setLevel(logging.ERROR)
        self._node = node
        self._fleet = FleetReporter(node)
        self._authenticator = authenticator
        host, port = listener.getsockname()
        self._server = BoundedServer(
            host,
            port,
            self,
            AdminRequestHandler,
            fd=listener.fileno(),
        )
        # Last: metrics can be registered only once, and making the server may
        # fail and be tried again.
        self._metrics = make_metrics(node)

    def __call__(
        self,
        environ: WSGIEnvironment,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer one request (WSGI).

        Args:
            environ: WSGI environment of the request.
            start_response: function that receives status and headers.

        Returns:
            Body of the response.
        """
        request = Request(environ)
        try:
            response = self._respond(request)
        except HTTPException as error:
            response = _make_error_response(error)
        return response(environ, start_response)

    def run(self) -> None:
        """Serve requests until ``stop`` is called."""
        self._server.serve_forever()

    def stop(self) -> None:
        """Make ``run`` return at its next poll, without waiting for it.

        The server polls for a shutdown twice a second. Waiting for this would
        use up most of the time that remains when a planned stop has reached
        its limit, and the process would be killed while it ends. The process
        can end without the server, which holds nothing that must be closed.
        """
        threading.Thread(target=self._server.shutdown, daemon=True).start()

    def _respond(self, request: Request) -> Response:
        adapter = ROUTES.bind_to_environ(request.environ)
        endpoint = adapter.match()[0]
        scope = self._find_scope(request)
        needs_token = (
            endpoint == METRICS
            or getattr(endpoint, 'build_document', 0) != show_ready
        )
        if scope is None and needs_token:
            raise Unauthorized
        if endpoint == METRICS:
            body = self._metrics.write_page()
            return Response(body, content_type=METRICS_TYPE)
        if endpoint == OPENAPI:
            return Response(write_api(), mimetype=JSON)
        context = RequestContext(
            node=self._node,
            fleet=self._fleet,
            request=request,
            scope=scope or Scope(),
        )
        return self._make_response(endpoint.build_document(context))

    def _find_scope(self, request: Request) -> Scope | None:
        header = request.headers.get('Authorization', '')
        return self._authenticator.find_scope(header)

    def _make_response(self, document: Struct) -> Response:
        states = self._node.parts.states
        is_unready = states[-1] is not NodeState.ready
        is_ready_report = isinstance(document, ReadyReport)
        return Response(
            json.encode(document),
            status=UNREADY_STATUS if is_unready and is_ready_report else OK,
            mimetype=JSON,
        )


def _make_error_response(error: HTTPException) -> Response:
    is_denied = isinstance(error, Unauthorized | Forbidden)
    fault = Fault(
        code=Code.admin_unauthorised if is_denied else Code.admin_not_found,
        where='admin API',
        got=error.name,
        expected='a path of docs/openapi.json and a token that allows it',
    )
    return Response(
        json.encode(fault),
        status=error.code or ERROR_STATUS,
        mimetype=JSON,
    )
