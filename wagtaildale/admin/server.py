"""The administration API: HTTP and JSON by werkzeug, on its own address."""

from __future__ import annotations

import logging
import threading
from typing import TYPE_CHECKING, Final

from msgspec import Struct, json
from werkzeug.exceptions import Forbidden, HTTPException, Unauthorized
from werkzeug.routing import Map, Rule
from werkzeug.serving import make_server
from werkzeug.wrappers import Request, Response

from wagtaildale.admin.fleet import FleetReporter
from wagtaildale.admin.model import ReadyReport
from wagtaildale.admin.openapi import write_api
from wagtaildale.admin.endpoints import ENDPOINTS, RequestContext, show_ready
from wagtaildale.admin.scopes import TokenAuthenticator, Scope
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
    """Serves the API from one task and its request threads."""

    def __init__(
        self,
        node: Node,
        *,
        authenticator: TokenAuthenticator,
        listener: socket.socket,
    ) -> None:
        """Prepare.

        Args:
            node: that is administered.
            authenticator: knows who may see what.
            listener: the open port.
        """
        logging.getLogger('werkzeug').setLevel(logging.ERROR)
        self._node = node
        self._metrics = make_metrics(node)
        self._fleet = FleetReporter(node)
        self._authenticator = authenticator
        host, port = listener.getsockname()
        self._server = make_server(
            host,
            port,
            self,
            threaded=True,
            fd=listener.fileno(),
        )

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
            response = self._respond(request)
        except HTTPException as error:
            response = _make_error_response(error)
        return response(environ, start_response)

    def run(self) -> None:
        """Serve until stopped."""
        self._server.serve_forever()

    def stop(self) -> None:
        """End ``run`` at its server's next look; waits for nobody.

        Failure guarded here: a process is killed while it ends. The server
        looks twice a second whether to go on, and whoever waits for the look
        spends most of the time that is left once a planned stop has passed
        its bound. The process ends without it: nothing here needs closing.
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
        expected='a page of docs/openapi.json, with a token that opens it',
    )
    return Response(
        json.encode(fault),
        status=error.code or ERROR_STATUS,
        mimetype=JSON,
    )
