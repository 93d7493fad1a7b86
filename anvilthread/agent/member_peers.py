"""Other agents of the same services."""

from collections.abc import Sequence

from anvilthread.address import Address
from anvilthread.clock import Clock
from anvilthread.membership import Member, MembershipNode
from anvilthread.outcomes.agent_identity import AgentIdentity
from anvilthread.outcomes.handover import Peer
from anvilthread.routing.load_report import LoadReport
from anvilthread.routing.load_table import LoadTable


class MemberPeers:
    """Live agents from the member table with their latest load reports.

    Args:
        clock: Clock of the age of reports.
        membership: Membership of this agent.
    """

    __slots__ = ('_loads', '_membership')

    def __init__(self, *, clock: Clock, membership: MembershipNode) -> None:
        self._membership = membership
        self._loads = LoadTable(clock=clock)

    @property
    def loads(self) -> LoadTable:
        """Load reports of the peers."""
        return self._loads

    def members(self, service: int) -> list[Member]:
        """Returns the live agents of a service without this one."""
        local_address = self._membership.member.control_address
        return [
            member
            for member in self._membership.table.live_agents(service)
            if member.control_address != local_address
        ]

    def list_peers(self, service: int) -> Sequence[Peer]:
        """Returns the live agents of a service that are not draining."""
        return [self._to_peer(member) for member in self.members(service)]

    def least_loaded(self, service: int) -> Address | None:
        """Returns the data address of the peer with the fewest connections."""
        members = self.members(service)
        if not members:
            return None
        chosen = min(
            members,
            key=lambda member: self._connections(member.data_address),
        )
        return chosen.data_address

    def _to_peer(self, member: Member) -> Peer:
        report = self._latest_report(member.data_address)
        return Peer(
            identity=AgentIdentity(
                address=member.request_address,
                incarnation=member.incarnation,
            ),
            busy=0 if report is None else report.busy,
            waiting=0 if report is None else report.waiting,
            slots=member.slots,
        )

    def _connections(self, agent: Address) -> int:
        report = self._latest_report(agent)
        return 0 if report is None else report.connections

    def _latest_report(self, agent: Address) -> LoadReport | None:
        return self._loads.load(agent).report
