"""A packet that an agent has offered to its target."""

import msgspec

from anvilthread.flows.flow_key import FlowKey


class Offer(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """A question to the target whether it holds a flow.

    Attributes:
        key: The flow.
        finder: Host of the agent that looks for the holder.
        balancer: Host of the balancer that has the packets of the flow.
        started_ms: Time of the offer.
        is_heard: Whether the target had shown life before the offer. What a
            target that is yet to start does not return, it does not hold.
        is_due: Whether the time for an answer had passed at the last tick.
    """

    key: FlowKey
    finder: str
    balancer: str
    started_ms: int
    is_heard: bool
    is_due: bool = False
