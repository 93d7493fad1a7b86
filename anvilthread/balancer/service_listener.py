"""A socket that receives the packets for one service address."""

from gevent import socket

from anvilthread.address import Address
from anvilthread.routing.encapsulation_codec import (
    answer_source,
    forward_start,
)
from anvilthread.transport.udp_socket import bind_udp


class ServiceListener:
    """Receives the packets for one service address.

    Args:
        service: Number of the service.
        service_address: The address that clients send to.
        bind_address: The address to receive on. It differs from the service
            address when the network fabric rewrites destinations.

    Raises:
        OSError: If the address cannot be bound.
    """

    __slots__ = (
        'answer_source',
        'forward_start',
        'packed_service',
        'service',
        'service_address',
        'socket',
    )

    def __init__(
        self,
        *,
        service: int,
        service_address: Address,
        bind_address: Address,
    ) -> None:
        self.service = service
        self.service_address = service_address
        self.packed_service = service.to_bytes(2, 'big')
        packed = service_address.pack()
        self.forward_start = forward_start(
            service=service, service_address=packed
        )
        self.answer_source = answer_source(
            service=service, service_address=packed
        )
        self.socket: socket.socket = bind_udp(bind_address)

    def send(self, payload: bytes, endpoint: tuple[str, int]) -> None:
        """Sends a datagram to a client; send errors are ignored."""
        try:
            self.socket.sendto(payload, endpoint)
        except OSError:
            # QUIC retransmits lost packets, so loss needs no handling.
            return

    def close(self) -> None:
        """Closes the socket."""
        self.socket.close()
