"""Opening packets that wait at agents while parts fail, in virtual time."""

from random import Random

import pytest

from anvilthread.flows.flow_key import (
    FlowKey,
    endpoint_of,
    pack_endpoint,
)
from anvilthread.flows.packet_messages import (
    Place,
    Queued,
    Refused,
    Withdraw,
)
from anvilthread.flows.traffic_class import TrafficClass
from standins.flow_cluster import (
    SERVICE,
    SERVICE_HOST,
    FlowCluster,
    FlowNode,
    route_table,
)
from standins.plain_packet_codec import PlainPacket, encode_packet

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


def _open_randomly(
    clients: _Clients, count: int, per_ms: float, seed: int = 1
) -> None:
    """Opens flows of both priorities as a Poisson process."""
    random = Random(seed)
    due_ms: float = 0
    elapsed_ms = 0
    for number in range(count):
        due_ms += random.expovariate(per_ms)
        clients.advance(int(due_ms) - elapsed_ms)
        elapsed_ms = int(due_ms)
        clients.open(number, _LOW_PORT if number % 2 else _HIGH_PORT)


def _first_heard_ms(cluster: FlowCluster) -> dict[bytes, int]:
    """Returns the time of the first packet to the client of each flow."""
    heard: dict[bytes, int] = {}
    for at_ms, packet in cluster.received:
        heard.setdefault(packet.key, at_ms)
    return heard


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
    _open_randomly(clients, 300, 0.8 * 8 / 40)
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
    _fill(cluster, clients, 18)
    node = max(cluster.agents, key=_waiting)
    waiting = _waiting(node)
    assert waiting > 2
    assert node.target is not None
    delivered = len(node.log.named('opening_delivered'))
    node.target.is_up = False
    clients.advance(600)
    assert not _waiting(node)
    # Only two packets have left the queue for the target itself.
    assert len(node.log.named('opening_delivered')) <= delivered + 2
    clients.advance(1200)
    # Two were at the target when it ended.
    assert len(clients.answered_ms) >= 16


