"""Updates of the configuration at one node, in virtual time."""

from random import Random

import gevent
import pytest
from result import Err, Ok, Result

from anvilthread.clock import ManualClock
from anvilthread.flows.configuration_follower import ConfigurationFollower
from anvilthread.flows.evacuation_view import EvacuationView
from anvilthread.flows.introducer import Introducer
from anvilthread.flows.messages import AnyMessage
from anvilthread.flows.node_messages import Hello
from anvilthread.flows.node_record import NodeRecord, NodeRole
from anvilthread.flows.roster import Roster
from anvilthread.flows.route_holder import RouteHolder
from anvilthread.flows.store_era import StoreEra
from anvilthread.flows.store_reading import StoreReading
from anvilthread.store import StoreError, StoreUnavailable
from anvilthread.telemetry.memory_log import MemoryLog
from standins.flow_cluster import SERVICE, route_table

_PEER = NodeRecord('10.0.0.9', NodeRole.AGENT, 'site-a', SERVICE, 1)


class _Source:
    """A store and a peer, each with its own version."""

    def __init__(self) -> None:
        self.version = 1
        self.is_up = True
        self.peer_version = 0
        self.reads = 0
        self.evacuation: EvacuationView | None = None
        self.peer_evacuation: EvacuationView | None = None

    def read(self) -> Result[StoreReading, StoreError]:
        self.reads += 1
        if not self.is_up:
            return Err(StoreUnavailable(reason='down'))
        return Ok(_reading(self.version, self.evacuation))

    def read_from(self, _host: str) -> Result[StoreReading, StoreError]:
        if not self.peer_version:
            return Err(StoreUnavailable(reason='gone'))
        return Ok(_reading(self.peer_version, self.peer_evacuation))


def _reading(version: int, evacuation: EvacuationView | None) -> StoreReading:
    table = route_table(version, {80: SERVICE})
    return StoreReading(configuration=Ok(table), evacuation=evacuation)


class _Network:
    def __init__(self) -> None:
        self.sent: list[AnyMessage] = []

    def send_to_node(self, _host: str, message: AnyMessage) -> None:
        self.sent.append(message)


class _Node:
    """A node whose follower runs in two tasks."""

    def __init__(self, role: NodeRole = NodeRole.AGENT) -> None:
        self.clock = ManualClock(start_ms=1000)
        self.source = _Source()
        self.network = _Network()
        self.log = MemoryLog()
        local_node = NodeRecord('10.0.0.1', role, 'site-a', SERVICE, 1)
        roster = Roster(clock=self.clock, local_node=local_node, log=self.log)
        roster.record_sender(_PEER)
        self.routes = RouteHolder(clock=self.clock, log=self.log)
        self.store_era = StoreEra(log=self.log)
        common = {'clock': self.clock, 'random': Random(1), 'roster': roster}
        common['store_era'] = self.store_era
        introducer = Introducer(
            network=self.network,  # type: ignore[arg-type]
            routes=self.routes,
            **common,  # type: ignore[arg-type]
        )
        self.follower = ConfigurationFollower(
            source=self.source,
            routes=self.routes,
            introducer=introducer,
            log=self.log,
            **common,  # type: ignore[arg-type]
        )
        self.tasks = [
            gevent.spawn(self.follower.follow_store),
            gevent.spawn(self.follower.follow_peers),
        ]

    def advance(self, duration_ms: int) -> None:
        for _ in range(duration_ms // 10):
            self.clock.advance(10)


@pytest.fixture
def node() -> _Node:
    """An agent's follower."""
    return _Node()


def test_change_is_in_force_in_time(node: _Node) -> None:
    """Guards against changes that a silent watch of the store would miss."""
    node.advance(2000)
    node.source.version = 5
    node.advance(2000)
    assert node.routes.table.version == 5
    announced = [
        message.version
        for message in node.network.sent
        if isinstance(message, Hello)
    ]
    assert announced[-1] == 5


def test_notified_nodes_do_not_read_the_store(node: _Node) -> None:
    """Guards against store calls that grow with the number of nodes."""
    node.advance(500)
    before = node.source.reads
    for _ in range(50):
        node.follower.on_version('10.0.0.9', 1, 50)
        node.advance(100)
    assert node.source.reads == before


def test_peers_replace_an_unavailable_store(node: _Node) -> None:
    """Guards against a node without updates while the store is down."""
    node.source.is_up = False
    node.source.peer_version = 7
    node.advance(100)
    node.follower.on_version('10.0.0.9', 7, 10)
    node.advance(50)
    assert node.routes.table.version == 7
    names = [entry.name for entry in node.log.entries]
    assert names.count('store_lost') == 1
    node.source.is_up = True
    node.source.version = 7
    node.advance(2500)
    assert 'store_regained' in [entry.name for entry in node.log.entries]


def test_older_answer_of_the_store_changes_nothing(node: _Node) -> None:
    """Guards against a reverted configuration after stale reads."""
    node.source.version = 9
    node.advance(100)
    node.source.version = 3
    node.advance(3000)
    assert node.routes.table.version == 9


def test_store_behind_the_nodes_is_read_no_more_often(node: _Node) -> None:
    """Guards against reads and hellos that multiply after a restore.

    Until the operator has written again what the restore took away, the store
    returns an older version to every node.
    """
    node.source.version = 9
    node.advance(2000)
    node.source.version = 3
    reads, hellos = node.source.reads, len(node.network.sent)
    node.advance(5000)
    # One read per 0.9 s at most, the same as with the newest version.
    assert node.source.reads - reads <= 6
    assert len(node.network.sent) - hellos <= 6
    node.source.version = 12
    node.advance(2000)
    assert node.routes.table.version == 12


@pytest.mark.parametrize(
    ('peer_version', 'counts'), [(8, True), (9, True), (10, False)]
)
def test_check_of_a_peer_with_a_higher_version_does_not_count(
    node: _Node, peer_version: int, counts: bool
) -> None:
    """Guards against an outdated node that takes its version for checked.

    A peer with a lower version has found nothing above it in the store, and
    so nothing above this node's version either.
    """
    node.source.version = 9
    node.advance(100)
    node.source.is_up = False
    node.advance(3000)
    node.follower.on_version('10.0.0.9', peer_version, 20)
    assert (node.routes.check_age_ms == 20) is counts


def test_another_peer_is_asked_after_a_failed_read(node: _Node) -> None:
    """Guards against a node stuck on an unreachable peer.

    The peer has announced a new version, but reading it fails; the version is
    read from the next peer that announces it.
    """
    node.advance(100)
    node.follower.on_version('10.0.0.9', 4, 0)
    node.advance(20)
    assert node.routes.table.version == 1
    node.source.peer_version = 4
    node.follower.on_version('10.0.0.8', 4, 0)
    node.advance(20)
    assert node.routes.table.version == 4


def test_balancer_asks_peers_first() -> None:
    """Guards against a balancer that reads the store at its start.

    That would load an HTTP library before the first packets.
    """
    node = _Node(NodeRole.BALANCER)
    node.advance(500)
    assert node.source.reads == 0
    node.advance(500)
    assert node.source.reads > 0
