"""Tracks agents that have lost their connections."""

from anvilthread.membership import (
    MemberChange,
    MembershipNode,
    MemberState,
    Role,
)

_LOST_STATES = frozenset((MemberState.DEAD, MemberState.LEFT))


class LostAgents:
    """Tracks the agents that the member table marks as dead or left.

    Args:
        membership: Membership view of this balancer.
    """

    __slots__ = ('_lost_agent_sites', '_membership')

    def __init__(self, *, membership: MembershipNode) -> None:
        self._membership = membership
        self._lost_agent_sites: dict[bytes, str] = {}
        membership.table.subscribe(self._on_change)

    def must_reset(self, agent: bytes) -> bool:
        """Returns whether clients of an agent should be sent a reset.

        A site that is unreachable as a whole may be partitioned, and its
        agents may still serve their clients through other balancers.

        Args:
            agent: Packed data address.
        """
        site = self._lost_agent_sites.get(agent)
        if site is None:
            return False
        return self._membership.site_in_contact(site)

    def _on_change(self, change: MemberChange) -> None:
        member = change.after or change.before
        if member is None or member.role is not Role.AGENT:
            return
        packed = member.data_address.pack()
        if change.after is not None and member.state in _LOST_STATES:
            self._lost_agent_sites[packed] = member.site
        else:
            self._lost_agent_sites.pop(packed, None)