@pytest.mark.parametrize('aborter', ['target', 'client'])
def test_aborted_request_frees_the_target(aborter: str) -> None:
    """Guards against a target that is idle while packets wait for it.

    A request whose flow is reset gets no answer, and would be counted until
    it times out after 3 s.
    """
    cluster = _cluster(agents=1, run_ms=1000)
    clients = _Clients(cluster)
    _fill(cluster, clients, 2)
    node = cluster.agents[0]
    assert _waiting(node) == 1
    assert node.target is not None
    if aborter == 'client':
        # The target does not answer the reset.
        node.target.is_up = False
        cluster.send_packet(PlainPacket(key=_key(0), flags='R'))
    else:
        node.on_target(encode_packet(PlainPacket(key=_key(0), flags='R')))
    cluster.advance(5)
    assert not _waiting(node)


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

    Load: 200% of the capacity of two targets, first of the lower priority,
    whose waiting packets are then overtaken by the higher one.
    """
    cluster = _cluster(agents=2, run_ms=40)
    clients = _Clients(cluster)
    for number in range(150):
        is_low = number < 60 or number % 3
        clients.open(number, _LOW_PORT if is_low else _HIGH_PORT)
        clients.advance(10)
    clients.advance(1400)
    heard = _first_heard_ms(cluster)
    for key, opened_ms in clients.opened_ms.items():
        assert heard[key] - opened_ms <= 1340
    high = clients.took_ms(_HIGH_PORT)
    assert len(high) == 30
    assert max(high) <= 352


@pytest.mark.parametrize(
    ('run_ms', 'balancers'),
    [
        # Targets of the speeds 0.6, 1.0 and 1.6.
        ((50, 30, 19, 50, 30, 19), 2),
        # The peak of one site: every flow comes through its balancer.
        ((30, 30, 30, 30, 30, 30), 1),
    ],
)
def test_uneven_load_is_served_in_time(
    run_ms: tuple[int, ...], balancers: int
) -> None:
    """Guards against late requests while the capacity would suffice.

    Load: speeds that differ, and a peak in one site, at 90% of capacity.
    """
    cluster = _cluster(balancers=balancers, agents=len(run_ms), run_ms=30)
    for target, target_run_ms in zip(cluster.targets, run_ms, strict=True):
        target.run_ms = target_run_ms
    clients = _Clients(cluster)
    _open_randomly(
        clients, 400, 0.9 * sum(1 / target_ms for target_ms in run_ms)
    )
    clients.advance(500)
    high = clients.took_ms(_HIGH_PORT)
    low = clients.took_ms(_LOW_PORT)
    assert (len(high), len(low)) == (200, 200)
    assert max(high) <= 352
    assert max(low) <= 303
    assert not any(target.refused for target in cluster.targets)


def test_clients_of_a_stuck_target_are_told() -> None:
    """Guards against clients that wait for a target that has become slow.

    Failure: a target accepts flows and finishes no request.
    """
    cluster = _cluster(agents=1, run_ms=40)
    clients = _Clients(cluster)
    _fill(cluster, clients, 16)
    cluster.targets[0].run_ms = 5000
    assert _waiting(cluster.agents[0]) > 2
    clients.advance(1400)
    told_ms = _first_heard_ms(cluster)
    for key, opened_ms in clients.opened_ms.items():
        assert told_ms[key] - opened_ms <= 1340
    # Two more than its limit show that it still runs; not more are stuck.
    agent = cluster.agents[0].agent
    assert agent is not None
    assert agent.flows.meter.working <= 4


class _NoRoom:
    """A limit on opening packets that is used up."""

    has_room = False

    def record(self) -> None:
        """Fails: no packet may reach the target."""
        raise AssertionError('an opening packet reached a cold target')


def test_cold_third_gets_nothing_above_its_limit() -> None:
    """Guards against packets at cold targets, and against lost clients.

    Load: a third of the targets are cold and may get no more packets.
    """
    cluster = _cluster(agents=6, run_ms=30)
    cluster.opening_limit = _NoRoom()
    for number in range(2):
        cluster.add_agent(number)
    cluster.advance(200)
    clients = _Clients(cluster)
    for number in range(100):
        clients.open(number)
        clients.advance(10)
    clients.advance(300)
    assert len(clients.answered_ms) == 100
    refusals = [
        node.counters.counts.get('flow_refused_warming_up', 0)
        for node in cluster.agents
    ]
    assert sum(refusals)


@pytest.mark.parametrize('waited_ms', [-1, -(1 << 40), 10_001, 1 << 40])
def test_impossible_wait_is_ignored(waited_ms: int) -> None:
    """Guards against a packet that a wrong wait has refused or kept forever."""
    cluster = _cluster(agents=1, run_ms=100)
    clients = _Clients(cluster)
    _fill(cluster, clients, 2)
    node = cluster.agents[0]
    assert node.agent is not None
    content = encode_packet(PlainPacket(key=_key(9), flags='S'))
    message = Place(
        packet=content, service=SERVICE, version=2, waited_ms=waited_ms
    )
    node.agent.on_place(cluster.balancers[0].record.host, message)
    assert _waiting(node) == 2
    assert node.log.named('wait_ignored')


@pytest.mark.parametrize('wait_ms', [-1, 60_001])
def test_impossible_wait_of_a_refusal_is_ignored(wait_ms: int) -> None:
    """Guards against a record of an agent that a wrong message spoils."""
    cluster = _cluster(agents=2, run_ms=100)
    balancer = cluster.balancers[0]
    cluster.open(_key(1))
    assert balancer.balancer is not None
    host = next(
        entry.fields['agent'] for entry in balancer.log.named('flow_placed')
    )
    content = encode_packet(PlainPacket(key=_key(1), flags='S'))
    refused = Refused(packet=content, reason='busy', version=2, wait_ms=wait_ms)
    balancer.balancer.handlers[Refused](str(host), refused)
    assert balancer.log.named('wait_ignored')
    placed = [
        entry.fields['agent'] for entry in balancer.log.named('flow_placed')
    ]
    assert len(set(placed)) == 2


def test_report_names_the_wait() -> None:
    """Guards against balancers that see no queue in the reports."""
    cluster = _cluster(agents=1, run_ms=20)
    clients = _Clients(cluster)
    _fill(cluster, clients, 8)
    clients.advance(40)
    node = cluster.agents[0]
    assert node.agent is not None
    report = node.agent.condition.report()
    assert report.waiting == _waiting(node)
    assert report.waiting
    assert report.limit == 2
    assert 12 <= report.run_ms <= 28
    assert report.wait_ms >= report.waiting * report.run_ms - 1


def test_copy_of_a_waiting_packet_changes_nothing() -> None:
    """Guards against a copy that loses the place of its packet or adds one."""
    cluster = _cluster(agents=1, run_ms=400)
    clients = _Clients(cluster)
    _fill(cluster, clients, 4)
    node = cluster.agents[0]
    waiting = _waiting(node)
    answers = cluster.sent[Queued]
    cluster.open(_key(3), copy=1)
    cluster.advance(5)
    assert _waiting(node) == waiting
    assert cluster.sent[Queued] == answers + 1


def test_client_without_room_is_reset_at_once() -> None:
    """Guards against attempts after the agent with the shortest wait refuses.

    Load: far above the capacity of four targets.
    """
    cluster = _cluster(agents=4, run_ms=200)
    clients = _Clients(cluster)
    # The agents learn the run time.
    _fill(cluster, clients, 8)
    clients.advance(600)
    for number in range(8, 68):
        clients.open(number)
        clients.advance(2)
    log = cluster.balancers[0].log
    resets = [entry.fields['flow'] for entry in log.named('flow_reset')]
    assert resets
    placed = [entry.fields['flow'] for entry in log.named('flow_placed')]
    assert all(placed.count(flow) <= 4 for flow in resets)


def test_answered_requests_are_no_work_after_a_restart() -> None:
    """Guards against targets that stay idle after their agents restart.

    Balancers send the last packets of their flows again, since they do not
    know which requests have been answered.
    """
    cluster = _cluster(agents=1, run_ms=10)
    clients = _Clients(cluster)
    for number in range(20):
        clients.open(number)
        clients.advance(30)
    assert len(clients.answered_ms) == 20
    node = cluster.add_agent(0)
    cluster.advance(100)
    assert cluster.balancers[0].counters.counts['packets_resent']
    assert node.agent is not None
    assert not node.agent.flows.meter.working
    for number in range(20, 25):
        clients.open(number)
        clients.advance(30)
    assert len(clients.answered_ms) == 25


def test_aborted_flow_is_no_work() -> None:
    """Guards against slots kept for clients that open flows and leave."""
    cluster = _cluster(agents=1, run_ms=10)
    cluster.open(_key(0))
    cluster.advance(8)
    node = cluster.agents[0]
    assert node.agent is not None
    assert node.agent.flows.awaiting_first_request == 1
    cluster.send_packet(PlainPacket(key=_key(0), flags='R'))
    cluster.advance(3)
    assert not node.agent.flows.awaiting_first_request
