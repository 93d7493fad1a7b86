"""Where a first packet goes."""

import msgspec

from anvilthread.address import Address


class PlacementDecision(msgspec.Struct, frozen=True, kw_only=True):
    """The agent of a new connection and the second choice.

    Args:
        agent: Data address of the agent that gets the first packet.
        alternate: Agent to which it passes the packet when it is over its
            bound or draining; None when there is no other candidate.
    """

    agent: Address
    alternate: Address | None = None
