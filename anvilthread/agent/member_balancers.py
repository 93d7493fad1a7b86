"""Balancers from the member table."""

from collections.abc import Sequence

from anvilthread.address import Address
from anvilthread.membership import MemberChange, MembershipNode, Role


class MemberBalancers:
    """Tracks the balancers that can forward answers.

    Args:
        membership: Membership of this agent.
    """

    __slots__ = ('_gone', '_live', '_membership')

    def __init__(self, *, membership: MembershipNode) -> None:
        self._membership = membership
        self._live: list[Address] = []
        self._gone: set[Address] = set()
        membership.table.subscribe(self._on_member_change)
        membership.table.sites.subscribe(self._on_site_change)

    def live_balancers(self) -> Sequence[Address]:
        """Data addresses of the balancers believed to be alive."""
        return self._live

    def is_gone(self, balancer: Address) -> bool:
        """Returns whether a balancer is known to be dead or to have left."""
        return balancer in self._gone

    def _on_member_change(self, change: MemberChange) -> None:
        member = change.after or change.before
        if member is None or member.role is not Role.BALANCER:
            return
        if change.after is None or member.is_live:
            self._gone.discard(member.data_address)
        else:
            self._gone.add(member.data_address)
        self._update_live()

    def _on_site_change(self, site: str, reachable: bool) -> None:
        self._update_live()

    def _update_live(self) -> None:
        self._live = sorted(
            member.data_address
            for member in self._membership.table.live_balancers()
        )
