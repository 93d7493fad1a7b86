"""Indexes of the member table."""

from typing import TypeVar

from anvilthread.address import Address
from anvilthread.membership.member import Member
from anvilthread.membership.member_pool import MemberPool
from anvilthread.membership.member_ring import MemberRing
from anvilthread.membership.role import Role

_Key = TypeVar('_Key')


class MemberIndex:
    """Control addresses by service, role, site and data address."""

    __slots__ = ('_agents', '_balancers', '_data', '_live', '_ring', '_sites')

    def __init__(self) -> None:
        self._live = MemberPool()
        self._ring = MemberRing()
        self._balancers = MemberPool()
        self._agents: dict[int, MemberPool] = {}
        self._sites: dict[str, MemberPool] = {}
        self._data: dict[Address, Member] = {}

    @property
    def live(self) -> MemberPool:
        """Members that are not dead or left."""
        return self._live

    @property
    def ring(self) -> MemberRing:
        """The same members as a hash ring."""
        return self._ring

    @property
    def balancers(self) -> MemberPool:
        """Balancers that accept new work."""
        return self._balancers

    def agents(self, service: int) -> MemberPool:
        """Agents of a service that accept new work."""
        return self._agents.get(service) or MemberPool()

    def site(self, site: str) -> MemberPool:
        """Members of a site that are not dead or left."""
        return self._sites.get(site) or MemberPool()

    def by_data_address(self, data_address: Address) -> Member | None:
        """Returns the member with a data address, in any state."""
        return self._data.get(data_address)

    def add(self, member: Member) -> None:
        """Adds a member to the indexes that its state allows."""
        current = self._data.get(member.data_address)
        if current is None or _supersedes(member, current):
            self._data[member.data_address] = member
        if not member.is_live:
            return
        self._live.add(member.control_address)
        self._ring.add(member.control_address)
        site = self._sites.setdefault(member.site, MemberPool())
        site.add(member.control_address)
        if member.takes_work:
            self._add_available(member)

    def remove(self, member: Member) -> None:
        """Removes a member from all indexes."""
        current = self._data.get(member.data_address)
        if current and current.control_address == member.control_address:
            self._data.pop(member.data_address)
        self._live.discard(member.control_address)
        self._ring.discard(member.control_address)
        self._balancers.discard(member.control_address)
        _discard(self._sites, member.site, member.control_address)
        for service in member.services:
            _discard(self._agents, service, member.control_address)

    def _add_available(self, member: Member) -> None:
        if member.role == Role.BALANCER:
            self._balancers.add(member.control_address)
            return
        for service in member.services:
            pool = self._agents.setdefault(service, MemberPool())
            pool.add(member.control_address)


def _supersedes(member: Member, current: Member) -> bool:
    # A data address may be reused by a VM with another control address.
    return (member.is_live, member.incarnation) >= (
        current.is_live,
        current.incarnation,
    )


def _discard(
    pools: dict[_Key, MemberPool], key: _Key, address: Address
) -> None:
    pool = pools.get(key)
    if pool is None:
        return
    pool.discard(address)
    if not pool:
        pools.pop(key)
