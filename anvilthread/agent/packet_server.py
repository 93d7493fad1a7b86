"""The agent's side of the data path."""

from collections.abc import Callable
from functools import partial
from typing import Final

import gevent
from aioquic.quic.configuration import QuicConfiguration

from anvilthread.address import Address
from anvilthread.agent.answer_path import AnswerPath
from anvilthread.agent.balancers import Balancers
from anvilthread.agent.client_connection import ClientConnection
from anvilthread.agent.connection_admission import ConnectionAdmission
from anvilthread.agent.connection_id_issuer import ConnectionIdIssuer
from anvilthread.agent.connection_table import ConnectionTable
from anvilthread.agent.routable_quic import RoutableQuic
from anvilthread.agent.stream_handler import StreamHandler
from anvilthread.clock import Clock
from anvilthread.routing.connection_id_codec import (
    CONNECTION_ID_SIZE,
    ConnectionIdCodec,
)
from anvilthread.routing.datagram_kind import DatagramKind
from anvilthread.routing.encapsulated import Encapsulated
from anvilthread.routing.encapsulation_codec import EncapsulationCodec
from anvilthread.routing.first_packet_action import FirstPacketAction
from anvilthread.routing.packet_counters import PacketCounters
from anvilthread.routing.packet_fate import PacketFate
from anvilthread.routing.quic_header import (
    destination_id,
    has_long_header,
    is_initial,
)
from anvilthread.routing.stateless_reset import stateless_reset
from anvilthread.transport.udp_socket import bind_udp, receive_all

#: Half-open connections beyond this number are refused, so that a flood of
#: first packets cannot exhaust the memory of a small VM.
_MAX_HALF_OPEN_CONNECTIONS: Final = 4096

OnReport = Callable[[bytes, tuple[str, int]], None]


