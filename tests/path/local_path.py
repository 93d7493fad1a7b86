"""Balancers, agents, fabric and clients in one process on loopback."""

from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from random import Random

import gevent
from aioquic.h3.connection import H3_ALPN
from aioquic.quic.configuration import QuicConfiguration
from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from anvilthread.address import Address
from anvilthread.agent.connection_id_issuer import ConnectionIdIssuer
from anvilthread.agent.h3_stream import H3Stream
from anvilthread.agent.packet_server import PacketServer
from anvilthread.balancer.forwarder import Forwarder
from anvilthread.balancer.service_listener import ServiceListener
from anvilthread.clock import SystemClock
from anvilthread.routing.connection_id_codec import (
    CONNECTION_ID_SIZE,
    ConnectionIdCodec,
)
from anvilthread.routing.encapsulated import Encapsulated
from anvilthread.routing.encapsulation_codec import EncapsulationCodec
from anvilthread.routing.first_packet_action import FirstPacketAction
from standins.client import Client
from standins.fabric import Fabric

BOOKINGS = 1
STATEMENTS = 2
CODEC = ConnectionIdCodec(keys={0: b'k' * 16}, active=0)
ENCAPSULATION = EncapsulationCodec(keys=(b'd' * 32,))


def service_address(service: int) -> Address:
    """Address of a service in these tests."""
    return Address(host='127.0.9.1', port=4430 + service)


class NamedHandler:
    """Answers every request with the name of its agent in a header."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.cancelled = 0

    def handle(self, stream: H3Stream, service: int) -> None:
        """Sends an endless body for `/stream` and a finite one otherwise."""
        path = dict(stream.headers)[b':path']
        stream.head([(b':status', b'200'), (b'agent', self.name.encode())])
        if path.startswith(b'/stream'):
            while not stream.cancelled.wait(0.02):
                stream.chunk(b'tick')
            self.cancelled += 1
            return
        size = int(path.partition(b'=')[2] or 1)
        pattern = bytes(range(250))
        for start in range(0, size, 50_000):
            stream.chunk((pattern * 200)[: min(50_000, size - start)])
        stream.end()


class FixedPlacement:
    """Placement of one balancer on its own list of agents."""

    def __init__(self, agents: list[Address]) -> None:
        self.agents = agents
        self.lost_agents: set[bytes] = set()

    def place(self, service: int, flow_key: bytes) -> 'FixedChoice | None':
        """Chooses by the key sum, so that other lists give other agents."""
        if not self.agents:
            return None
        return FixedChoice(self.agents[sum(flow_key) % len(self.agents)])

    def must_reset(self, agent: bytes) -> bool:
        """Returns whether a test has declared the agent lost."""
        return agent in self.lost_agents


class FixedChoice:
    """A placement without an alternate."""

    alternate = None

    def __init__(self, agent: Address) -> None:
        self.agent = agent


class AcceptingAdmission:
    """Accepts every connection."""

    def decide(
        self, datagram: Encapsulated, connections: int
    ) -> FirstPacketAction:
        """Accepts."""
        return FirstPacketAction.ACCEPT


class LocalPath:
    """The whole data path in one process."""

    def __init__(self, *, seed: int = 1) -> None:
        self.clock = SystemClock()
        self.views: dict[str, FixedPlacement] = {}
        self.forwarders: dict[str, Forwarder] = {}
        self.agents: dict[str, PacketServer] = {}
        self.handlers: dict[str, NamedHandler] = {}
        self.clients: list[Client] = []
        self._tls_configuration = _tls_configuration()
        self.fabric = Fabric(
            random=Random(seed),
            service_addresses=[
                service_address(BOOKINGS),
                service_address(STATEMENTS),
            ],
            balancers=[],
        )
        self.fabric.start()

    def add_balancer(self, ip: str, view: list[Address]) -> None:
        """Starts a balancer with its own view of the agents."""
        placement = FixedPlacement(view)
        forwarder = Forwarder(
            address=Address(host=ip, port=7001),
            codec=CODEC,
            encapsulation=ENCAPSULATION,
            placer=placement,
            agents=placement,
        )
        for service in (BOOKINGS, STATEMENTS):
            listener = ServiceListener(
                service=service,
                service_address=service_address(service),
                bind_address=Address(host=ip, port=4430 + service),
            )
            forwarder.add_listener(listener)
            gevent.spawn(_run_until_closed, forwarder.run_listener, listener)
        gevent.spawn(_run_until_closed, forwarder.run_answers)
        self.views[ip] = placement
        self.forwarders[ip] = forwarder
        self.fabric.balancers = [*self.fabric.balancers, ip]

    def kill_balancer(self, ip: str) -> None:
        """Closes the sockets of a balancer without notice to other nodes."""
        self.forwarders.pop(ip).close()
        self.fabric.balancers = [
            known for known in self.fabric.balancers if known != ip
        ]

    def add_agent(
        self, ip: str, *, service: int = BOOKINGS, incarnation: int = 1
    ) -> Address:
        """Starts an agent and returns its data address."""
        address = Address(host=ip, port=7002)
        handler = NamedHandler(ip)
        agent = PacketServer(
            clock=self.clock,
            address=address,
            services=frozenset((service,)),
            configuration=self._tls_configuration,
            issuer=ConnectionIdIssuer(
                codec=CODEC, agent=address, incarnation=incarnation
            ),
            encapsulation=ENCAPSULATION,
            balancers=self,
            admission=AcceptingAdmission(),
            handler=handler,
        )
        gevent.spawn(_run_until_closed, agent.run)
        self.agents[ip] = agent
        self.handlers[ip] = handler
        return address

    def kill_agent(self, ip: str) -> None:
        """Closes the socket of an agent without notice to other nodes."""
        self.agents.pop(ip).close()
        _wait_for_socket_close()

    def open_client(self, service: int = BOOKINGS) -> Client:
        """Returns a connected client."""
        client = Client(
            clock=self.clock, service_address=service_address(service)
        )
        self.clients.append(client)
        assert client.connect()
        return client

    def live_balancers(self) -> list[Address]:
        """Data addresses of the running balancers."""
        return [forwarder.address for forwarder in self.forwarders.values()]

    def is_gone(self, balancer: Address) -> bool:
        """Returns False, so that only the timeout replaces a balancer."""
        return False

    def close(self) -> None:
        """Closes every socket."""
        for client in self.clients:
            client.close()
        for agent in self.agents.values():
            agent.close()
        for forwarder in self.forwarders.values():
            forwarder.close()
        self.fabric.close()
        _wait_for_socket_close()


def _wait_for_socket_close() -> None:
    # gevent closes a socket that a task still reads in the next iteration of
    # its event loop.
    gevent.sleep(0.01)


def _run_until_closed(run: Callable[..., None], *arguments: object) -> None:
    try:
        run(*arguments)
    except OSError:
        return


def _tls_configuration() -> QuicConfiguration:
    key = ec.generate_private_key(ec.SECP256R1())
    common_name = x509.NameAttribute(NameOID.COMMON_NAME, 'anvilthread.test')
    name = x509.Name((common_name,))
    now = datetime.now(UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(now - timedelta(days=1))
        .not_valid_after(now + timedelta(days=1))
        .sign(key, hashes.SHA256())
    )
    return QuicConfiguration(
        is_client=False,
        alpn_protocols=H3_ALPN,
        connection_id_length=CONNECTION_ID_SIZE,
        certificate=certificate,
        private_key=key,
    )
