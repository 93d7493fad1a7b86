"""Metrics: rendering, names, bounds, and the HTTP endpoint."""

import gevent
import pytest
from gevent import socket
from syrupy.assertion import SnapshotAssertion

from anvilthread.address import Address
from anvilthread.telemetry.health import Health
from anvilthread.telemetry.metrics import MetricNameError, Metrics
from anvilthread.telemetry.telemetry_server import TelemetryServer


def test_text_format(snapshot: SnapshotAssertion) -> None:
    """Guards against output that a Prometheus server refuses."""
    metrics = Metrics()
    requests = metrics.counter(
        'anvilthread_requests_total', 'Requests.', labels=('service',)
    )
    requests.series(service='a "b"\n\\').add(3)
    connections = metrics.gauge('anvilthread_connections', 'Connections.')
    metrics.before_render(lambda: connections.series().set(7))
    latency = metrics.histogram(
        'anvilthread_latency_seconds', 'Latency.', bounds=(0.1, 1.0)
    )
    for seconds in (0.05, 0.5, 3):
        latency.series().observe(seconds)
    first = metrics.render()
    assert metrics.render() == first
    assert first.decode() == snapshot


def test_labels_are_bounded() -> None:
    """Guards against memory that grows with label values from the network."""
    metrics = Metrics()
    counter = metrics.counter(
        'anvilthread_x_total', 'X.', labels=('who',), max_series=2
    )
    for number in range(5):
        counter.series(who=f'client-{number}').add()
    text = metrics.render().decode()
    assert 'anvilthread_x_total{who="other"} 3' in text
    assert 'client-2' not in text
    overflow = 'anvilthread_metric_overflows_total'
    assert f'{overflow}{{metric="anvilthread_x_total"}} 3' in text
    assert metrics.render().decode() == text


@pytest.mark.parametrize('labels', [{}, {'other': 'x'}, {'a': '1', 'b': '2'}])
def test_wrong_labels_are_refused(labels: dict[str, str]) -> None:
    """Guards against series that lack a label."""
    metric = Metrics().gauge('anvilthread_x', 'X.', labels=('a',))
    with pytest.raises((KeyError, ValueError)):
        metric.series(**labels)


@pytest.mark.parametrize(
    ('name', 'unit', 'remedy'),
    [
        ('anvilthread_x', '', 'name it anvilthread_x_total'),
        ('requests_total', '', 'starting with anvilthread_'),
        ('anvilthread_X_total', '', 'use lower case'),
        ('anvilthread_sent_total', 'bytes', 'anvilthread_sent_bytes'),
        ('anvilthread_twice_total', '', 'make each metric once'),
    ],
)
def test_names_follow_the_conventions(
    name: str, unit: str, remedy: str
) -> None:
    """Guards against names that break dashboards and Prometheus rules."""
    metrics = Metrics()
    metrics.counter('anvilthread_twice_total', 'Twice.')
    with pytest.raises(MetricNameError, match=remedy):
        metrics.counter(name, 'X.', unit=unit)


def _send_request(address: Address, request: bytes) -> tuple[bytes, bytes]:
    with gevent.Timeout(10):
        client = socket.create_connection(address.endpoint)
        client.sendall(request)
        received = b''.join(iter(lambda: client.recv(65536), b''))
        client.close()
    head, _, body = received.partition(b'\r\n\r\n')
    return head.partition(b'\r\n')[0], body


@pytest.mark.parametrize(
    ('request_line', 'joined', 'status', 'body'),
    [
        ('GET /health', False, b'200 OK', b'{"alive":true}'),
        (
            'GET /ready',
            False,
            b'503 Service Unavailable',
            b'{"ready":false,"conditions":{"joined":false}}',
        ),
        (
            'GET /ready',
            True,
            b'200 OK',
            b'{"ready":true,"conditions":{"joined":true}}',
        ),
        ('GET /metrics', True, b'200 OK', b'anvilthread_up 1'),
        ('HEAD /metrics', True, b'200 OK', b''),
        ('POST /metrics', True, b'405 Method Not Allowed', b'"GET"'),
        ('GET /other', True, b'404 Not Found', b'/ready'),
    ],
)
def test_endpoint(
    request_line: str, joined: bool, status: bytes, body: bytes
) -> None:
    """Guards against a node that reports ready before its conditions hold."""
    metrics = Metrics()
    metrics.gauge('anvilthread_up', 'Up.').series().set(1)
    health = Health(conditions=('joined',))
    health.report('joined', holds=joined)
    server = TelemetryServer(
        address=Address(host='127.0.0.1', port=0),
        metrics=metrics,
        health=health,
    )
    server.start()
    response = _send_request(
        server.address, f'{request_line} HTTP/1.1\r\nHost: x\r\n\r\n'.encode()
    )
    server.stop()
    assert response[0].removeprefix(b'HTTP/1.1 ') == status
    assert body in response[1]


def test_idle_connection_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against idle connections that use up the request slots."""
    monkeypatch.setattr(
        'anvilthread.telemetry.telemetry_server._REQUEST_TIMEOUT_S', 0.05
    )
    server = TelemetryServer(
        address=Address(host='127.0.0.1', port=0),
        metrics=Metrics(),
        health=Health(conditions=()),
    )
    server.start()
    response = _send_request(server.address, b'GET /health HTTP/1.1\r\n')
    server.stop()
    assert response == (b'', b'')
