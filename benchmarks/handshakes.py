"""Cost of connections at an agent and of placement at a balancer.

Handshakes are timed in memory. Memory, and the processor time of all
work of an agent for a connection, are measured on a packet server whose
clients run in another process.
"""

import gc
import multiprocessing
import resource
import socket as blocking
import ssl
from collections import deque
from collections.abc import Sequence
from contextlib import suppress
from itertools import pairwise
from multiprocessing.connection import Connection
from pathlib import Path
from random import Random
from statistics import linear_regression, median
from time import process_time, time
from typing import Final

import gevent
from aioquic.h3.connection import H3_ALPN, H3Connection
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from cryptography.hazmat.primitives.serialization import load_pem_private_key
from cryptography.x509 import load_pem_x509_certificate
from gevent.event import Event

from anvilthread.address import Address
from anvilthread.agent.connection_id_issuer import ConnectionIdIssuer
from anvilthread.agent.h3_stream import H3Stream
from anvilthread.agent.packet_server import PacketServer
from anvilthread.agent.routable_quic import RoutableQuic
from anvilthread.clock import SystemClock
from anvilthread.routing.candidate import Candidate
from anvilthread.routing.connection_id_codec import (
    CONNECTION_ID_SIZE,
    ConnectionIdCodec,
)
from anvilthread.routing.datagram_kind import DatagramKind
from anvilthread.routing.encapsulated import Encapsulated
from anvilthread.routing.encapsulation_codec import EncapsulationCodec
from anvilthread.routing.first_packet_action import FirstPacketAction
from anvilthread.routing.load_aware_placement import LoadAwarePlacement
from anvilthread.routing.load_report import LoadReport
from anvilthread.routing.load_table import LoadTable
from anvilthread.routing.subset import Subset
from anvilthread.settings.certificate import SelfSignedCertificate

_SERVICE: Final = 1
_SERVER_NAME: Final = 'anvilthread.test'
_HANDSHAKES: Final = 300
_CONNECTIONS: Final = (100, 300, 900)
_STREAMS: Final = (1, 2, 4)
_ACK_DELAY_S: Final = 0.002
_RECEIVE_TIMEOUT_S: Final = 1
_POLL_INTERVAL_S: Final = 0.01
_PROCESS_TIMEOUT_S: Final = 60
_FLOW_KEY_SIZE: Final = 14
_SERVICE_SIZES: Final = (7, 32, 128)
_PLACEMENTS: Final = 5000
_ROUNDS: Final = 8
_KIB: Final = 1024
_MIB: Final = 1 << 20
#: Milliseconds per second, and microseconds per millisecond.
_MS: Final = 1000

_CODEC: Final = ConnectionIdCodec(keys={0: b'k' * 16}, active=0)
_ENCAPSULATION: Final = EncapsulationCodec(keys=(b'd' * 32,))
_BALANCER: Final = Address(host='127.0.14.1', port=17_905)
_AGENT: Final = Address(host='127.0.14.2', port=17_906)
_SERVICE_ADDRESS: Final = Address(host='192.0.2.1', port=443)


def run() -> None:
    """Prints the measurements."""
    server = _server_configuration()
    _measure_handshakes(server)
    _measure_agent(server)
    _measure_placement()


def _measure_handshakes(server: QuicConfiguration) -> None:
    """Times the agent's and the client's side of handshakes."""
    issuer = ConnectionIdIssuer(codec=_CODEC, agent=_AGENT, incarnation=1)
    agent: list[float] = []
    client: list[float] = []
    for _ in range(_HANDSHAKES):
        pair = HandshakePair(server, issuer)
        pair.complete_handshake()
        agent.append(pair.server_seconds)
        client.append(pair.client_seconds)
    agent_ms = median(agent) * _MS
    print(
        f'handshake: agent {agent_ms:.2f} ms of processor time, '
        f'{_MS / agent_ms:.0f} a second of processor time; '
        f'client {median(client) * _MS:.2f} ms'
    )


