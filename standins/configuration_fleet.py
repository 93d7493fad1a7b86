"""A fleet of configuration nodes in virtual time."""

from collections.abc import Sequence
from random import Random

import gevent

from anvilthread.address import Address
from anvilthread.clock import ManualClock
from anvilthread.configuration import (
    Applier,
    ConfigurationNode,
    ConfigurationTexts,
    Proposal,
)
from anvilthread.configuration.apply_progress import Outcome
from standins.memory_network import MemoryNetwork
from standins.memory_store import MemoryStore
from standins.store_state import StoreLimits, StoreState

BASE = """
[sites.kgn-a]
[sites.kgn-b]

[services.depot-feed]
number = 1
addresses = ["10.40.0.1:443"]
sites = ["kgn-a"]
deadline_ms = {deadline_ms}
"""


def texts(deadline_ms: int = 1000) -> ConfigurationTexts:
    """A small configuration that varies in its deadline only."""
    return ConfigurationTexts(
        base=BASE.format(deadline_ms=deadline_ms), overlays={}
    )


def proposal(
    *, deadline_ms: int = 1000, expected: int = 0, operator: str = 'ama'
) -> Proposal:
    """A change of the small configuration."""
    return Proposal(
        texts=texts(deadline_ms),
        expected=expected,
        change_id=f'{operator}-{deadline_ms}',
        operator=operator,
    )


class FleetPeers:
    """Peers of a node in a fleet."""

    def __init__(self, *, fleet: 'Fleet', site: str) -> None:
        self._fleet = fleet
        self._site = site

    def everywhere(self) -> Sequence[Address]:
        """All live nodes."""
        return tuple(self._fleet.nodes)

    def same_site(self) -> Sequence[Address]:
        """Live nodes of one site."""
        return self._fleet.sites[self._site]


class Fleet:
    """Nodes with network and store, and revisions piggybacked on probes."""

    def __init__(self, *, size: int, seed: int = 1, loss: float = 0) -> None:
        self.clock = ManualClock()
        self.random = Random(seed)
        self.network = MemoryNetwork(
            clock=self.clock, random=Random(seed), loss=loss
        )
        self.state = StoreState(
            clock=self.clock, random=Random(seed), limits=StoreLimits()
        )
        self.nodes: dict[Address, ConfigurationNode] = {}
        self.stores: dict[Address, MemoryStore] = {}
        self.sites: dict[str, list[Address]] = {'kgn-a': [], 'kgn-b': []}
        self.adopted: dict[Address, list[int]] = {}
        self.in_force_ms: dict[Address, int] = {}
        self.applier = Applier(
            store=MemoryStore(state=self.state, clock=self.clock),
            clock=self.clock,
            random=Random(seed),
            peer_revision=self.highest_revision,
        )
        for _ in range(size):
            self.add()
        self._probe_task = gevent.spawn(self._probe_peers)

    def add(self) -> ConfigurationNode:
        """Starts one more node."""
        number = len(self.nodes) + 1
        site = 'kgn-a' if number % 2 else 'kgn-b'
        address = Address(host=f'10.0.{number >> 8}.{number & 255}', port=1)
        store = MemoryStore(state=self.state, clock=self.clock)
        node = ConfigurationNode(
            site=site,
            store=store,
            transport=self.network.transport(address),
            peers=FleetPeers(fleet=self, site=site),
            clock=self.clock,
            random=Random(number),
        )
        self.nodes[address] = node
        self.stores[address] = store
        self.sites[site].append(address)
        self.adopted[address] = []
        node.subscribe(
            lambda record, _: self._record_adoption(address, record.revision)
        )
        node.start()
        return node

    def restart_all(self) -> None:
        """Replaces every node by one without a configuration."""
        size = len(self.nodes)
        for node in self.nodes.values():
            node.stop()
        self.nodes.clear()
        for site in self.sites.values():
            site.clear()
        for _ in range(size):
            self.add()

    def highest_revision(self) -> int:
        """Highest revision that any node holds."""
        return max((node.revision for node in self.nodes.values()), default=0)

    def apply(self, change: Proposal, timeout_ms: int = 60_000) -> Outcome:
        """Applies a change while the clock advances."""
        task = gevent.spawn(self.applier.apply, change)
        for _ in range(timeout_ms // 10):
            if task.ready():
                break
            self.clock.advance(10)
        return task.get(block=False)

    def revisions(self) -> set[int]:
        """Revisions in force anywhere."""
        return {node.revision for node in self.nodes.values()}

    def stop_probes(self) -> None:
        """Stops piggybacking revisions, as without a membership component."""
        self._probe_task.kill()

    def stop(self) -> None:
        """Ends all tasks."""
        self.stop_probes()
        for node in self.nodes.values():
            node.stop()

    def _record_adoption(self, address: Address, revision: int) -> None:
        self.adopted[address].append(revision)
        self.in_force_ms[address] = self.clock.now_ms()

    def _probe_peers(self) -> None:
        # Membership probes a random peer every second; each side receives the
        # revision of the other.
        while True:
            self.clock.sleep_ms(1000)
            for address, node in tuple(self.nodes.items()):
                peer = self.random.choice(tuple(self.nodes))
                other = self.nodes[peer]
                node.peer_revision(peer, other.revision)
                other.peer_revision(address, node.revision)
