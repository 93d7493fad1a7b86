"""Opening packets that wait at agents while parts fail, in virtual time."""

import pytest

from anvilthread.flows.flow_key import (
    FlowKey,
    endpoint_of,
    pack_endpoint,
)
from anvilthread.flows.packet_messages import Queued, Withdraw
from anvilthread.flows.traffic_class import TrafficClass
from standins.flow_cluster import (
    SERVICE,
    SERVICE_HOST,
    FlowCluster,
    FlowNode,
    route_table,
)
from standins.plain_packet_codec import PlainPacket

_HIGH_PORT = 80
_LOW_PORT = 81
_TRAFFIC = {
    _HIGH_PORT: TrafficClass(priority=1, objective_ms=352),
    _LOW_PORT: TrafficClass(priority=2, objective_ms=303),
}
_COPIES_MS = (200, 600)


def _key(number: int, port: int = _HIGH_PORT) -> FlowKey:
    """Returns the flow of a client with an address of its own."""
    client = pack_endpoint(f'100.64.{number // 250}.{number % 250 + 1}', 1024)
    return FlowKey(client + pack_endpoint(SERVICE_HOST, port))


class _Clients:
    """Clients that open flows and send one request on each."""

    def __init__(self, cluster: FlowCluster) -> None:
        self.cluster = cluster
        #: Time at which each client has sent its opening packet, and the time
        #: at which it got the answer of its request.
        self.opened_ms: dict[FlowKey, int] = {}
        self.answered_ms: dict[FlowKey, int] = {}
        self._requested: set[FlowKey] = set()
        self._read = 0

    def open(self, number: int, port: int = _HIGH_PORT) -> FlowKey:
        """Opens a flow."""
        key = _key(number, port)
        self.opened_ms[key] = self.cluster.clock.now_ms()
        self.cluster.open(key, self._balancer(key))
        return key

    def advance(self, duration_ms: int) -> None:
        """Lets the clients react for some time."""
        for _ in range(duration_ms):
            self.cluster.advance(1)
            self._send_copies()
            received = self.cluster.received[self._read :]
            self._read += len(received)
            for at_ms, packet in received:
                key = FlowKey(packet.key)
                if packet.flags == 'SA' and key not in self._requested:
                    self._requested.add(key)
                    self.cluster.request(key, _body(key), self._balancer(key))
                elif packet.body:
                    self.answered_ms.setdefault(key, at_ms)

    def leave(self, key: FlowKey) -> None:
        """Aborts a flow that is not open yet."""
        self.opened_ms.pop(key)
        self.cluster.send_packet(
            PlainPacket(key=key, flags='R'), self._balancer(key)
        )

    def took_ms(self, port: int) -> list[int]:
        """Returns the time to the answer of the flows of a port."""
        return [
            at_ms - self.opened_ms[key]
            for key, at_ms in self.answered_ms.items()
            if endpoint_of(key) == pack_endpoint(SERVICE_HOST, port)
        ]

    def _send_copies(self) -> None:
        now_ms = self.cluster.clock.now_ms()
        for key, opened_ms in self.opened_ms.items():
            if now_ms - opened_ms in _COPIES_MS and not self.cluster.packets(
                key
            ):
                copy = _COPIES_MS.index(now_ms - opened_ms) + 1
                self.cluster.open(key, self._balancer(key), copy=copy)

    def _balancer(self, key: FlowKey) -> FlowNode:
        balancers = self.cluster.balancers
        return balancers[key[3] % len(balancers)]


def _body(key: FlowKey) -> bytes:
    """Returns the request of a flow."""
    return key.hex().encode()


def _cluster(
    *, balancers: int = 1, agents: int, run_ms: int, is_ordered: bool = True
) -> FlowCluster:
    cluster = FlowCluster(balancers=balancers, agents=agents)
    ports = {port: SERVICE for port in _TRAFFIC}
    traffic = _TRAFFIC if is_ordered else {}
    cluster.configure(route_table(2, ports, traffic=traffic))
    for node in cluster.agents:
        assert node.target is not None
        node.target.slots = 1
        node.target.run_ms = run_ms
        node.heartbeat()
    cluster.advance(150)
    return cluster


