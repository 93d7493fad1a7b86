"""A process in the membership table."""

import msgspec

from anvilthread.address import Address
from anvilthread.membership.member_state import MemberState
from anvilthread.membership.role import Role


class Member(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """An immutable description of a balancer or agent.

    Args:
        control_address: Address of membership messages; the identity.
        role: Balancer or agent.
        site: Name of the site, at most 64 characters.
        data_address: Address of encapsulated datagrams.
        request_address: Address of requests between nodes.
        services: Numbers of the services, each 0 to 65535, at most 64.
        incarnation: A higher incarnation replaces a lower one.
        state: State within the incarnation.
        slots: Slots of the target; 0 for a balancer.
        configuration_revision: Last revision received from the member.
    """

    control_address: Address
    role: Role
    site: str
    data_address: Address
    request_address: Address
    services: tuple[int, ...] = ()
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE
    slots: int = 0
    configuration_revision: int = 0

    @property
    def version(self) -> tuple[int, MemberState]:
        """Order of two descriptions of the same control address."""
        return (self.incarnation, self.state)

    @property
    def is_live(self) -> bool:
        """Whether the member is neither dead nor left."""
        return self.state < MemberState.DEAD

    @property
    def takes_work(self) -> bool:
        """Whether new work may be sent to the member."""
        return self.state < MemberState.DRAINING

    def with_version(self, incarnation: int, state: MemberState) -> 'Member':
        """Returns the same member in another incarnation or state."""
        return msgspec.structs.replace(
            self, incarnation=incarnation, state=state
        )

    def with_revision(self, revision: int) -> 'Member':
        """Returns the same member with another configuration revision."""
        return msgspec.structs.replace(self, configuration_revision=revision)
