"""Updates of the configuration at one node, in virtual time."""

from random import Random

import gevent
import pytest
from result import Err, Ok, Result

from anvilthread.clock import ManualClock
from anvilthread.flows.configuration_follower import ConfigurationFollower
from anvilthread.flows.evacuation_holder import EvacuationHolder
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
        self.is_malformed = False
        self.evacuation: EvacuationView | None = None
        self.peer_evacuation: EvacuationView | None = None

    def read(self) -> Result[StoreReading, StoreError]:
        self.reads += 1
        if not self.is_up:
            return Err(StoreUnavailable(reason='down'))
        if self.is_malformed:
            error = StoreUnavailable(reason='malformed')
            return Ok(
                StoreReading(
                    configuration=Err(error), evacuation=self.evacuation
                )
            )
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

    def __init__(
        self, role: NodeRole = NodeRole.AGENT, *, evacuates: bool = False
    ) -> None:
        self.clock = ManualClock(start_ms=1000)
        self.source = _Source()
        self.network = _Network()
        self.log = MemoryLog()
        local_node = NodeRecord('10.0.0.1', role, 'site-a', SERVICE, 1)
        roster = Roster(clock=self.clock, local_node=local_node, log=self.log)
        roster.record_sender(_PEER)
        self.evacuations = EvacuationHolder(
            clock=self.clock, log=self.log, is_enabled=evacuates
        )
        self.routes = RouteHolder(
            clock=self.clock, log=self.log, evacuations=self.evacuations
        )
        self.store_era = StoreEra(log=self.log)
        common = {'clock': self.clock, 'random': Random(1), 'roster': roster}
        common['store_era'] = self.store_era
        self.introducer = Introducer(
            network=self.network,  # type: ignore[arg-type]
            routes=self.routes,
            **common,  # type: ignore[arg-type]
        )
        self.follower = ConfigurationFollower(
            source=self.source,
            routes=self.routes,
            introducer=self.introducer,
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


class _EvacuatingNode(_Node):
    """A node of a deployment in which sites are evacuated."""

    def __init__(self, role: NodeRole = NodeRole.AGENT) -> None:
        super().__init__(role, evacuates=True)
        self.evacuate('')

    def evacuate(self, sites: str, revision: int = 1) -> None:
        """Writes the evacuated sites to the store."""
        self.source.evacuation = _view(sites, revision)

    def hear(self, sites: str, revision: int, age_ms: int = 20) -> None:
        """Receives the hello of a peer."""
        hello = Hello(
            _PEER,
            version=1,
            check_age_ms=age_ms,
            wants_peers=False,
            evacuation=_view(sites, revision),
            evacuation_age_ms=age_ms,
        )
        self.introducer.on_hello(_PEER.host, hello)
        self.follower.on_version(_PEER.host, 1, age_ms)


def _view(sites: str, revision: int) -> EvacuationView:
    return EvacuationView(era=1, revision=revision, sites=tuple(sites))


@pytest.mark.parametrize('role', [NodeRole.AGENT, NodeRole.BALANCER])
@pytest.mark.parametrize('delay_ms', [0, 100, 600, 1100])
def test_evacuation_is_in_force_and_announced_in_time(
    role: NodeRole, delay_ms: int
) -> None:
    """Guards against a site that gets flows for longer than 5 s.

    A node that reads the store alone has the view after 2.5 s at most, which
    leaves the same time for a failed call and for nodes that miss its hello.
    """
    node = _EvacuatingNode(role)
    node.advance(3000 + delay_ms)
    node.evacuate('b', 2)
    node.advance(2500)
    assert node.evacuations.sites == {'b'}
    hellos = [it for it in node.network.sent if isinstance(it, Hello)]
    assert hellos[-1].evacuation == _view('b', 2)
    assert hellos[-1].evacuation_age_ms >= 0


def test_node_that_misses_hellos_reads_the_evacuation_itself() -> None:
    """Guards against load reports that hide a view which is out of date.

    They confirm the version of the configuration every 100 ms, but carry no
    evacuated sites.
    """
    node = _EvacuatingNode()
    node.advance(1000)
    node.evacuate('b', 2)
    for _ in range(25):
        node.follower.on_version(_PEER.host, 1, 10)
        node.advance(100)
    assert node.evacuations.sites == {'b'}


def test_number_of_reads_does_not_grow_with_evacuations() -> None:
    """Guards against store calls of nodes that hear of the view by hello."""
    node = _EvacuatingNode()
    node.advance(500)
    before = node.source.reads
    for revision in range(2, 52):
        node.hear('b', revision)
        node.advance(100)
    assert node.source.reads == before
    assert node.evacuations.sites == {'b'}


@pytest.mark.parametrize('is_up', [True, False])
def test_last_view_stays_in_force_without_the_store(is_up: bool) -> None:
    """Guards against a site that returns to service as the store goes down."""
    node = _EvacuatingNode()
    node.evacuate('b', 2)
    node.advance(1000)
    node.source.is_up = is_up
    if is_up:
        # A late answer, of before the request.
        node.evacuate('', 1)
    node.advance(30_000)
    assert node.evacuations.sites == {'b'}


@pytest.mark.parametrize('was_loaded', [True, False])
def test_configuration_that_cannot_be_used_does_not_hide_evacuations(
    was_loaded: bool,
) -> None:
    """Guards against a site that is not evacuated because of a mistyped route.

    The peers are told, since none of them can confirm the configuration.
    """
    node = _EvacuatingNode()
    node.source.is_malformed = not was_loaded
    node.advance(1000)
    node.source.is_malformed = True
    node.evacuate('b', 2)
    node.advance(2500)
    assert node.evacuations.sites == {'b'}
    hellos = [it for it in node.network.sent if isinstance(it, Hello)]
    assert hellos[-1].evacuation == _view('b', 2)
    assert node.routes.is_loaded is was_loaded


@pytest.mark.parametrize(
    ('sites', 'is_loaded'), [(None, False), ('', True), ('b', True)]
)
def test_configuration_of_a_peer_needs_a_view(
    sites: str | None, is_loaded: bool
) -> None:
    """Guards against a process that starts in an evacuation without a view."""
    node = _EvacuatingNode()
    node.source.is_up = False
    node.source.peer_version = 7
    if sites is not None:
        node.source.peer_evacuation = _view(sites, 2)
    node.advance(100)
    node.follower.on_version(_PEER.host, 7, 10)
    node.advance(50)
    assert node.routes.is_loaded is is_loaded
    assert node.evacuations.sites == set(sites or '')


def test_no_view_is_announced_where_sites_are_not_evacuated(
    node: _Node,
) -> None:
    """Guards against an effect on deployments without evacuation."""
    node.source.evacuation = _view('b', 2)
    node.advance(5000)
    assert node.routes.is_loaded
    assert not node.evacuations.sites
    hellos = [it for it in node.network.sent if isinstance(it, Hello)]
    assert hellos and all(it.evacuation is None for it in hellos)
