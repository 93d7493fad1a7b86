"""Placement that waits for a current view."""

from anvilthread.membership import MembershipNode
from anvilthread.routing.placement import Placement
from anvilthread.routing.placement_decision import PlacementDecision


class SynchronisedPlacer:
    """Places nothing while the view of this balancer may be stale.

    A process that was frozen would otherwise place on agents that died or
    drained in the meantime. The client repeats its first packet, and the
    fabric hands the repeat to any balancer.

    Args:
        membership: The view.
        placement: Chooses agents.
    """

    __slots__ = ('_membership', '_placement')

    def __init__(
        self, *, membership: MembershipNode, placement: Placement
    ) -> None:
        self._membership = membership
        self._placement = placement

    def place(self, service: int, flow_key: bytes) -> PlacementDecision | None:
        """Returns the choice, or None without an agent or a current view."""
        if not self._membership.is_synchronised:
            return None
        return self._placement.place(service, flow_key)
