"""Agents whose connections are lost."""

from anvilthread.membership import (
    MemberChange,
    MembershipNode,
    MemberState,
    Role,
)

_GONE = frozenset((MemberState.DEAD, MemberState.LEFT))


class LostAgents:
    """Follows the deaths of agents in the member table.

    Args:
        membership: The view of this balancer.
    """

    __slots__ = ('_membership', '_sites')

    def __init__(self, *, membership: MembershipNode) -> None:
        self._membership = membership
        self._sites: dict[bytes, str] = {}
        membership.table.subscribe(self._on_change)

    def must_reset(self, agent: bytes) -> bool:
        """Tells whether clients of an agent should be sent a reset.

        A site that is out of reach as a whole may be partitioned away, and
        its agents may still serve their clients through other balancers.

        Args:
            agent: Packed data address.
        """
        site = self._sites.get(agent)
        if site is None:
            return False
        return self._membership.site_in_contact(site)

    def _on_change(self, change: MemberChange) -> None:
        member = change.after or change.before
        if member is None or member.role is not Role.AGENT:
            return
        packed = member.data_address.pack()
        if change.after is not None and member.state in _GONE:
            self._sites[packed] = member.site
        else:
            self._sites.pop(packed, None)
