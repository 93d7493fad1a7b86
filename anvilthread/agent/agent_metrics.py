"""Metrics of an agent."""

from typing import Final

from anvilthread.admission import Load
from anvilthread.agent.client_connection import ClientConnection
from anvilthread.daemon.configuration_view import ConfigurationView
from anvilthread.outcomes import Outcome, OutcomeKind
from anvilthread.reports.connection_events import CloseReason
from anvilthread.reports.request_events import RecordedOutcome
from anvilthread.telemetry.metrics import Metrics

_MS_PER_SECOND: Final = 1000

_RECORDED: Final = {
    OutcomeKind.ANSWERED: RecordedOutcome.ANSWERED,
    OutcomeKind.NOT_RUN: RecordedOutcome.NOT_RUN,
    OutcomeKind.UNKNOWN: RecordedOutcome.UNKNOWN,
}


class AgentMetrics:
    """Counts connections and requests by service.

    Args:
        metrics: Registry of the process.
        view: Configuration with the names of the services.
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
            'Time from a request to the end of its answer; streams left out.',
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
            reason=connection.termination or CloseReason.PROTOCOL_ERROR,
        ).add(1)

    def request_ended(
        self, service: int, outcome: Outcome, latency_ms: int | None
    ) -> None:
        """Counts a request.

        Args:
            service: Number of the service.
            outcome: Outcome reported to the client.
            latency_ms: Time to the end of the answer; None for a stream,
                whose duration is no measure of the service's latency.
        """
        name = self._name(service)
        recorded = _RECORDED[outcome.kind]
        self._requests.series(service=name, outcome=recorded).add(1)
        answered = outcome.kind is OutcomeKind.ANSWERED
        if answered and latency_ms is not None:
            latency = self._latency.series(service=name)
            latency.observe(latency_ms / _MS_PER_SECOND)

    def set_load(self, load: Load, connections: int) -> None:
        """Sets the gauges of connections, slots and waiting requests."""
        self._open.series().set(connections)
        self._busy.series().set(load.busy)
        self._waiting.series().set(load.waiting)

    def _name(self, service: int) -> str:
        return self._view.name_of(service)