def _waiting(node: FlowNode) -> int:
    assert node.agent is not None
    return node.agent.openings.gate.waiting


def _fill(cluster: FlowCluster, clients: _Clients, count: int) -> None:
    """Opens flows in turn until some wait at agents."""
    for number in range(count):
        clients.open(number)
        clients.advance(10)


def _times_run(cluster: FlowCluster, key: FlowKey) -> int:
    return sum(target.served.count(_body(key)) for target in cluster.targets)


def test_high_priority_passes_a_burst() -> None:
    """Guards against requests that are late behind a burst of less value.

    Load: 60 flows of the lower priority at four targets, then 16 others.
    """
    cluster = _cluster(agents=4, run_ms=30)
    clients = _Clients(cluster)
    for number in range(60):
        clients.open(number, _LOW_PORT)
        clients.advance(1)
    for number in range(16):
        clients.open(100 + number, _HIGH_PORT)
        clients.advance(15)
    clients.advance(1500)
    high = clients.took_ms(_HIGH_PORT)
    assert len(high) == 16
    assert max(high) <= 352
    assert not any(target.refused for target in cluster.targets)
    assert cluster.sent[Queued]


def test_unordered_service_is_unchanged() -> None:
    """Guards against queues and new refusals where all requests are equal."""
    cluster = _cluster(agents=2, run_ms=100, is_ordered=False)
    clients = _Clients(cluster)
    _fill(cluster, clients, 30)
    clients.advance(2000)
    assert not cluster.sent[Queued] + cluster.sent[Withdraw]
    for target in cluster.targets:
        # A target's own queue overflows, as before.
        assert target.refused
    for node in cluster.agents:
        assert node.agent is not None
        assert not node.log.named('flow_refused')
        report = node.agent.condition.report()
        found = (report.run_ms, report.wait_ms, report.waiting, report.limit)
        assert found == (0, 0, 0, 0)


def test_no_refusal_while_a_target_is_free() -> None:
    """Guards against clients that are reset while targets are idle.

    Load: 80% of the capacity of eight targets.
    """
    cluster = _cluster(balancers=2, agents=8, run_ms=40)
    clients = _Clients(cluster)
    for number in range(300):
        clients.open(number, _LOW_PORT if number % 2 else _HIGH_PORT)
        clients.advance(6 + number % 2)
    clients.advance(500)
    assert len(clients.answered_ms) == 300
    assert not any(cluster.is_reset(key) for key in clients.opened_ms)


@pytest.mark.parametrize('event', ['stop', 'drain', 'depart', 'restart'])
def test_waiting_packets_of_an_ending_agent_go_elsewhere(event: str) -> None:
    """Guards against clients that wait at an agent that serves no more."""
    cluster = _cluster(agents=3, run_ms=400)
    clients = _Clients(cluster)
    _fill(cluster, clients, 10)
    node = max(cluster.agents, key=_waiting)
    waiting = _waiting(node)
    others = sum(_waiting(other) for other in cluster.agents) - waiting
    assert waiting
    assert node.agent is not None and node.target is not None
    if event == 'stop':
        node.agent.stop()
    elif event == 'drain':
        node.target.is_draining = True
        node.heartbeat()
    elif event == 'depart':
        assert node.agent.on_departure(node.target.name)
    else:
        node.target.restart(born_ms=cluster.clock.now_ms())
        node.watch.on_departure(node.target.name)
        node.heartbeat()
        node.agent.on_departure(node.target.name)
    cluster.advance(30)
    assert not _waiting(node)
    found = sum(_waiting(other) for other in cluster.agents)
    assert found == waiting + others


@pytest.mark.parametrize('returns', [False, True])
def test_lost_queue_is_noticed(returns: bool) -> None:
    """Guards against clients that wait for an agent that has lost its queue.

    The agent's process ends, with or without another one in its place. The
    balancer asks after 300 ms; the client gives up after 1.4 s.
    """
    cluster = _cluster(agents=3, run_ms=150)
    clients = _Clients(cluster)
    _fill(cluster, clients, 9)
    node = max(cluster.agents, key=_waiting)
    assert _waiting(node)
    node.is_up = False
    if returns:
        number = int(node.record.host.rsplit('.', 1)[1]) - 1
        cluster.add_agent(number)
    clients.advance(1400)
    for key in clients.opened_ms:
        assert cluster.packets(key), 'a client was left without an answer'
        assert _times_run(cluster, key) <= 1
    # Two were at the target when its agent was lost.
    assert len(clients.answered_ms) >= 7


