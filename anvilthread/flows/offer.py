"""A packet that an agent has offered to its target."""

import msgspec

from anvilthread.flows.flow_packet import FlowPacket


class Offer(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """A query to the target whether it holds a flow.

    Attributes:
        packet: The packet of the flow.
        balancer: Host of the balancer that searches for the holder.
        started_ms: Time of the offer.
        was_alive: Whether the target was alive at the time of the offer. A
            target that has not started returns nothing, so the missing
            return does not show that it holds the flow.
        is_due: Whether the offer had timed out at the last tick.
        kept_since_ms: Time at which the target was found not to have returned
            the packet; None before.
    """

    packet: FlowPacket
    balancer: str
    started_ms: int
    was_alive: bool
    is_due: bool = False
    kept_since_ms: int | None = None
