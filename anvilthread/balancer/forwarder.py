"""The balancer's data path."""

from collections.abc import Callable
from functools import partial
from typing import Final

from gevent import socket

from anvilthread.address import Address
from anvilthread.balancer.agents import Agents
from anvilthread.balancer.connection_placer import ConnectionPlacer
from anvilthread.balancer.service_listener import ServiceListener
from anvilthread.routing.connection_id_codec import (
    CONNECTION_ID_SIZE,
    ConnectionIdCodec,
)
from anvilthread.routing.datagram_kind import DatagramKind
from anvilthread.routing.encapsulated import Encapsulated
from anvilthread.routing.encapsulation_codec import EncapsulationCodec
from anvilthread.routing.packet_counters import PacketCounters
from anvilthread.routing.packet_fate import PacketFate
from anvilthread.routing.quic_header import (
    destination_id,
    has_long_header,
    is_initial,
)
from anvilthread.routing.stateless_reset import stateless_reset
from anvilthread.transport.udp_socket import bind_udp, receive_all

_ADDRESS: Final = slice(2, 8)
OnReport = Callable[[bytes, tuple[str, int]], None]

_FORWARD: Final = int(DatagramKind.FORWARD)


class Forwarder:
    """Forwards packets between clients and agents without state per flow.

    Args:
        address: Data address of this balancer.
        codec: Decrypts connection IDs.
        encapsulation: Codec of the datagrams to and from agents.
        placer: Chooses agents for first packets.
        agents: Agents whose connections are known to be lost.
        on_report: Called with each load report and its sender.
    """

    __slots__ = (
        '_agents',
        '_codec',
        '_counters',
        '_encapsulation',
        '_endpoints',
        '_listeners',
        '_on_report',
        '_packed',
        '_placer',
        '_socket',
        'address',
    )

    def __init__(
        self,
        *,
        address: Address,
        codec: ConnectionIdCodec,
        encapsulation: EncapsulationCodec,
        placer: ConnectionPlacer,
        agents: Agents,
        on_report: OnReport = lambda *_: None,
    ) -> None:
        self.address = address
        self._packed = address.pack()
        self._codec = codec
        self._encapsulation = encapsulation
        self._placer = placer
        self._agents = agents
        self._on_report = on_report
        self._listeners: dict[Address, ServiceListener] = {}
        self._endpoints: dict[bytes, tuple[str, int]] = {}
        self._counters = PacketCounters()
        self._socket = bind_udp(address)

    @property
    def counters(self) -> PacketCounters:
        """What happened to the packets."""
        return self._counters

    @property
    def listeners(self) -> dict[Address, ServiceListener]:
        """Listeners by service address."""
        return dict(self._listeners)

    def use_keys(
        self, codec: ConnectionIdCodec, encapsulation: EncapsulationCodec
    ) -> None:
        """Replaces the codecs after a key rotation."""
        self._codec = codec
        self._encapsulation = encapsulation

    def add_listener(self, listener: ServiceListener) -> None:
        """Makes a service address known as a source of answers."""
        self._listeners[listener.service_address] = listener

    def remove_listener(self, service_address: Address) -> None:
        """Closes the listener of a service address."""
        listener = self._listeners.pop(service_address, None)
        if listener is not None:
            listener.close()

    def run_answers(self) -> None:
        """Carries answers of agents to clients until the socket closes."""
        receive_all(self._socket, self._receive_answer)

    def run_listener(self, listener: ServiceListener) -> None:
        """Forwards packets of one service address until its socket closes."""
        receive_all(listener.socket, partial(self.forward, listener))

    def close(self) -> None:
        """Closes all sockets."""
        for service_address in list(self._listeners):
            self.remove_listener(service_address)
        self._socket.close()

    def forward(
        self,
        listener: ServiceListener,
        payload: bytes,
        sender: tuple[str, int],
    ) -> None:
        """Forwards one packet of a client, or drops and counts it."""
        connection_id = destination_id(payload)
        if connection_id is None:
            self._counters.add(PacketFate.DROPPED_MALFORMED)
            return
        block = None
        if len(connection_id) == CONNECTION_ID_SIZE:
            block = self._codec.decrypt(connection_id)
        if block is None:
            self._place(listener, payload, sender, connection_id)
        elif block[:2] != listener.packed_service:
            self._counters.add(PacketFate.DROPPED_WRONG_SERVICE)
        elif self._agents.must_reset(block[_ADDRESS]):
            self._reset(listener, payload, sender, connection_id)
        else:
            self._send(
                self._encapsulation.encode_raw(
                    kind=_FORWARD,
                    service=listener.service,
                    service_address=listener.packed_address,
                    client=pack_endpoint(sender),
                    balancer=self._packed,
                    payload=payload,
                ),
                self._endpoint(block[_ADDRESS]),
            )
            self._counters.add(PacketFate.FORWARDED)

    def _place(
        self,
        listener: ServiceListener,
        payload: bytes,
        sender: tuple[str, int],
        connection_id: bytes,
    ) -> None:
        if not is_initial(payload):
            self._counters.add(PacketFate.DROPPED_NOT_INITIAL)
            return
        client = pack_endpoint(sender)
        placed = self._placer.place(listener.service, client + connection_id)
        if placed is None:
            self._counters.add(PacketFate.DROPPED_NO_AGENT)
            return
        datagram = Encapsulated(
            kind=DatagramKind.PLACE,
            service=listener.service,
            service_address=listener.service_address,
            client=Address.unpack(client),
            balancer=self.address,
            payload=payload,
            alternate=placed.alternate,
        )
        self._send(self._encapsulation.encode(datagram), placed.agent.endpoint)
        self._counters.add(PacketFate.PLACED)

    def _reset(
        self,
        listener: ServiceListener,
        payload: bytes,
        sender: tuple[str, int],
        connection_id: bytes,
    ) -> None:
        reset = None
        if not has_long_header(payload):
            reset = stateless_reset(self._codec, connection_id, len(payload))
        if reset is None:
            self._counters.add(PacketFate.DROPPED_UNKNOWN_CONNECTION)
            return
        listener.send(reset, sender)
        self._counters.add(PacketFate.RESET)

    def _receive_answer(self, wire: bytes, sender: tuple[str, int]) -> None:
        datagram = self._encapsulation.decode(wire)
        if datagram is None:
            self._counters.add(PacketFate.DROPPED_FORGED)
            return
        if datagram.kind is DatagramKind.REPORT:
            self._on_report(datagram.payload, sender)
            return
        listener = self._listeners.get(datagram.service_address)
        if listener is None or listener.service != datagram.service:
            self._counters.add(PacketFate.DROPPED_UNKNOWN_ADDRESS)
            return
        listener.send(datagram.payload, datagram.client.endpoint)
        self._counters.add(PacketFate.ANSWERED)

    def _send(self, wire: bytes, endpoint: tuple[str, int]) -> None:
        try:
            self._socket.sendto(wire, endpoint)
        except OSError:
            self._counters.add(PacketFate.DROPPED_UNREACHABLE)

    def _endpoint(self, packed: bytes) -> tuple[str, int]:
        endpoint = self._endpoints.get(packed)
        if endpoint is None:
            endpoint = Address.unpack(packed).endpoint
            self._endpoints[packed] = endpoint
        return endpoint


def pack_endpoint(endpoint: tuple[str, int]) -> bytes:
    """Packs the host and port of a socket call into six bytes."""
    host, port = endpoint
    return socket.inet_aton(host) + port.to_bytes(2, 'big')
