"""Membership nodes on a memory network in virtual time."""

from random import Random

from anvilthread.address import Address
from anvilthread.clock import ManualClock
from anvilthread.membership import (
    Member,
    MembershipNode,
    MembershipSettings,
    MemberState,
    Role,
)
from standins.memory_network import MemoryNetwork
from standins.pausable_clock import PausableClock
from standins.pausable_transport import PausableTransport

_START_MS = 1_000_000
#: Values in use of each octet of an address.
_HOSTS = 250


def address_of(number: int, port: int = 7000) -> Address:
    """Returns the control address of a node."""
    host = f'10.{number // _HOSTS // _HOSTS}.{number // _HOSTS % _HOSTS}'
    return Address(host=f'{host}.{number % _HOSTS}', port=port)


class ClusterNode:
    """One node with its clock and transport."""

    def __init__(
        self,
        node: MembershipNode,
        clock: PausableClock,
        transport: PausableTransport,
    ) -> None:
        self.node = node
        self.clock = clock
        self.transport = transport

    @property
    def address(self) -> Address:
        """Control address."""
        return self.transport.address


class MembershipCluster:
    """Nodes by number; node ``n`` is in site ``sites[n % len(sites)]``.

    Nodes whose number is divisible by four are balancers, the others agents
    of service 1 or 2.

    Args:
        seed: Seed of every random choice.
        sites: Names of the sites.
        loss: Probability that a message is lost.
        settings: Settings of all nodes.
        seeds: Number of seed nodes, starting from node 0.
    """

    def __init__(
        self,
        *,
        seed: int,
        sites: tuple[str, ...] = ('site-a',),
        loss: float = 0,
        settings: MembershipSettings | None = None,
        seeds: int = 3,
    ) -> None:
        self._seed = seed
        self._sites = sites
        self._seed_addresses = tuple(
            address_of(number) for number in range(seeds)
        )
        self._settings = settings or MembershipSettings()
        self.clock = ManualClock(start_ms=_START_MS)
        self.network = MemoryNetwork(
            clock=self.clock, random=Random(seed), loss=loss
        )
        self.nodes: dict[int, ClusterNode] = {}

    def member(self, number: int) -> Member:
        """Returns the description of a node before it starts."""
        return Member(
            control_address=address_of(number),
            role=Role.AGENT if number % 4 else Role.BALANCER,
            site=self._sites[number % len(self._sites)],
            data_address=address_of(number, 7001),
            request_address=address_of(number, 7002),
            services=(1 + number % 2,) if number % 4 else (),
            slots=2,
        )

    def add(self, number: int, member: Member | None = None) -> ClusterNode:
        """Starts a node in place of an earlier one at its address."""
        clock = PausableClock(self.clock)
        transport = PausableTransport(
            self.network.transport(address_of(number)), clock
        )
        node = MembershipNode(
            clock=clock,
            random=Random(f'{self._seed} {number}'),
            transport=transport,
            member=member or self.member(number),
            seeds=self._seed_addresses,
            settings=self._settings,
        )
        node.start()
        self.nodes[number] = ClusterNode(node, clock, transport)
        return self.nodes[number]

    def add_all(self, count: int, *, settle_ms: int = 5000) -> None:
        """Starts nodes and lets them discover each other."""
        for number in range(count):
            self.add(number)
        self.clock.advance(settle_ms)

    def kill(self, number: int) -> None:
        """Kills a node without notice to the others."""
        killed = self.nodes.pop(number)
        killed.node.stop()
        self.network.detach(killed.address)

    def cut(self, senders: list[int], receivers: list[int]) -> None:
        """Drops all messages in one direction between two sets of nodes."""
        for sender in senders:
            for receiver in receivers:
                self.network.cut(address_of(sender), address_of(receiver))

    def numbers(self, site: str) -> list[int]:
        """Returns the running nodes of a site."""
        return [
            number
            for number, each in self.nodes.items()
            if each.node.member.site == site
        ]

    def states(self, number: int) -> dict[int, MemberState | None]:
        """Returns the state of a node as each running node knows it."""
        states: dict[int, MemberState | None] = {}
        for observer, each in self.nodes.items():
            member = each.node.table.get(address_of(number))
            states[observer] = None if member is None else member.state
        return states

    def stop(self) -> None:
        """Kills all nodes."""
        for number in list(self.nodes):
            self.kill(number)
