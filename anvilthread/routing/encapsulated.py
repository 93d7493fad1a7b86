"""A QUIC packet on its way between balancer and agent."""

from anvilthread.address import Address
from anvilthread.routing.datagram_kind import DatagramKind


class Encapsulated:
    """A client's datagram with the addresses that an agent needs.

    Args:
        kind: What the datagram carries.
        service: Number of the service whose address the client wrote to.
        service_address: The address that the client wrote to; answers leave
            from it.
        client: Address of the client.
        balancer: Data address of the balancer at which the packet arrived or
            from which it goes to the client.
        payload: The QUIC datagram, or an encoded load report.
        alternate: Second choice for a first packet; port 0 when there is none.
        hops: How often an agent has passed the packet on.
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
