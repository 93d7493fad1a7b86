"""Connections through fabric, balancers and agents as nodes change."""

import hashlib
from collections.abc import Iterator

import gevent
import pytest

from anvilthread.address import Address
from anvilthread.agent.client_connection import ClientConnection
from anvilthread.reports.connection_events import CloseReason
from anvilthread.routing.datagram_kind import DatagramKind
from anvilthread.routing.encapsulated import Encapsulated
from anvilthread.routing.packet_fate import PacketFate
from standins.client import Client
from tests.path.local_path import (
    BOOKINGS,
    ENCAPSULATION,
    STATEMENTS,
    LocalPath,
    service_address,
)


@pytest.fixture
def path() -> Iterator[LocalPath]:
    """Three balancers with different views of two bookings agents."""
    local = LocalPath()
    first = local.add_agent('127.0.2.1')
    second = local.add_agent('127.0.2.2')
    statements = local.add_agent('127.0.2.3', service=STATEMENTS)
    local.statements = statements
    for ip, view in (
        ('127.0.1.1', [first, second]),
        ('127.0.1.2', [second, first]),
        ('127.0.1.3', [second]),
    ):
        local.add_balancer(ip, view)
    yield local
    local.close()


def test_different_views_break_no_connection(path: LocalPath) -> None:
    """Guards against packets of one connection that reach two agents."""
    for _ in range(10):
        client = path.open_client()
        names = {client.fetch('GET', '/').headers['agent'] for _ in range(5)}
        assert len(names) == 1
        assert client.end_reason is None


def test_balancer_changes_break_no_stream(path: LocalPath) -> None:
    """Guards against streams that depend on one balancer."""
    streams = [
        path.open_client().request('GET', '/stream', keep=False)
        for _ in range(6)
    ]
    gevent.sleep(0.2)
    path.kill_balancer('127.0.1.1')
    path.add_balancer('127.0.1.4', [])
    path.kill_balancer('127.0.1.2')
    gevent.sleep(1)
    before = [stream.size for stream in streams]
    gevent.sleep(0.5)
    after = [stream.size for stream in streams]
    assert all(late > early for early, late in zip(before, after, strict=True))
    assert not any(client.is_broken for client in path.clients)


def test_empty_view_still_forwards_established_connections(
    path: LocalPath,
) -> None:
    """Guards against balancers that need a view for open connections."""
    client = path.open_client()
    for view in path.views.values():
        view.agents = []
    assert client.fetch('GET', '/').status == 200
    new_client = Client(
        clock=path.clock, service_address=service_address(BOOKINGS)
    )
    path.clients.append(new_client)
    assert not new_client.connect(timeout_ms=300)


