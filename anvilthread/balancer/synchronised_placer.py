"""Placement that requires an up-to-date membership view."""

from anvilthread.membership import MembershipNode
from anvilthread.routing.placement import Placement
from anvilthread.routing.placement_decision import PlacementDecision


class SynchronisedPlacer:
    """Refuses placement while this balancer's membership view may be stale.

    A process that was frozen would otherwise place connections on agents
    that died or drained in the meantime. The client retransmits its first
    packet, and the network fabric may deliver the retransmission to any
    balancer.

    Args:
        membership: Membership view of this balancer.
        placement: Chooses agents.
    """

    __slots__ = ('_membership', '_placement')

    def __init__(
        self, *, membership: MembershipNode, placement: Placement
    ) -> None:
        self._membership = membership
        self._placement = placement

    def place(self, service: int, flow_key: bytes) -> PlacementDecision | None:
        """Returns the choice; None without an agent or a current view."""
        if not self._membership.is_synchronised:
            return None
        return self._placement.place(service, flow_key)
