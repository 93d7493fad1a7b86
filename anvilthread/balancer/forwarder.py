"""The balancer's data path."""

import struct
from collections.abc import Callable
from functools import partial
from socket import inet_aton
from typing import Final

from anvilthread.address import Address
from anvilthread.balancer.agents import Agents
from anvilthread.balancer.connection_placer import ConnectionPlacer
from anvilthread.balancer.service_listener import ServiceListener
from anvilthread.routing.connection_id_codec import ConnectionIdCodec
from anvilthread.routing.datagram_kind import DatagramKind
from anvilthread.routing.encapsulated import Encapsulated
from anvilthread.routing.encapsulation_codec import (
    EncapsulationCodec,
    forward_end,
)
from anvilthread.routing.packet_counters import PacketCounters
from anvilthread.routing.packet_fate import PacketFate
from anvilthread.routing.quic_header import (
    destination_id,
    has_long_header,
    is_initial,
)
from anvilthread.routing.stateless_reset import stateless_reset
from anvilthread.transport.udp_socket import bind_udp, receive_all

OnReport = Callable[[bytes, tuple[str, int]], None]

_ADDRESS: Final = slice(2, 8)
_ENDPOINT: Final = struct.Struct('!4sH')
# Looking a member of an enumeration up costs as much as counting it.
_FORWARDED: Final = PacketFate.FORWARDED
_ANSWERED: Final = PacketFate.ANSWERED

#: Agents whose endpoint is kept; replaced VMs would otherwise add up.
_MAX_ENDPOINTS: Final = 131_072


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
        '_forward_end',
        '_listeners',
        '_on_report',
        '_placer',
        '_socket',
        '_sources',
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
        self._forward_end = forward_end(address.pack())
        self._codec = codec
        self._encapsulation = encapsulation
        self._placer = placer
        self._agents = agents
        self._on_report = on_report
        self._listeners: dict[Address, ServiceListener] = {}
        self._sources: dict[bytes, ServiceListener] = {}
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
        self._sources[listener.answer_source] = listener

    def remove_listener(self, service_address: Address) -> None:
        """Closes the listener of a service address."""
        listener = self._listeners.pop(service_address, None)
        if listener is not None:
            self._sources.pop(listener.answer_source)
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
        block = self._codec.decrypt_short(payload)
        if block is None:
            self._forward_other(listener, payload, sender)
        else:
            self._forward_to(listener, payload, sender, block)

    def _forward_other(
        self,
        listener: ServiceListener,
        payload: bytes,
        sender: tuple[str, int],
    ) -> None:
        """Handles long headers and connection IDs that we did not issue."""
        connection_id = destination_id(payload)
        if connection_id is None:
            self._counters.add(PacketFate.DROPPED_MALFORMED)
            return
        block = self._codec.decrypt(connection_id)
        if block is None:
            self._place(listener, payload, sender, connection_id)
        else:
            self._forward_to(listener, payload, sender, block)

    def _forward_to(
        self,
        listener: ServiceListener,
        payload: bytes,
        sender: tuple[str, int],
        block: bytes,
    ) -> None:
        agent = block[_ADDRESS]
        if not block.startswith(listener.packed_service):
            self._counters.add(PacketFate.DROPPED_WRONG_SERVICE)
            return
        if self._agents.must_reset(agent):
            self._reset(listener, payload, sender)
            return
        wire = self._encapsulation.encode_forward(
            listener.forward_start, sender, self._forward_end, payload
        )
        self._send(wire, self._endpoints.get(agent) or self._endpoint(agent))
        self._counters.add(_FORWARDED)

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
    ) -> None:
        reset = None
        connection_id = destination_id(payload)
        if connection_id is not None and not has_long_header(payload):
            reset = stateless_reset(self._codec, connection_id, len(payload))
        if reset is None:
            self._counters.add(PacketFate.DROPPED_UNKNOWN_CONNECTION)
            return
        listener.send(reset, sender)
        self._counters.add(PacketFate.RESET)

    def _receive_answer(self, wire: bytes, sender: tuple[str, int]) -> None:
        answer = self._encapsulation.decode_answer(wire)
        if answer is None:
            self._receive_other(wire, sender)
            return
        listener = self._sources.get(answer.source)
        if listener is None:
            self._counters.add(PacketFate.DROPPED_UNKNOWN_ADDRESS)
            return
        listener.send(answer.payload, answer.client)
        self._counters.add(_ANSWERED)

    def _receive_other(self, wire: bytes, sender: tuple[str, int]) -> None:
        """Takes load reports; other kinds are not for balancers."""
        datagram = self._encapsulation.decode(wire)
        if datagram is None:
            self._counters.add(PacketFate.DROPPED_FORGED)
        elif datagram.kind is DatagramKind.REPORT:
            self._on_report(datagram.payload, sender)
        else:
            self._counters.add(PacketFate.DROPPED_MALFORMED)

    def _send(self, wire: bytes, endpoint: tuple[str, int]) -> None:
        try:
            self._socket.sendto(wire, endpoint)
        except OSError:
            self._counters.add(PacketFate.DROPPED_UNREACHABLE)

    def _endpoint(self, packed: bytes) -> tuple[str, int]:
        if len(self._endpoints) >= _MAX_ENDPOINTS:
            self._endpoints.clear()
        endpoint = Address.unpack(packed).endpoint
        self._endpoints[packed] = endpoint
        return endpoint


def pack_endpoint(endpoint: tuple[str, int]) -> bytes:
    """Packs the host and port of a socket call into six bytes."""
    host, port = endpoint
    return _ENDPOINT.pack(inet_aton(host), port)
