"""One packet of a flow."""

import msgspec

from anvilthread.flows.flow_key import FlowKey


class FlowPacket(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """What the balancer and the agent read of a packet.

    Attributes:
        key: Flow that the packet belongs to, in either direction.
        content: The packet as received.
        is_syn: Whether it opens a flow.
        is_ack: Whether it acknowledges.
        is_fin: Whether its sender has nothing more to send.
        is_reset: Whether it ends the flow at once.
        is_bounced: Whether a target has returned it undelivered.
        mark: Number that a node has put into the packet; 0 for none.
        acknowledged: Position up to which the sender has received data; for
            the SYN of a client the number of copies sent before.
        size: Bytes of data carried.
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
        """Whether a client asks for a new flow."""
        return self.is_syn and not self.is_ack
