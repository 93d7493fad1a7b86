"""One packet of a flow."""

import msgspec

from anvilthread.flows.flow_key import FlowKey


class FlowPacket(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Parsed header fields of a packet, as balancers and agents use them.

    Attributes:
        key: Flow that the packet belongs to, in either direction.
        content: The packet as received.
        is_syn: Whether it opens a flow.
        is_ack: Whether it acknowledges received data.
        is_fin: Whether its sender closes its direction of the flow.
        is_reset: Whether it aborts the flow.
        is_bounced: Whether a target has returned it as undeliverable.
        mark: Number that an agent has put into the packet to recognise it
            when the target returns it; 0 for none.
        acknowledged: Stream position up to which the sender has received
            data; in the SYN of a client, the number of retransmissions.
        size: Payload size in bytes.
    """

    key: FlowKey
    content: bytes
    is_syn: bool
    is_ack: bool
    is_fin: bool
    is_reset: bool
    is_bounced: bool
    mark: int
    acknowledged: int
    size: int

    @property
    def opens(self) -> bool:
        """Whether it is the opening packet of a client (SYN without ACK)."""
        return self.is_syn and not self.is_ack
