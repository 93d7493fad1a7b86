"""A datagram encapsulated between balancer and agent."""

from anvilthread.address import Address
from anvilthread.routing.datagram_kind import DatagramKind


class Encapsulated:
    """A QUIC datagram or load report with its routing fields.

    Args:
        kind: Kind of the payload.
        service: Number of the service to whose address the client sends.
        service_address: Destination address of the client's packets and source
            address of the packets to the client.
        client: Address of the client.
        balancer: Data address of the balancer that received the packet or that
            sends it to the client.
        payload: The QUIC datagram, or an encoded load report.
        alternate: Agent to which a first packet may be passed on; None if there
            is none, which is encoded as all zeros (host 0.0.0.0, port 0).
        hops: Number of times an agent has passed the packet on.
    """

    __slots__ = (
        'alternate',
        'balancer',
        'client',
        'hops',
        'kind',
        'payload',
        'service',
        'service_address',
    )

    def __init__(
        self,
        *,
        kind: DatagramKind,
        service: int,
        service_address: Address,
        client: Address,
        balancer: Address,
        payload: bytes,
        alternate: Address | None = None,
        hops: int = 0,
    ) -> None:
        self.kind = kind
        self.service = service
        self.service_address = service_address
        self.client = client
        self.balancer = balancer
        self.payload = payload
        self.alternate = alternate
        self.hops = hops
