"""HTTP endpoint for metrics and health."""

from collections.abc import Callable, Iterable
from typing import Any, Final

import gevent
import msgspec
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from anvilthread.address import Address
from anvilthread.telemetry.health import Health
from anvilthread.telemetry.http_response import HttpResponse
from anvilthread.telemetry.metrics import CONTENT_TYPE, Metrics

#: Further connections wait in the backlog.
_MAX_CONCURRENT_REQUESTS: Final = 8
_REQUEST_TIMEOUT_S: Final = 5.0
_JSON: Final = 'application/json'
_METHODS: Final = frozenset(('GET', 'HEAD'))

_StartResponse = Callable[[str, list[tuple[str, str]]], object]


class _TimeoutHandler(WSGIHandler):  # type: ignore[misc]
    """Closes a connection whose request is not served in time.

    The limit includes the time that the request takes to arrive.
    """

    def handle_one_request(self) -> Any:
        """Serves one request within the time limit."""
        with gevent.Timeout(_REQUEST_TIMEOUT_S, False):
            return super().handle_one_request()
        return None


class TelemetryServer:
    """Serves ``/metrics``, ``/health`` and ``/ready``.

    Args:
        address: Address to listen on; port 0 picks a free port.
        metrics: Metrics that ``/metrics`` renders.
        health: Conditions that ``/ready`` reports.
    """

    __slots__ = ('_health', '_metrics', '_routes', '_server')

    def __init__(
        self, *, address: Address, metrics: Metrics, health: Health
    ) -> None:
        self._metrics = metrics
        self._health = health
        self._routes = {
            '/metrics': self._serve_metrics,
            '/health': self._serve_health,
            '/ready': self._serve_ready,
        }
        self._server = WSGIServer(
            address.endpoint,
            self._serve,
            spawn=Pool(_MAX_CONCURRENT_REQUESTS),
            handler_class=_TimeoutHandler,
            log=None,
            error_log=None,
        )

    @property
    def address(self) -> Address:
        """Address that the server listens on."""
        host, port = self._server.address
        return Address(host=host, port=port)

    def start(self) -> None:
        """Binds the address and serves in the background.

        Raises:
            OSError: If the address cannot be bound.
        """
        self._server.start()

    def stop(self) -> None:
        """Closes the listener and the connections."""
        self._server.stop(timeout=0)

    def _serve(
        self, environ: dict[str, Any], start_response: _StartResponse
    ) -> Iterable[bytes]:
        response = self._respond(
            environ['REQUEST_METHOD'], environ['PATH_INFO']
        )
        start_response(
            response.status,
            [
                ('Content-Type', response.content_type),
                ('Content-Length', str(len(response.body))),
                ('Connection', 'close'),
            ],
        )
        return [b'' if environ['REQUEST_METHOD'] == 'HEAD' else response.body]

    def _respond(self, method: str, path: str) -> HttpResponse:
        route = self._routes.get(path)
        if route is None:
            return _json('404 Not Found', {'paths': list(self._routes)})
        if method not in _METHODS:
            return _json('405 Method Not Allowed', {'methods': ['GET']})
        return route()

    def _serve_metrics(self) -> HttpResponse:
        return HttpResponse(
            status='200 OK',
            content_type=CONTENT_TYPE,
            body=self._metrics.render(),
        )

    def _serve_health(self) -> HttpResponse:
        # Any response shows that the event loop runs; a restart could only
        # repair a stuck event loop. /ready reports external conditions.
        return _json('200 OK', {'alive': True})

    def _serve_ready(self) -> HttpResponse:
        ready = self._health.is_ready
        status = '200 OK' if ready else '503 Service Unavailable'
        return _json(
            status, {'ready': ready, 'conditions': self._health.conditions}
        )


def _json(status: str, content: object) -> HttpResponse:
    return HttpResponse(
        status=status, content_type=_JSON, body=msgspec.json.encode(content)
    )
