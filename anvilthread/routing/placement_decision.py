"""Placement of a first packet."""

import msgspec

from anvilthread.address import Address


class PlacementDecision(msgspec.Struct, frozen=True, kw_only=True):
    """The agent chosen for a new connection and the alternate.

    Args:
        agent: Data address of the agent that receives the first packet.
        alternate: Agent to which the first one passes the packet on when it is
            over its admission bound or draining; None if there is no other
            candidate.
    """

    agent: Address
    alternate: Address | None = None
