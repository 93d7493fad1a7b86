"""The table of all members that one node knows."""

from collections.abc import Callable, Iterator

from anvilthread.address import Address
from anvilthread.membership.digest import Digest
from anvilthread.membership.member import Member
from anvilthread.membership.member_change import MemberChange
from anvilthread.membership.member_index import MemberIndex
from anvilthread.membership.member_pool import MemberPool
from anvilthread.membership.site_reachability import SiteReachability

ChangeListener = Callable[[MemberChange], None]


class MemberTable:
    """Members by control address, with indexes for common queries.

    Queries for live members leave out the members of sites that this node
    cannot reach. Dead and left members stay known until they are forgotten.
    """

    __slots__ = ('_digest', '_index', '_listeners', '_members', '_sites')

    def __init__(self) -> None:
        self._members: dict[Address, Member] = {}
        self._digest = Digest()
        self._index = MemberIndex()
        self._sites = SiteReachability()
        self._listeners: list[ChangeListener] = []

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self) -> Iterator[Member]:
        return iter(list(self._members.values()))

    @property
    def digest(self) -> Digest:
        """Digests of the members that are neither dead nor left."""
        return self._digest

    @property
    def index(self) -> MemberIndex:
        """Control addresses of the live members, by several keys."""
        return self._index

    @property
    def sites(self) -> SiteReachability:
        """The sites that this node can reach."""
        return self._sites

    def get(self, control_address: Address) -> Member | None:
        """Returns the member with a control address, in any state."""
        return self._members.get(control_address)

    def by_data_address(self, data_address: Address) -> Member | None:
        """Returns the member with a data address, in any state."""
        return self._index.by_data_address(data_address)

    def live_agents(self, service: int) -> list[Member]:
        """Returns the reachable agents of a service that accept new work."""
        agents = _look_up(self._members, self._index.agents(service))
        return self._sites.select(agents)

    def live_balancers(self) -> list[Member]:
        """Returns the reachable balancers that accept new work."""
        balancers = _look_up(self._members, self._index.balancers)
        return self._sites.select(balancers)

    def members_of_site(self, site: str) -> list[Member]:
        """Returns the members of a site that are not dead or left."""
        return _look_up(self._members, self._index.site(site))

    def subscribe(self, listener: ChangeListener) -> None:
        """Calls a listener after every change of a member."""
        self._listeners.append(listener)

    def put(self, member: Member) -> bool:
        """Applies a newer description of a member.

        Args:
            member: Applied if its version is higher than the known one, or
                the same with a higher configuration revision.

        Returns:
            Whether the version has changed.
        """
        before = self._members.get(member.control_address)
        if before is None or member.version > before.version:
            self._replace(before, member)
            return True
        revision = member.configuration_revision
        if member.version == before.version:
            if revision > before.configuration_revision:
                self._replace(before, before.with_revision(revision))
        return False

    def forget(self, control_address: Address) -> None:
        """Removes a member."""
        member = self._members.get(control_address)
        if member is not None:
            self._replace(member, None)

    def _replace(self, before: Member | None, after: Member | None) -> None:
        if before is not None:
            self._digest.remove(before)
            self._index.remove(before)
            self._members.pop(before.control_address)
        if after is not None:
            self._members[after.control_address] = after
            self._digest.add(after)
            self._index.add(after)
        change = MemberChange(before=before, after=after)
        for listener in self._listeners:
            listener(change)


def _look_up(members: dict[Address, Member], pool: MemberPool) -> list[Member]:
    return [members[address] for address in pool.addresses]