class HandshakePair:
    """A client and the agent's side of its connection.

    Args:
        server: Settings of the agent.
        issuer: Issues connection IDs.
    """

    def __init__(
        self, server: QuicConfiguration, issuer: ConnectionIdIssuer
    ) -> None:
        self._configuration = server
        self._issuer = issuer
        self._now = float(0)
        self._server: RoutableQuic | None = None
        self.client = QuicConnection(configuration=_client_configuration())
        self.server_seconds = float(0)
        self.client_seconds = float(0)

    def complete_handshake(self) -> None:
        """Exchanges packets until neither side has any to send."""
        start = process_time()
        self.client.connect(_SERVICE_ADDRESS.endpoint, self._now)
        packets = self._pending_packets(self.client)
        self.client_seconds += process_time() - start
        while packets:
            start = process_time()
            answers = self._receive(packets)
            middle = process_time()
            for answer in answers:
                self.client.receive_datagram(
                    answer, _SERVICE_ADDRESS.endpoint, self._now
                )
            packets = self._pending_packets(self.client)
            self.server_seconds += middle - start
            self.client_seconds += process_time() - middle
        assert self._server is not None
        assert self._server._handshake_complete

    def _receive(self, packets: list[bytes]) -> list[bytes]:
        if self._server is None:
            original_id = self.client.original_destination_connection_id
            self._server = RoutableQuic(
                configuration=self._configuration,
                original_destination_id=original_id,
                issuer=self._issuer,
                service=_SERVICE,
                on_issued=lambda _: None,
            )
        for packet in packets:
            self._server.receive_datagram(packet, _BALANCER.endpoint, self._now)
        return self._pending_packets(self._server)

    def _pending_packets(self, quic: QuicConnection) -> list[bytes]:
        self._now += 0.001
        return _pending_packets(quic, self._now)


def _pending_packets(quic: QuicConnection, now: float) -> list[bytes]:
    """Discards the events and returns the packets to send."""
    deque(iter(quic.next_event, None), maxlen=0)
    return [packet for packet, _ in quic.datagrams_to_send(now)]


class LoopbackClient:
    """A client whose packets go to the agent in encapsulated datagrams.

    Args:
        source: Socket of the balancer's address.
        address: Address of the client in the datagrams.
    """

    def __init__(self, source: blocking.socket, address: Address) -> None:
        self._source = source
        self._address = address
        self.quic = QuicConnection(configuration=_client_configuration())
        self.quic.connect(_SERVICE_ADDRESS.endpoint, time())
        self._http = H3Connection(self.quic)

    def receive(self, packet: bytes) -> None:
        """Processes a packet of the agent and sends the reply."""
        self.quic.receive_datagram(packet, _SERVICE_ADDRESS.endpoint, time())
        self.flush()

    def flush(self, kind: DatagramKind = DatagramKind.FORWARD) -> None:
        """Sends the pending packets to the agent."""
        # Acknowledgements are due 1 ms after a packet. If the client waited
        # for its timer, the agent would retransmit its packets.
        for packet in _pending_packets(self.quic, time() + _ACK_DELAY_S):
            datagram = Encapsulated(
                kind=kind,
                service=_SERVICE,
                service_address=_SERVICE_ADDRESS,
                client=self._address,
                balancer=_BALANCER,
                payload=packet,
            )
            wire = _ENCAPSULATION.encode(datagram)
            self._source.sendto(wire, _AGENT.endpoint)

    def request(self) -> None:
        """Sends a request on a new stream."""
        headers = [
            (b':method', b'GET'),
            (b':scheme', b'https'),
            (b':authority', _SERVER_NAME.encode()),
            (b':path', b'/stream'),
        ]
        stream_id = self.quic.get_next_available_stream_id()
        self._http.send_headers(stream_id, headers, end_stream=True)
        self.flush()


