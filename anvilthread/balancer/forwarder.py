"""The balancer's data path."""

import struct
from collections.abc import Callable
from functools import partial
from socket import inet_aton
from typing import Final

from anvilthread.address import Address
from anvilthread.balancer.connection_placer import ConnectionPlacer
from anvilthread.balancer.reset_policy import ResetPolicy
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

#: Position of the agent's data address in a decrypted connection ID.
_AGENT_ADDRESS: Final = slice(2, 8)
_ENDPOINT_FORMAT: Final = struct.Struct('!4sH')
# Bound once: looking up an enumeration member costs as much as counting the
# packet.
_FORWARDED: Final = PacketFate.FORWARDED
_ANSWERED: Final = PacketFate.ANSWERED

#: Largest number of cached agent endpoints; without a bound, the entries of
#: replaced VMs would accumulate.
_MAX_CACHED_ENDPOINTS: Final = 131_072


class Forwarder:
    """Forwards packets between clients and agents without per-flow state.

    Args:
        address: Data address of this balancer.
        codec: Decrypts connection IDs.
        encapsulation: Codec of the datagrams to and from agents.
        placer: Chooses agents for first packets.
        agents: Knows which agents have lost their connections.
        on_report: Called with each load report and its sender.
    """

    __slots__ = (
        '_agent_endpoints',
        '_agents',
        '_codec',
        '_counters',
        '_encapsulation',
        '_forward_end',
        '_listeners',
        '_listeners_by_source',
        '_on_report',
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
        agents: ResetPolicy,
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
        self._listeners_by_source: dict[bytes, ServiceListener] = {}
        self._agent_endpoints: dict[bytes, tuple[str, int]] = {}
        self._counters = PacketCounters()
        self._socket = bind_udp(address)

    @property
    def counters(self) -> PacketCounters:
        """Counts of packets by what happened to them."""
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
        """Accepts answers of agents that name this service address."""
        self._listeners[listener.service_address] = listener
        self._listeners_by_source[listener.answer_source] = listener

    def remove_listener(self, service_address: Address) -> None:
        """Closes the listener of a service address."""
        listener = self._listeners.pop(service_address, None)
        if listener is not None:
            self._listeners_by_source.pop(listener.answer_source)
            listener.close()

    def run_answers(self) -> None:
        """Forwards answers of agents to clients until the socket closes."""
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
            self._forward_slow_path(listener, payload, sender)
        else:
            self._forward_to(listener, payload, sender, block)

    def _forward_slow_path(
        self,
        listener: ServiceListener,
        payload: bytes,
        sender: tuple[str, int],
    ) -> None:
        """Handles long headers and connection IDs not issued by this system."""
        connection_id = destination_id(payload)
        if connection_id is None:
            self._counters.add(PacketFate.DROPPED_MALFORMED)
            return
        block = self._codec.decrypt(connection_id)
        if block is None:
            self._place_connection(listener, payload, sender, connection_id)
        else:
            self._forward_to(listener, payload, sender, block)

    def _forward_to(
        self,
        listener: ServiceListener,
        payload: bytes,
        sender: tuple[str, int],
        block: bytes,
    ) -> None:
        agent = block[_AGENT_ADDRESS]
        if not block.startswith(listener.packed_service):
            self._counters.add(PacketFate.DROPPED_WRONG_SERVICE)
            return
        if self._agents.must_reset(agent):
            self._reset(listener, payload, sender)
            return
        wire = self._encapsulation.encode_forward(
            listener.forward_start, sender, self._forward_end, payload
        )
        self._send(
            wire,
            self._agent_endpoints.get(agent) or self._cache_endpoint(agent),
        )
        self._counters.add(_FORWARDED)

    def _place_connection(
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
            self._receive_report(wire, sender)
            return
        listener = self._listeners_by_source.get(answer.source)
        if listener is None:
            self._counters.add(PacketFate.DROPPED_UNKNOWN_ADDRESS)
            return
        listener.send(answer.payload, answer.client)
        self._counters.add(_ANSWERED)

    def _receive_report(self, wire: bytes, sender: tuple[str, int]) -> None:
        """Handles load reports; agents send balancers no other kind."""
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

    def _cache_endpoint(self, packed: bytes) -> tuple[str, int]:
        if len(self._agent_endpoints) >= _MAX_CACHED_ENDPOINTS:
            self._agent_endpoints.clear()
        endpoint = Address.unpack(packed).endpoint
        self._agent_endpoints[packed] = endpoint
        return endpoint


def pack_endpoint(endpoint: tuple[str, int]) -> bytes:
    """Packs the host and port of a socket call into six bytes."""
    host, port = endpoint
    return _ENDPOINT_FORMAT.pack(inet_aton(host), port)