@pytest.mark.parametrize(('loss', 'reorder'), [(0, 0), (0.02, 0.05)])
def test_large_answer_arrives_whole(
    path: LocalPath, loss: float, reorder: float
) -> None:
    """Guards against truncated or reordered answers on a lossy network."""
    path.fabric.control({'loss': loss, 'reorder': reorder})
    size = 10_000_000
    response = path.open_client().fetch(
        'GET', f'/picture?bytes={size}', timeout_ms=30_000
    )
    expected = (bytes(range(250)) * 200) * (size // 50_000)
    assert response.failure is None
    assert response.digest == hashlib.sha256(expected).hexdigest()


def test_packets_for_another_service_are_dropped(path: LocalPath) -> None:
    """Guards against packets of bookings that reach an agent of statements."""
    client = path.open_client()
    connection_id = client.quic._peer_cid.cid
    forged = bytes([0x40]) + connection_id + bytes(40)
    client._socket.connect(service_address(STATEMENTS).endpoint)
    client._socket.send(forged)
    gevent.sleep(0.1)
    dropped = sum(
        forwarder.counters.count(PacketFate.DROPPED_WRONG_SERVICE)
        for forwarder in path.forwarders.values()
    )
    assert dropped >= 1
    reached = path.agents['127.0.2.3'].counters.by_fate()
    assert not reached


@pytest.mark.parametrize(
    ('datagram', 'fate'),
    [
        (b'', PacketFate.DROPPED_MALFORMED),
        (bytes([0x40, *bytes(8)]), PacketFate.DROPPED_MALFORMED),
        (bytes([0x40, *bytes(60)]), PacketFate.DROPPED_NOT_INITIAL),
        (
            bytes([0xC0, 0, 0, 0, 1, 21, *bytes(60)]),
            PacketFate.DROPPED_MALFORMED,
        ),
        (
            bytes([0xC0, 0, 0, 0, 1, 8, *bytes(60)]),
            PacketFate.DROPPED_NOT_INITIAL,
        ),
    ],
)
def test_invalid_packets_are_counted(
    path: LocalPath, datagram: bytes, fate: PacketFate
) -> None:
    """Guards against invalid packets that are forwarded or stop a balancer."""
    forwarder = path.forwarders['127.0.1.1']
    listener = forwarder.listeners[service_address(BOOKINGS)]
    forwarder.forward(listener, datagram, ('127.0.0.1', 9))
    assert forwarder.counters.count(fate) == 1


def test_restarted_agent_resets_old_connections(path: LocalPath) -> None:
    """Guards against clients that wait for the idle timeout.

    A restarted agent resets connections that it no longer knows.
    """
    client = path.open_client()
    name = client.fetch('GET', '/').headers['agent']
    path.kill_agent(name)
    path.add_agent(name, incarnation=2)
    gevent.sleep(1)
    assert client.end_reason == 'stateless reset'


def test_balancer_resets_connections_of_a_lost_agent(path: LocalPath) -> None:
    """Guards against a killed target whose clients are not notified."""
    client, other = path.open_client(), path.open_client()
    while True:
        lost = client.fetch('GET', '/').headers['agent']
        if other.fetch('GET', '/').headers['agent'] != lost:
            break
        other = path.open_client()
    path.kill_agent(lost)
    for view in path.views.values():
        view.lost_agents.add(Address(host=lost, port=7002).pack())
    gevent.sleep(1)
    assert client.end_reason == 'stateless reset'
    assert other.end_reason is None


def test_client_keeps_its_connection_on_a_new_address(
    path: LocalPath,
) -> None:
    """Guards against roaming clients that lose their connection."""
    client = path.open_client()
    name = client.fetch('GET', '/').headers['agent']
    client.change_address()
    response = client.fetch('GET', '/')
    assert response.headers['agent'] == name
    assert client.end_reason is None


def test_cancel_reaches_the_request(path: LocalPath) -> None:
    """Guards against requests that continue after their cancellation."""
    client = path.open_client()
    response = client.request('GET', '/stream', keep=False)
    response.chunks.get(timeout=5)
    client.cancel(response)
    gevent.sleep(0.3)
    assert sum(entry.cancelled for entry in path.handlers.values()) == 1
    assert client.fetch('GET', '/').status == 200


def test_forged_datagrams_between_nodes_are_dropped(path: LocalPath) -> None:
    """Guards against nodes that trust datagrams without a valid tag."""
    agent = path.agents['127.0.2.1']
    forwarder = path.forwarders['127.0.1.1']
    for receiver in (agent.address, forwarder.address):
        agent._socket.sendto(bytes(100), receiver.endpoint)
    gevent.sleep(0.1)
    assert agent.counters.count(PacketFate.DROPPED_FORGED) == 1
    assert forwarder.counters.count(PacketFate.DROPPED_FORGED) == 1


def test_balancer_sends_only_answers_to_clients(path: LocalPath) -> None:
    """Guards against client packets that a balancer sends to a client."""
    forwarder = path.forwarders['127.0.1.1']
    before = forwarder.counters.count(PacketFate.ANSWERED)
    for kind in (DatagramKind.FORWARD, DatagramKind.PLACE):
        datagram = Encapsulated(
            kind=kind,
            service=BOOKINGS,
            service_address=service_address(BOOKINGS),
            client=Address(host='127.0.0.1', port=9),
            balancer=forwarder.address,
            payload=b'x',
        )
        forwarder._receive_answer(
            ENCAPSULATION.encode(datagram), ('127.0.2.1', 7002)
        )
    assert forwarder.counters.count(PacketFate.ANSWERED) == before
    assert forwarder.counters.count(PacketFate.DROPPED_MALFORMED) == 2


def test_close_by_the_agent_is_a_server_close(path: LocalPath) -> None:
    """Guards against a stop whose closed connections count as kept.

    The agent records them as closed by itself, not by their clients.
    """
    closed: list[CloseReason | None] = []

    def record_close(connection: ClientConnection) -> None:
        closed.append(connection.termination)

    for agent in path.agents.values():
        agent._on_closed = record_close
    client = path.open_client()
    for agent in path.agents.values():
        for connection in agent.table.connections():
            connection.close('stopped')
    for _ in range(100):
        if closed:
            break
        gevent.sleep(0.05)
    assert client.is_broken
    assert closed == [CloseReason.SERVER_CLOSED]