class PacketServer:
    """Receives encapsulated packets and dispatches them to connections.

    Args:
        clock: Clock of the connections.
        address: Data address of this agent.
        services: Numbers of the services that this agent serves.
        configuration: TLS and QUIC settings.
        issuer: Creates connection IDs.
        encapsulation: Codec of the datagrams to and from balancers.
        balancers: The balancers believed to be alive.
        admission: Decides about first packets.
        handler: Answers requests.
        on_report: Called with each load report of a peer and its sender.
        on_opened: Called when a connection begins.
        on_closed: Called when a connection has ended.
    """

    __slots__ = (
        '_admission',
        '_balancers',
        '_clock',
        '_configuration',
        '_counters',
        '_encapsulation',
        '_handler',
        '_issuer',
        '_on_closed',
        '_on_opened',
        '_on_report',
        '_socket',
        '_table',
        'address',
        'services',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        address: Address,
        services: frozenset[int],
        configuration: QuicConfiguration,
        issuer: ConnectionIdIssuer,
        encapsulation: EncapsulationCodec,
        balancers: Balancers,
        admission: ConnectionAdmission,
        handler: StreamHandler,
        on_report: OnReport = lambda *_: None,
        on_opened: Callable[[ClientConnection], None] = lambda _: None,
        on_closed: Callable[[ClientConnection], None] = lambda _: None,
    ) -> None:
        self.address = address
        self._clock = clock
        self.services = services
        self._configuration = configuration
        self._issuer = issuer
        self._encapsulation = encapsulation
        self._balancers = balancers
        self._admission = admission
        self._handler = handler
        self._on_report = on_report
        self._on_opened = on_opened
        self._on_closed = on_closed
        self._table = ConnectionTable()
        self._counters = PacketCounters()
        self._socket = bind_udp(address)

    @property
    def table(self) -> ConnectionTable:
        """The connections of this agent."""
        return self._table

    @property
    def connections(self) -> int:
        """Number of connections that clients use."""
        return self._table.count_active(self._clock.now_ms())

    @property
    def counters(self) -> PacketCounters:
        """Packet counts by fate."""
        return self._counters

    def use_keys(
        self, codec: ConnectionIdCodec, encapsulation: EncapsulationCodec
    ) -> None:
        """Replaces the codecs after a key rotation."""
        self._issuer.codec = codec
        self._encapsulation = encapsulation

    @property
    def issuer(self) -> ConnectionIdIssuer:
        """Creates the connection IDs of this agent."""
        return self._issuer

    def use_configuration(self, configuration: QuicConfiguration) -> None:
        """Replaces the TLS and QUIC settings of new connections."""
        self._configuration = configuration

    def run(self) -> None:
        """Receives packets until the socket is closed."""
        receive_all(self._socket, self._receive)

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()

    def send(
        self,
        datagram: Encapsulated,
        receiver: Address,
    ) -> None:
        """Sends a datagram; it is dropped if the socket refuses it."""
        try:
            self._socket.sendto(
                self._encapsulation.encode(datagram), receiver.endpoint
            )
        except OSError:
            self._counters.add(PacketFate.DROPPED_UNREACHABLE)

    def _receive(self, encoded: bytes, sender: tuple[str, int]) -> None:
        datagram = self._encapsulation.decode(encoded)
        if datagram is None:
            self._counters.add(PacketFate.DROPPED_FORGED)
            return
        if datagram.kind is DatagramKind.REPORT:
            self._on_report(datagram.payload, sender)
            return
        if datagram.service not in self.services:
            self._counters.add(PacketFate.DROPPED_WRONG_SERVICE)
            return
        connection_id = destination_id(datagram.payload)
        if connection_id is None:
            self._counters.add(PacketFate.DROPPED_MALFORMED)
            return
        self._dispatch(datagram, connection_id)

    def _dispatch(self, datagram: Encapsulated, connection_id: bytes) -> None:
        connection = self._table.find(connection_id)
        if connection is None:
            connection = self._table.find_initial(
                datagram.client, connection_id
            )
        if connection is None:
            self._receive_unmatched(datagram, connection_id)
        elif connection.service == datagram.service:
            self._counters.add(PacketFate.FORWARDED)
            connection.deliver(datagram)
        else:
            self._counters.add(PacketFate.DROPPED_WRONG_SERVICE)

    def _receive_unmatched(
        self, datagram: Encapsulated, connection_id: bytes
    ) -> None:
        if len(connection_id) == CONNECTION_ID_SIZE:
            if self._issuer.codec.decrypt(connection_id) is not None:
                self._reset(datagram, connection_id)
                return
        if is_initial(datagram.payload):
            self._admit(datagram, connection_id)
        else:
            self._counters.add(PacketFate.DROPPED_NOT_INITIAL)

    def _admit(self, datagram: Encapsulated, connection_id: bytes) -> None:
        match self._admission.decide(datagram, self.connections):
            case FirstPacketAction.ACCEPT:
                self._open(datagram, connection_id)
            case FirstPacketAction.PASS_ON if datagram.alternate is not None:
                datagram.hops += 1
                self._counters.add(PacketFate.PASSED_ON)
                self.send(datagram, datagram.alternate)
            case _:
                self._counters.add(PacketFate.DROPPED_NO_AGENT)

    def _open(self, datagram: Encapsulated, client_chosen_id: bytes) -> None:
        if self._table.half_open >= _MAX_HALF_OPEN_CONNECTIONS:
            self._counters.add(PacketFate.DROPPED_OVER_LIMIT)
            return
        ids = self._table.create_ids(datagram.client, client_chosen_id)
        connection = ClientConnection(
            clock=self._clock,
            quic=RoutableQuic(
                configuration=self._configuration,
                original_destination_id=client_chosen_id,
                issuer=self._issuer,
                service=datagram.service,
                on_issued=ids.issue,
            ),
            first_packet=datagram,
            answer_path=AnswerPath(
                clock=self._clock,
                balancers=self._balancers,
                latest_balancer=datagram.balancer,
            ),
            handler=self._handler,
            send=self._send_answer,
            on_retired=ids.retire,
        )
        self._table.add(connection, ids)
        self._counters.add(PacketFate.PLACED)
        self._on_opened(connection)
        task = gevent.spawn(connection.run)
        task.link(partial(self._remove, connection))
        connection.deliver(datagram)

    def _remove(self, connection: ClientConnection, _: object) -> None:
        self._table.remove(connection)
        self._on_closed(connection)

    def _send_answer(
        self, connection: ClientConnection, payload: bytes, balancer: Address
    ) -> None:
        self._counters.add(PacketFate.ANSWERED)
        self.send(
            Encapsulated(
                kind=DatagramKind.ANSWER,
                service=connection.service,
                service_address=connection.service_address,
                client=connection.client,
                balancer=balancer,
                payload=payload,
            ),
            balancer,
        )

    def _reset(self, datagram: Encapsulated, connection_id: bytes) -> None:
        # The client of a lost handshake sends long headers until its own
        # timeout; a stateless reset answers short headers only (RFC 9000,
        # 10.3).
        if has_long_header(datagram.payload):
            self._counters.add(PacketFate.DROPPED_UNKNOWN_CONNECTION)
            return
        payload = stateless_reset(
            self._issuer.codec, connection_id, len(datagram.payload)
        )
        if payload is None:
            self._counters.add(PacketFate.DROPPED_UNKNOWN_CONNECTION)
            return
        self._counters.add(PacketFate.RESET)
        datagram.kind = DatagramKind.ANSWER
        datagram.payload = payload
        self.send(datagram, datagram.balancer)
