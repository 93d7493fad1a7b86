"""Transfer of the configuration with the evacuated sites between nodes."""

import pytest
from gevent.server import StreamServer
from gevent.socket import socket
from result import Err

from anvilthread.clock import ManualClock
from anvilthread.flow_node.document_server import (
    DocumentServer,
    fetch_document,
)
from anvilthread.flows.evacuation_holder import EvacuationHolder
from anvilthread.flows.evacuation_view import EvacuationView
from anvilthread.flows.route_holder import RouteHolder
from anvilthread.telemetry.memory_log import MemoryLog
from standins.flow_cluster import SERVICE, route_table
from standins.free_port import free_port

_HOST = '127.0.0.1'


def _start_server(
    version: int, view: EvacuationView | None, *, evacuates: bool = True
) -> int:
    clock, log = ManualClock(start_ms=1000), MemoryLog()
    evacuations = EvacuationHolder(clock=clock, log=log, is_enabled=evacuates)
    if view is not None:
        evacuations.update(view, 'test', 40)
    routes = RouteHolder(clock=clock, log=log, evacuations=evacuations)
    if version:
        routes.update(route_table(version, {80: SERVICE}), 'test')
    port = free_port()
    DocumentServer(endpoint=(_HOST, port), routes=routes).start()
    return port


@pytest.mark.parametrize('count', [0, 1, 5000])
def test_evacuated_sites_come_with_the_configuration(count: int) -> None:
    """Guards against a node that starts in an evacuation without a view."""
    sites = tuple(f'site-{number}' for number in range(count))
    view = EvacuationView(era=2, revision=7, sites=sites)
    transferred = fetch_document(_HOST, _start_server(5, view)).unwrap()
    assert transferred.document == b'5'
    assert transferred.evacuation == view
    assert transferred.evacuation_age_ms == 40


@pytest.mark.parametrize(
    ('version', 'evacuates', 'is_served'),
    [(5, True, False), (0, False, False), (5, False, True)],
)
def test_node_without_configuration_or_view_serves_nothing(
    version: int, evacuates: bool, is_served: bool
) -> None:
    """Guards against a configuration that is passed on without a view."""
    port = _start_server(version, None, evacuates=evacuates)
    assert isinstance(fetch_document(_HOST, port), Err) is not is_served


@pytest.mark.parametrize(
    'content',
    [b'', b'\0\0', b'\0\0\0\5ab', b'\0\0\0\1\xc1', b'\0\0\0\2\x91\1'],
)
def test_malformed_transfer(content: bytes) -> None:
    """Guards against a crash on what a failing peer sends."""

    def send(connection: socket, _address: tuple[str, int]) -> None:
        connection.sendall(content)
        connection.close()

    server = StreamServer((_HOST, free_port()), send)
    server.start()
    assert isinstance(fetch_document(_HOST, server.server_port), Err)
    server.stop()
