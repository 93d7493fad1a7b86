"""Clients that open flows on the platform."""

import itertools
import time
from random import Random
from typing import Final, Protocol

import gevent
from gevent import socket
from gevent.event import Event

from standins.platform_packet import (
    ACK,
    FIN,
    RESET,
    SYN,
    PlatformPacket,
    read_packet,
)
from standins.platform_router import PlatformRouter

#: Time-out of each copy of the opening packet.
_OPENING_TIMEOUTS_S: Final = (0.2, 0.4, 0.8)
#: Ports of flows; the first ones are used again after the last one.
_FIRST_PORT: Final = 1024
_LAST_PORT: Final = 65_535

_INITIAL_RETRANSMIT_S: Final = 0.2
_ANSWER_TIMEOUT_S: Final = 4.0


class ClientObserver(Protocol):
    """Receives the events of clients."""

    def on_request(self, request: str, service: str) -> None:
        """A client sends a request."""

    def on_answer(self, request: str, service: str, body: bytes) -> None:
        """A client has received an answer."""

    def on_reset(self, flow: 'ClientFlow') -> None:
        """A client has received a reset of an open flow."""

    def on_altered_packet(self, target: str) -> None:
        """A client has received a packet that was altered on the way."""


class ClientFlow:
    """State of one flow at its client.

    Args:
        client_endpoint: Address and port of the client.
        service_endpoint: Address and port of the service.
        start: First sequence number.
    """

    def __init__(
        self,
        *,
        client_endpoint: tuple[str, int],
        service_endpoint: tuple[str, int],
        start: int,
    ) -> None:
        self.client_endpoint = client_endpoint
        self.service_endpoint = service_endpoint
        self.sequence = start
        self.acknowledged = 0
        self.is_open = False
        self.is_reset = False
        self.answer = b''
        self.changed = Event()


class PlatformClient:
    """Opens flows from one address.

    Args:
        host: Address of the client.
        port: UDP port at which every client receives packets.
        router: Router that forwards its packets.
        observer: Receives the events of the client.
        random: Source of sequence numbers.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        router: PlatformRouter,
        observer: ClientObserver,
        random: Random,
    ) -> None:
        self._host = host
        self._router = router
        self._observer = observer
        self._random = random
        self._ports = itertools.cycle(range(_FIRST_PORT, _LAST_PORT + 1))
        self._flows_by_port: dict[int, ClientFlow] = {}
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, port))
        gevent.spawn(self._receive)

    def open(self, service_endpoint: tuple[str, int]) -> ClientFlow | None:
        """Opens a flow; None if it is reset or not confirmed in time."""
        port = self._next_free_port()
        flow = ClientFlow(
            client_endpoint=(self._host, port),
            service_endpoint=service_endpoint,
            start=self._random.getrandbits(30),
        )
        self._flows_by_port[port] = flow
        for copy, timeout_s in enumerate(_OPENING_TIMEOUTS_S):
            self._send(flow, SYN, b'', acknowledged=copy)
            flow.changed.wait(timeout_s)
            if flow.is_open:
                flow.sequence += 1
                return flow
            if flow.is_reset:
                break
        self._flows_by_port.pop(port, None)
        return None

    def request(self, flow: ClientFlow, request: str, service: str) -> bool:
        """Sends a request with retransmissions; returns whether it succeeds."""
        message = f'GET / HTTP/1.1\r\nX-Request-Id: {request}\r\n\r\n'.encode()
        self._observer.on_request(request, service)
        flow.answer = b''
        started_s = time.monotonic()
        timeout_s = _INITIAL_RETRANSMIT_S
        while time.monotonic() - started_s < _ANSWER_TIMEOUT_S:
            flow.changed.clear()
            self._send(flow, ACK, message)
            flow.changed.wait(timeout_s)
            timeout_s = min(timeout_s * 2, 1.6)
            if flow.answer or flow.is_reset:
                break
        if not flow.answer:
            return False
        flow.sequence += len(message)
        self._observer.on_answer(request, service, flow.answer)
        self._send(flow, ACK, b'')
        return True

    def close(self, flow: ClientFlow) -> None:
        """Closes a flow."""
        if not flow.is_reset:
            self._send(flow, FIN | ACK, b'')
        self._flows_by_port.pop(flow.client_endpoint[1], None)

    def handle(self, packet: PlatformPacket) -> None:
        """Handles an unaltered packet or a reset."""
        flow = self._flows_by_port.get(packet.destination[1])
        if flow is None:
            return
        if packet.flags & RESET:
            self._handle_reset(flow)
        else:
            self._handle_packet(flow, packet)

    def _next_free_port(self) -> int:
        return next(
            port for port in self._ports if port not in self._flows_by_port
        )

    def _send(
        self,
        flow: ClientFlow,
        flags: int,
        body: bytes,
        acknowledged: int | None = None,
    ) -> None:
        packet = PlatformPacket(
            source=flow.client_endpoint,
            destination=flow.service_endpoint,
            flags=flags,
            sequence=flow.sequence,
            acknowledged=(
                flow.acknowledged if acknowledged is None else acknowledged
            ),
            body=body,
        )
        self._router.send(
            packet.encode(), (flow.client_endpoint, flow.service_endpoint)
        )

    def _receive(self) -> None:
        while True:
            content, _ = self._socket.recvfrom(2048)
            packet, is_intact = read_packet(content)
            if is_intact or packet.flags & RESET:
                self.handle(packet)
            elif packet.destination[1] in self._flows_by_port:
                self._observer.on_altered_packet(self._host)

    def _handle_reset(self, flow: ClientFlow) -> None:
        flow.is_reset = True
        if flow.is_open:
            self._observer.on_reset(flow)
        flow.changed.set()

    def _handle_packet(self, flow: ClientFlow, packet: PlatformPacket) -> None:
        if packet.flags & SYN:
            if not flow.is_open:
                flow.is_open = True
                flow.acknowledged = packet.sequence + 1
                flow.changed.set()
        elif packet.body and packet.sequence == flow.acknowledged:
            flow.acknowledged += len(packet.body)
            flow.answer = packet.body
            flow.changed.set()
        elif packet.body:
            self._send(flow, ACK, b'')