def _run_clients(commands: Connection) -> None:
    """Opens connections and streams on command, in a separate process."""
    source = blocking.socket(blocking.AF_INET, blocking.SOCK_DGRAM)
    source.setsockopt(blocking.SOL_SOCKET, blocking.SO_RCVBUF, 4 << 20)
    source.bind(_BALANCER.endpoint)
    source.settimeout(_RECEIVE_TIMEOUT_S)
    clients: dict[Address, LoopbackClient] = {}
    while commands.poll(_PROCESS_TIMEOUT_S):
        connections, streams = commands.recv()
        if not connections:
            return
        for number in range(len(clients), connections):
            high, low = divmod(number, 250)
            address = Address(host=f'198.51.{high}.{low}', port=4433)
            clients[address] = LoopbackClient(source, address)
            clients[address].flush(DatagramKind.PLACE)
            while not clients[address].quic._handshake_confirmed:
                _receive(source, clients)
        for client in clients.values():
            for _ in range(streams):
                client.request()
                _receive(source, clients)
        with suppress(TimeoutError):
            while commands.writable:
                _receive(source, clients)
        commands.send(len(clients))


def _receive(
    source: blocking.socket, clients: dict[Address, LoopbackClient]
) -> None:
    """Receives one packet of the agent for its client.

    Raises:
        TimeoutError: If the agent sends no packet in time.
    """
    datagram = _ENCAPSULATION.decode(source.recv(65_535))
    assert datagram is not None
    clients[datagram.client].receive(datagram.payload)


class StreamHolder:
    """Keeps every response stream open, as for a route screen."""

    def __init__(self) -> None:
        self._released = Event()

    def handle(self, stream: H3Stream, service: int) -> None:
        """Sends the response headers and waits."""
        stream.head([(b':status', b'200')])
        self._released.wait()

    def release(self) -> None:
        """Ends all responses."""
        self._released.set()


class LoopbackAgent:
    """A packet server with its handler and stubs of its dependencies.

    Args:
        configuration: Settings of the connections.
    """

    def __init__(self, configuration: QuicConfiguration) -> None:
        self.handler = StreamHolder()
        self.server = PacketServer(
            clock=SystemClock(),
            address=_AGENT,
            services=frozenset((_SERVICE,)),
            configuration=configuration,
            issuer=ConnectionIdIssuer(
                codec=_CODEC, agent=_AGENT, incarnation=1
            ),
            encapsulation=_ENCAPSULATION,
            balancers=self,
            admission=self,
            handler=self.handler,
        )
        self._task = gevent.spawn(self.server.run)

    @property
    def open_streams(self) -> int:
        """Number of requests in progress."""
        return sum(
            connection.open_streams
            for connection in self.server.table.connections()
        )

    def decide(
        self, datagram: Encapsulated, connections: int
    ) -> FirstPacketAction:
        """Accepts every connection."""
        return FirstPacketAction.ACCEPT

    def live_balancers(self) -> list[Address]:
        """Returns the only balancer."""
        return [_BALANCER]

    def is_gone(self, balancer: Address) -> bool:
        """Returns False."""
        return False

    def close(self) -> None:
        """Ends the requests and closes the server."""
        self.handler.release()
        self._task.kill()
        self.server.close()


def _measure_agent(server: QuicConfiguration) -> None:
    """Measures a packet server whose clients run in another process."""
    context = multiprocessing.get_context('spawn')
    commands, remote = context.Pipe()
    clients = context.Process(target=_run_clients, args=(remote,))
    clients.start()
    agent = LoopbackAgent(server)
    try:
        _measure_connections(agent, commands)
    finally:
        commands.send((0, 0))
        clients.join(_PROCESS_TIMEOUT_S)
    agent.close()


