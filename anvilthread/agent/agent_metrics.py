"""Metrics of an agent."""

from typing import Final

from anvilthread.admission import Load
from anvilthread.agent.client_connection import ClientConnection
from anvilthread.daemon.configuration_view import ConfigurationView
from anvilthread.outcomes import Outcome
from anvilthread.telemetry import Metrics

_MS_PER_SECOND: Final = 1000


class AgentMetrics:
    """Counts connections and requests by service.

    Args:
        metrics: Registry of the process.
        view: Names of the services.
    """

    __slots__ = (
        '_busy',
        '_closed',
        '_latency',
        '_open',
        '_opened',
        '_requests',
        '_view',
        '_waiting',
    )

    def __init__(self, *, metrics: Metrics, view: ConfigurationView) -> None:
        self._view = view
        self._opened = metrics.counter(
            'anvilthread_connections_opened_total',
            'Connections whose first packet was accepted.',
            labels=('service',),
        )
        self._closed = metrics.counter(
            'anvilthread_connections_closed_total',
            'Connections that have ended, by reason.',
            labels=('service', 'reason'),
        )
        self._requests = metrics.counter(
            'anvilthread_requests_total',
            'Requests by the outcome that the client was told.',
            labels=('service', 'outcome'),
        )
        self._latency = metrics.histogram(
            'anvilthread_request_latency_seconds',
            'Time from the request to the end of its answer.',
            labels=('service',),
        )
        self._open = metrics.gauge(
            'anvilthread_connections', 'Open connections.'
        )
        self._busy = metrics.gauge(
            'anvilthread_slots_busy', 'Slots of the target in use.'
        )
        self._waiting = metrics.gauge(
            'anvilthread_requests_waiting', 'Requests that wait for a slot.'
        )

    def connection_opened(self, connection: ClientConnection) -> None:
        """Counts a connection whose first packet was accepted."""
        self._opened.series(service=self._name(connection.service)).add(1)

    def connection_closed(self, connection: ClientConnection) -> None:
        """Counts a connection that has ended."""
        self._closed.series(
            service=self._name(connection.service),
            reason=connection.termination or 'failed',
        ).add(1)

    def request_ended(
        self, service: int, outcome: Outcome, latency_ms: int
    ) -> None:
        """Counts a request."""
        name = self._name(service)
        self._requests.series(service=name, outcome=str(outcome.kind)).add(1)
        self._latency.series(service=name).observe(latency_ms / _MS_PER_SECOND)

    def set_load(self, load: Load, connections: int) -> None:
        """Sets the gauges."""
        self._open.series().set(connections)
        self._busy.series().set(load.busy)
        self._waiting.series().set(load.waiting)

    def _name(self, service: int) -> str:
        return self._view.name_of(service)