def test_packets_leave_a_dead_target() -> None:
    """Guards against clients that wait for a target that has ended.

    Failure: a target ends with as many requests as its agent allows, so no
    new packet would show that it does not answer.
    """
    cluster = _cluster(agents=3, run_ms=100)
    clients = _Clients(cluster)
    _fill(cluster, clients, 12)
    node = max(cluster.agents, key=_waiting)
    waiting = _waiting(node)
    assert waiting > 1
    assert node.target is not None
    node.target.crash()
    clients.advance(700)
    assert not _waiting(node)
    clients.advance(1000)
    # Two were at the target when it ended.
    assert len(clients.answered_ms) >= 10


def test_silent_agent_loses_the_packet() -> None:
    """Guards against a packet that waits at two agents.

    Failure: the link from an agent to its balancer drops all messages.
    """
    cluster = _cluster(agents=3, run_ms=400)
    clients = _Clients(cluster)
    _fill(cluster, clients, 6)
    balancer = cluster.balancers[0].record.host
    for node in cluster.agents[:2]:
        cluster.cuts.add((node.record.host, balancer))
    before = sum(_waiting(node) for node in cluster.agents)
    clients.open(100)
    clients.advance(300)
    assert cluster.sent[Withdraw]
    assert sum(_waiting(node) for node in cluster.agents) <= before + 1


def test_lost_confirmation_is_repeated() -> None:
    """Guards against an open flow that its balancer places once more.

    Failure: the confirmation of a packet that had waited is lost.
    """
    cluster = _cluster(agents=1, run_ms=200)
    clients = _Clients(cluster)
    _fill(cluster, clients, 3)
    node = cluster.agents[0]
    assert _waiting(node)
    cluster.cuts.add((node.record.host, cluster.balancers[0].record.host))
    while _waiting(node):
        cluster.advance(1)
    cluster.advance(5)
    cluster.cuts.clear()
    clients.advance(1000)
    assert len(clients.answered_ms) == 3
    assert all(_times_run(cluster, key) == 1 for key in clients.opened_ms)
    assert not cluster.balancers[0].log.named('flow_unconfirmed')


def test_balancer_that_dies_leaves_packets_queued() -> None:
    """Guards against clients that lose their place with their balancer."""
    cluster = _cluster(balancers=2, agents=2, run_ms=60)
    clients = _Clients(cluster)
    _fill(cluster, clients, 16)
    assert sum(_waiting(node) for node in cluster.agents)
    cluster.balancers[0].is_up = False
    clients.advance(1400)
    assert len(clients.answered_ms) == 16
    assert all(_times_run(cluster, key) == 1 for key in clients.opened_ms)


def test_client_that_gives_up_is_not_served() -> None:
    """Guards against capacity for a client that has left."""
    cluster = _cluster(agents=1, run_ms=300)
    clients = _Clients(cluster)
    _fill(cluster, clients, 3)
    node = cluster.agents[0]
    waiting = _waiting(node)
    assert waiting
    clients.leave(_key(2))
    cluster.advance(5)
    assert _waiting(node) == waiting - 1
    clients.advance(1000)
    assert node.target is not None
    assert _key(2) not in node.target.opened


def test_every_client_is_told_in_time() -> None:
    """Guards against clients that hear nothing until they give up.

    Load: 200% of the capacity of two targets.
    """
    cluster = _cluster(agents=2, run_ms=40)
    clients = _Clients(cluster)
    for number in range(150):
        clients.open(number, _LOW_PORT if number % 3 else _HIGH_PORT)
        clients.advance(10)
    clients.advance(1400)
    heard: dict[bytes, int] = {}
    for at_ms, packet in cluster.received:
        heard.setdefault(packet.key, at_ms)
    for key, opened_ms in clients.opened_ms.items():
        assert heard[key] - opened_ms <= 1340
    high = clients.took_ms(_HIGH_PORT)
    assert len(high) >= 49
    assert max(high) <= 352