def _measure_connections(agent: LoopbackAgent, commands: Connection) -> None:
    # Warm-up: the first connections also import modules and fill caches.
    _open_and_wait(agent, commands, _CONNECTIONS[0], 0)
    memory = [_resident_bytes()]
    seconds = []
    for before, count in pairwise(_CONNECTIONS):
        start = process_time()
        _open_and_wait(agent, commands, count, 0)
        seconds.append((process_time() - start) / (count - before))
        memory.append(_resident_bytes())
        print(
            f'connections {before} to {count}: '
            f'{seconds[-1] * _MS:.2f} ms of processor time each'
        )
    _print_slope('connection', _CONNECTIONS, memory)
    memory = [_resident_bytes()]
    totals = [0]
    for streams in _STREAMS:
        _open_and_wait(agent, commands, _CONNECTIONS[-1], streams)
        totals.append(agent.open_streams)
        memory.append(_resident_bytes())
    assert totals[-1] == sum(_STREAMS) * _CONNECTIONS[-1], totals
    _print_slope('stream', totals, memory)


def _open_and_wait(
    agent: LoopbackAgent, commands: Connection, connections: int, streams: int
) -> None:
    """Makes the clients open connections and streams on each, and waits."""
    commands.send((connections, streams))
    while not commands.poll():
        gevent.sleep(_POLL_INTERVAL_S)
    assert commands.recv() == connections
    opened = agent.server.table.connections()
    assert len(opened) == connections
    assert all(connection.is_established for connection in opened)


def _print_slope(name: str, sizes: Sequence[int], memory: list[int]) -> None:
    amounts = ', '.join(
        f'{size}: {amount / _MIB:.1f}'
        for size, amount in zip(sizes, memory, strict=True)
    )
    slope = linear_regression(sizes, memory).slope
    print(f'resident MiB by open {name}s: {amounts}')
    print(f'memory of an open {name}: {slope / _KIB:.1f} KiB')


def _resident_bytes() -> int:
    gc.collect()
    pages = int(Path('/proc/self/statm').read_text().split()[1])
    return pages * resource.getpagesize()


def _measure_placement() -> None:
    """Times placement decisions by the number of agents of the service."""
    placements = {size: _placement(size) for size in _SERVICE_SIZES}
    costs: dict[int, list[float]] = {size: [] for size in placements}
    random = Random(1)
    for _ in range(_ROUNDS):
        for size, placement in placements.items():
            keys = [
                random.randbytes(_FLOW_KEY_SIZE) for _ in range(_PLACEMENTS)
            ]
            start = process_time()
            for key in keys:
                placement.place(_SERVICE, key)
            costs[size].append((process_time() - start) / _PLACEMENTS)
    for size, values in costs.items():
        print(
            f'placement among {size} agents: '
            f'{median(values) * _MS * _MS:.1f} us, '
            f'{1 / median(values):.0f} a second of processor time'
        )


def _placement(size: int) -> LoadAwarePlacement:
    clock = SystemClock()
    table = LoadTable(clock=clock)
    placement = LoadAwarePlacement(
        clock=clock, table=table, subset=Subset(balancer=_BALANCER)
    )
    agents = [
        Address(host=f'192.0.2.{number}', port=7002) for number in range(size)
    ]
    placement.update_balancers([_BALANCER])
    placement.update(_SERVICE, [Candidate(agent=agent) for agent in agents])
    for agent in agents:
        table.accept(
            LoadReport(
                service=_SERVICE,
                agent=agent,
                incarnation=1,
                sequence=1,
                connections=1000,
            )
        )
    return placement


def _server_configuration() -> QuicConfiguration:
    issued = SelfSignedCertificate(names=(_SERVER_NAME,), days=1)
    return QuicConfiguration(
        is_client=False,
        alpn_protocols=H3_ALPN,
        connection_id_length=CONNECTION_ID_SIZE,
        certificate=load_pem_x509_certificate(issued.certificate_pem()),
        private_key=load_pem_private_key(issued.key_pem(), password=None),
    )


def _client_configuration() -> QuicConfiguration:
    return QuicConfiguration(
        alpn_protocols=H3_ALPN,
        is_client=True,
        server_name=_SERVER_NAME,
        verify_mode=ssl.CERT_NONE,
    )


if __name__ == '__main__':
    run()
