"""Placement candidates from the member table."""

from anvilthread.membership import Member, MemberChange, MemberTable, Role
from anvilthread.routing.candidate import Candidate
from anvilthread.routing.load_aware_placement import LoadAwarePlacement


class MemberCandidates:
    """Keeps the candidates of a placement in sync with the member table.

    Args:
        table: Membership view of this balancer.
        placement: Places new connections.
    """

    __slots__ = ('_placement', '_table')

    def __init__(
        self, *, table: MemberTable, placement: LoadAwarePlacement
    ) -> None:
        self._table = table
        self._placement = placement
        table.subscribe(self._on_member_change)
        table.sites.subscribe(self._on_site_change)

    def update_all(self) -> None:
        """Rebuilds the candidates of every service."""
        numbers: set[int] = set()
        for member in self._table:
            numbers.update(member.services)
        for number in numbers:
            self._update(number)
        self._update_balancers()

    def _on_member_change(self, change: MemberChange) -> None:
        numbers: set[int] = set()
        for member in (change.before, change.after):
            if member is not None:
                numbers.update(member.services)
        for number in numbers:
            self._update(number)
        latest = change.after or change.before
        if latest is not None and latest.role is Role.BALANCER:
            self._update_balancers()

    def _on_site_change(self, site: str, reachable: bool) -> None:
        self.update_all()

    def _update(self, service: int) -> None:
        agents = self._table.live_agents(service)
        self._placement.update(service, [_candidate(agent) for agent in agents])

    def _update_balancers(self) -> None:
        balancers = self._table.live_balancers()
        self._placement.update_balancers(
            sorted(member.data_address for member in balancers)
        )


def _candidate(member: Member) -> Candidate:
    return Candidate(
        agent=member.data_address,
        incarnation=member.incarnation,
        weight=max(member.slots, 1),
        site=member.site,
    )
