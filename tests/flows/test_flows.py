"""Flows through failing balancers and agents, in virtual time."""

import msgspec
import pytest

from anvilthread.flows.flow_packet import FlowPacket
from anvilthread.flows.node_messages import Leaving
from anvilthread.flows.search_messages import Held
from standins.flow_cluster import (
    HEARTBEAT_MS,
    SERVICE,
    SERVICE_PORT,
    FlowCluster,
    flow_key,
    route_table,
)
from standins.flow_target import FlowTarget
from standins.plain_packet_codec import (
    PlainPacket,
    PlainPacketCodec,
    encode_packet,
)


def _open_flows(cluster: FlowCluster, count: int) -> None:
    for number in range(count):
        cluster.open(flow_key(number))
        cluster.advance(5)
        cluster.request(flow_key(number), b'first')
        cluster.advance(5)


def _bounced(packet: PlainPacket) -> FlowPacket:
    """Returns a packet as a target returns it."""
    content = encode_packet(msgspec.structs.replace(packet, is_bounced=True))
    decoded = PlainPacketCodec().from_target(content)
    assert decoded is not None
    return decoded


def _assert_kept(cluster: FlowCluster, count: int, *, answers: int) -> None:
    """Checks that no flow was reset and that every request was answered."""
    for number in range(count):
        assert len(cluster.bodies(flow_key(number))) == answers
        assert not cluster.is_reset(flow_key(number))


def test_flow_is_served_by_one_target() -> None:
    """Guards against an opening packet that reaches more than one target."""
    cluster = FlowCluster(balancers=2, agents=4)
    _open_flows(cluster, 40)
    opened = [key for target in cluster.targets for key in target.opened]
    assert sorted(opened) == sorted(flow_key(number) for number in range(40))
    _assert_kept(cluster, 40, answers=1)


def test_silent_agent_is_skipped() -> None:
    """Guards against a placement that waits for the client to retransmit.

    Clients retransmit an opening packet after 200 ms; the next agent must be
    tried before that.
    """
    cluster = FlowCluster(balancers=1, agents=3)
    cluster.agents[0].is_up = False
    for number in range(12):
        cluster.open(flow_key(number))
    cluster.advance(120)
    for number in range(12):
        flags = [packet.flags for packet in cluster.packets(flow_key(number))]
        assert flags == ['SA']


@pytest.mark.parametrize(
    ('full', 'is_served'), [(0, True), (1, True), (2, True), (3, False)]
)
def test_full_targets(full: int, is_served: bool) -> None:
    """Guards against a flow that is not reset once all targets refuse it."""
    cluster = FlowCluster(balancers=1, agents=3)
    for target in cluster.targets[:full]:
        target.max_flows = 0
    cluster.open(flow_key(1))
    cluster.advance(30)
    assert bool(cluster.holder(flow_key(1))) == is_served
    assert cluster.is_reset(flow_key(1)) != is_served


def test_draining_target_gets_no_opening_packet() -> None:
    """Guards against new flows at a target that drains.

    Retransmitted opening packets must not reach it either.
    """
    cluster = FlowCluster(balancers=2, agents=2)
    cluster.open(flow_key(1))
    cluster.advance(5)
    holder = cluster.holder(flow_key(1))
    assert holder is not None
    before = len(holder.opened)
    node = next(agent for agent in cluster.agents if agent.target is holder)
    holder.is_draining = True
    node.heartbeat()
    # No balancer can know of the draining yet.
    for number in range(2, 20):
        cluster.open(flow_key(number), cluster.balancers[number % 2])
    cluster.open(flow_key(1), cluster.balancers[1], copy=1)
    cluster.advance(50)
    assert len(holder.opened) == before
    for number in range(2, 20):
        assert cluster.holder(flow_key(number)) is not None


@pytest.mark.parametrize('restarts_balancers', [False, True])
def test_draining_target_of_a_restarted_agent_gets_no_opening_packet(
    restarts_balancers: bool,
) -> None:
    """Guards against a target that is in use again after a restart.

    The agent does not know of the draining until the next heartbeat. Pattern:
    a kill of one or of all processes while a target drains (soak seed 104).
    """
    cluster = FlowCluster(balancers=2, agents=2)
    node = cluster.agents[0]
    target = node.target
    assert target is not None
    target.is_draining = True
    node.heartbeat()
    cluster.advance(600)
    if restarts_balancers:
        for number in range(2):
            cluster.add_balancer(number)
    cluster.add_agent(0, sends_heartbeat=False)
    cluster.advance(300)
    before = len(target.opened)
    for number in range(20):
        cluster.open(flow_key(number), cluster.balancers[number % 2])
    cluster.advance(50)
    assert len(target.opened) == before


@pytest.mark.parametrize(
    ('agents', 'restarted', 'heard'),
    [
        (1, 1, 0),
        (5, 5, 0),
        (5, 3, 0),
        # Most targets have sent a heartbeat since a restart of all agents.
        (5, 5, 3),
    ],
)
def test_restarted_agents_take_flows_at_once(
    agents: int, restarted: int, heard: int
) -> None:
    """Guards against no service until the next heartbeats after a restart.

    Their targets may drain unknown to them, but the rest could not carry the
    load alone.
    """
    cluster = FlowCluster(balancers=2, agents=agents)
    cluster.advance(600)
    for number in range(restarted):
        cluster.add_agent(number, sends_heartbeat=number < heard)
    cluster.advance(300)
    for number in range(20):
        cluster.open(flow_key(number), cluster.balancers[number % 2])
    cluster.advance(50)
    assert all(cluster.holder(flow_key(number)) for number in range(20))
    assert all(target.flows for target in cluster.targets)


@pytest.mark.parametrize('same_service', [True, False])
def test_flows_survive_another_balancer(same_service: bool) -> None:
    """Guards against flows lost when routers select another balancer."""
    cluster = FlowCluster(balancers=2, agents=5)
    if not same_service:
        cluster.add_agent(9, 'statements')
    _open_flows(cluster, 20)
    cluster.nodes['10.0.0.1'].is_up = False
    for number in range(20):
        cluster.request(flow_key(number), b'second')
    cluster.advance(20)
    _assert_kept(cluster, 20, answers=2)
    # Every table is complete, so no target has to be asked.
    assert not any(target.bounced for target in cluster.targets)


def test_flows_survive_the_restart_of_all_processes() -> None:
    """Guards against open flows that no process knows after a power loss."""
    cluster = FlowCluster(balancers=2, agents=5)
    _open_flows(cluster, 20)
    for number in range(2):
        cluster.add_balancer(number)
    for number in range(5):
        cluster.add_agent(number)
    cluster.advance(300)
    for number in range(20):
        cluster.request(flow_key(number), b'second')
    cluster.advance(100)
    _assert_kept(cluster, 20, answers=2)


def test_restarted_agent_keeps_its_flows() -> None:
    """Guards against a flow that counts as lost if only its agent restarts."""
    cluster = FlowCluster(balancers=2, agents=3)
    _open_flows(cluster, 12)
    for number in range(3):
        cluster.add_agent(number)
        cluster.advance(200)
        for flow in range(12):
            cluster.request(flow_key(flow), b'again')
        cluster.advance(60)
    _assert_kept(cluster, 12, answers=4)


def test_lost_flow_is_reset_at_once() -> None:
    """Guards against a client that retransmits unanswered until its deadline."""
    cluster = FlowCluster(balancers=2, agents=3)
    _open_flows(cluster, 6)
    for target in cluster.targets:
        target.crash()
    cluster.advance(2000)
    for node in cluster.agents:
        assert node.target is not None
        node.target.restart(born_ms=cluster.clock.now_ms())
        node.heartbeat()
    # The first heartbeat is refused, and repeated after some 40 ms.
    cluster.advance(45)
    for number in range(6):
        assert cluster.is_reset(flow_key(number))


def test_flow_without_holder_is_reset() -> None:
    """Guards against a missing reset if no agent of the service has a flow."""
    cluster = FlowCluster(balancers=1, agents=4)
    cluster.request(flow_key(1), b'never opened')
    cluster.advance(30)
    assert cluster.is_reset(flow_key(1))


def test_flow_of_unreachable_agent_is_not_reset() -> None:
    """Guards against a reset of a flow whose agent is only unreachable."""
    cluster = FlowCluster(balancers=2, agents=4)
    _open_flows(cluster, 12)
    silent = cluster.agents[0]
    silent.is_up = False
    cluster.advance(2500)
    held = [
        number
        for number in range(12)
        if cluster.holder(flow_key(number)) is silent.target
    ]
    assert held
    for number in held:
        cluster.request(flow_key(number), b'?', cluster.balancers[1])
    cluster.advance(600)
    for number in held:
        assert not cluster.is_reset(flow_key(number))


def test_reused_address_gets_no_foreign_packet() -> None:
    """Guards against packets for a VM that now runs another service.

    The address of an agent of bookings is reused by an agent of statements.
    """
    cluster = FlowCluster(balancers=1, agents=2)
    _open_flows(cluster, 8)
    cluster.add_agent(0, 'statements')
    statements = cluster.nodes['10.0.1.1'].target
    assert statements is not None
    for number in range(8):
        cluster.request(flow_key(number), b'second')
    cluster.open(flow_key(99))
    cluster.advance(200)
    assert not statements.opened
    assert not statements.bounced
    assert not statements.served


@pytest.mark.parametrize(
    ('ports', 'is_open', 'expects_reset'),
    [
        ({SERVICE_PORT: SERVICE}, True, False),
        ({8080: SERVICE}, True, True),
        ({8080: SERVICE}, False, True),
    ],
)
def test_removed_route(
    ports: dict[int, str], is_open: bool, expects_reset: bool
) -> None:
    """Guards against requests on a route that operators have removed."""
    cluster = FlowCluster(balancers=1, agents=2)
    if is_open:
        _open_flows(cluster, 2)
    cluster.configure(route_table(2, ports))
    if is_open:
        cluster.request(flow_key(1), b'second')
    else:
        cluster.open(flow_key(1))
    cluster.advance(20)
    assert cluster.is_reset(flow_key(1)) == expects_reset


@pytest.mark.parametrize('agent_is_newer', [True, False])
def test_newer_configuration_decides(agent_is_newer: bool) -> None:
    """Guards against effects of an outdated configuration at one node.

    An outdated balancer must not use a removed route, and an outdated agent
    must not refuse a new one.
    """
    cluster = FlowCluster(balancers=1, agents=2)
    newer = route_table(2, {8080: SERVICE})
    nodes = cluster.agents if agent_is_newer else cluster.balancers
    for node in nodes:
        node.routes.update(newer, 'test')
    port = SERVICE_PORT if agent_is_newer else 8080
    cluster.open(flow_key(1, port))
    cluster.advance(30)
    assert bool(cluster.holder(flow_key(1, port))) != agent_is_newer


def test_duplicate_opening_keeps_the_acknowledged_target() -> None:
    """Guards against a flow stuck at a target that does not hold it.

    The opening packet and its retransmission have passed through different
    balancers, and the client continues with the target that the balancer of
    its next packet does not know.
    """
    cluster = FlowCluster(balancers=2, agents=3)
    key = flow_key(1)
    cluster.open(key)
    cluster.advance(5)
    holder = cluster.holder(key)
    for target in cluster.targets:
        if target is not holder:
            target.max_flows = 0
    cluster.balancers[1].balancer.on_held(  # type: ignore[union-attr]
        next(
            agent.record.host
            for agent in cluster.agents
            if agent.target != holder
        ),
        Held(key=key, service=SERVICE),
    )
    cluster.request(key, b'first', cluster.balancers[1])
    cluster.advance(30)
    assert len(cluster.bodies(key)) == 1


def test_closed_flows_are_removed() -> None:
    """Guards against tables that grow with every closed flow."""
    cluster = FlowCluster(balancers=1, agents=2)
    _open_flows(cluster, 10)
    for number in range(10):
        cluster.send_packet(PlainPacket(key=flow_key(number), flags='AF'))
    cluster.advance(4000)
    for node in cluster.agents:
        assert node.agent is not None
        node.agent.flows.sweep()
        assert not len(node.agent.flows)
    assert cluster.balancers[0].balancer is not None
    assert cluster.balancers[0].balancer.flow_count == 0


def test_opening_packet_waits_for_the_first_agent() -> None:
    """Guards against a reset or a drop while no agent is known yet.

    When all processes start at once, the client would otherwise lose the
    200 ms until it retransmits.
    """
    cluster = FlowCluster(balancers=1, agents=0)
    cluster.add_balancer(0)
    cluster.open(flow_key(1))
    cluster.advance(40)
    assert not cluster.packets(flow_key(1))
    cluster.add_agent(0)
    cluster.advance(150)
    assert cluster.holder(flow_key(1)) is not None


def test_refusal_of_the_first_known_agent() -> None:
    """Guards against a reset while other agents are still unknown.

    Pattern: after a power loss, the target of the first agent that a balancer
    knows refuses every flow.
    """
    cluster = FlowCluster(balancers=1, agents=0)
    cluster.add_balancer(0)
    first = cluster.add_agent(0)
    assert first.target is not None
    first.target.max_flows = 0
    cluster.advance(120)
    cluster.open(flow_key(1))
    cluster.advance(20)
    assert first.target.bounced
    assert not cluster.packets(flow_key(1))
    cluster.add_agent(1)
    cluster.advance(150)
    assert cluster.holder(flow_key(1)) is not None
    assert not cluster.is_reset(flow_key(1))


@pytest.mark.parametrize('has_heartbeat', [True, False])
def test_restarted_agent_without_heartbeat_resets_no_flow(
    has_heartbeat: bool,
) -> None:
    """Guards against a reset while a restarted agent has no state yet."""
    cluster = FlowCluster(balancers=2, agents=2)
    _open_flows(cluster, 6)
    for number in range(2):
        node = cluster.add_agent(number)
        if not has_heartbeat:
            node.watch = type(node.watch)(
                clock=cluster.clock, interval_ms=1200, log=node.log
            )
    cluster.advance(150)
    for number in range(6):
        cluster.request(flow_key(number), b'next', cluster.balancers[1])
    cluster.advance(100)
    _assert_kept(cluster, 6, answers=2)


@pytest.mark.parametrize('resets', [True, False])
def test_new_agent_recovers_no_foreign_flow(resets: bool) -> None:
    """Guards against a foreign flow recovered or reset while a target starts.

    The agent of a new VM is asked for a flow while its target is not up yet,
    or has just started and answers data of foreign flows with a reset.
    """
    cluster = FlowCluster(balancers=2, agents=3)
    _open_flows(cluster, 20)
    node = cluster.add_agent(7)
    target = node.target
    assert target is not None
    target.is_up = resets
    target.resets_foreign = resets
    node.watch.__init__(  # type: ignore[misc]
        clock=cluster.clock, interval_ms=1200, log=node.log
    )
    cluster.advance(130)
    for number in range(20):
        cluster.request(flow_key(number), b'next', cluster.balancers[1])
    cluster.advance(20)
    target.is_up = True
    node.heartbeat()
    cluster.advance(100)
    for number in range(20):
        cluster.request(flow_key(number), b'last', cluster.balancers[1])
    cluster.advance(20)
    assert not target.flows
    assert node.counters.counts.get('flow_recovered', 0) == 0
    _assert_kept(cluster, 20, answers=3)


def test_confirmed_holder_is_not_replaced() -> None:
    """Guards against a flow that moves to an agent with a crashed target.

    Such an agent mistakes the silence of its target for acceptance of an
    offer, 40 ms after the holder has answered.
    """
    cluster = FlowCluster(balancers=2, agents=3)
    _open_flows(cluster, 1)
    key = flow_key(0)
    holder = cluster.holder(key)
    cluster.request(key, b'second', cluster.balancers[1])
    cluster.advance(10)
    other = next(
        agent for agent in cluster.agents if agent.target is not holder
    )
    balancer = cluster.balancers[1].balancer
    assert balancer is not None
    balancer.on_held(other.record.host, Held(key=key, service=SERVICE))
    cluster.request(key, b'third', cluster.balancers[1])
    cluster.advance(10)
    assert len(cluster.bodies(key)) == 3
    assert other.target is not None
    assert not other.target.bounced


@pytest.mark.parametrize('known', [0, 1, 2])
def test_balancer_without_peers_resets_no_flow(known: int) -> None:
    """Guards against a reset by a new balancer that knows few agents."""
    cluster = FlowCluster(balancers=2, agents=5)
    # The cluster has not started just now.
    cluster.advance(8000)
    _open_flows(cluster, 40)
    for agent in cluster.agents[known:]:
        cluster.cuts |= {
            (agent.record.host, '10.0.0.8'),
            ('10.0.0.8', agent.record.host),
        }
    node = cluster.add_balancer(7)
    for _ in range(8):
        cluster.advance(205)
        for number in range(40):
            cluster.request(flow_key(number), b'next', node)
    for number in range(40):
        assert not cluster.is_reset(flow_key(number))
    assert node.counters.counts['holder_sought'] > 0


@pytest.mark.parametrize(
    ('paused_ms', 'is_dead'), [(0, True), (0, False), (3000, False)]
)
def test_flows_of_a_dead_target(paused_ms: int, is_dead: bool) -> None:
    """Guards against clients that wait for a target that has crashed.

    Also guards against resets while the target runs, including those by an
    agent that was paused and has not yet read the packets of its target.
    """
    cluster = FlowCluster(balancers=1, agents=1)
    _open_flows(cluster, 5)
    if is_dead:
        cluster.targets[0].crash()
    agent = cluster.agents[0].agent
    assert agent is not None
    for number in range(5, 8):
        cluster.open(flow_key(number))
    if paused_ms:
        # The opening packets are delivered, but no answer is read yet.
        cluster.advance(1)
        cluster.clock.advance(paused_ms)
        agent.tick()
    cluster.advance(200)
    for number in range(5):
        assert cluster.is_reset(flow_key(number)) == is_dead
    assert agent.condition.health.is_failing == is_dead


@pytest.mark.parametrize('uses_other_balancer', [False, True])
def test_flows_of_an_agent_that_is_gone(uses_other_balancer: bool) -> None:
    """Guards against clients that wait for a VM that was removed.

    Pattern: a service is scaled in, and VMs are removed without notice.
    """
    cluster = FlowCluster(balancers=2, agents=3)
    _open_flows(cluster, 12)
    gone = cluster.agents[0]
    assert gone.target is not None
    lost = set(gone.target.flows)
    gone.is_up = False
    gone.target.crash()
    cluster.advance(4200)
    balancer = cluster.balancers[int(uses_other_balancer)]
    for number in range(12):
        cluster.request(flow_key(number), b'next', balancer)
    cluster.advance(50)
    for number in range(12):
        key = flow_key(number)
        assert cluster.is_reset(key) == (key in lost)
        assert len(cluster.bodies(key)) == 1 + (key not in lost)


def test_holder_missing_from_the_roster() -> None:
    """Guards against a search for every packet after a balancer restart."""
    cluster = FlowCluster(balancers=1, agents=3)
    _open_flows(cluster, 3)
    cluster.cuts = {(node.record.host, '10.0.0.9') for node in cluster.agents}
    balancer = cluster.add_balancer(8)
    holder = cluster.holder(flow_key(1))
    host = next(
        agent.record.host for agent in cluster.agents if agent.target is holder
    )
    assert balancer.balancer is not None
    balancer.balancer.on_held(host, Held(key=flow_key(1), service=SERVICE))
    for _ in range(5):
        cluster.request(flow_key(1), b'next', balancer)
    cluster.advance(10)
    assert len(cluster.bodies(flow_key(1))) == 6
    assert not balancer.log.named('holder_sought')


def test_flows_survive_a_planned_agent_restart() -> None:
    """Guards against resets while an agent restarts by request."""
    cluster = FlowCluster(balancers=2, agents=3)
    _open_flows(cluster, 12)
    leaving = cluster.agents[0]
    for host in cluster.nodes:
        leaving.send_to_node(host, Leaving(node=leaving.record, returns=True))
    cluster.advance(5)
    leaving.is_up = False
    cluster.advance(6000)
    for number in range(12):
        cluster.request(flow_key(number), b'next', cluster.balancers[1])
    cluster.advance(100)
    assert not any(cluster.is_reset(flow_key(flow)) for flow in range(12))
    cluster.add_agent(0)
    cluster.advance(300)
    for number in range(12):
        cluster.request(flow_key(number), b'last', cluster.balancers[1])
    cluster.advance(100)
    for number in range(12):
        assert cluster.bodies(flow_key(number))[-1].endswith(b'last')


def test_offer_of_a_paused_agent() -> None:
    """Guards against a flow recovered while the target's answer is unread."""
    cluster = FlowCluster(balancers=2, agents=2)
    _open_flows(cluster, 6)
    for number in range(2):
        cluster.add_agent(number)
    cluster.advance(100)
    for number in range(6):
        cluster.request(flow_key(number), b'next', cluster.balancers[1])
    # The offers are in flight to the targets.
    cluster.advance(3)
    cluster.clock.advance(500)
    for node in cluster.agents:
        assert node.agent is not None
        node.agent.tick()
    cluster.advance(200)
    for number in range(6):
        assert cluster.bodies(flow_key(number))[-1].endswith(b'next')
    events = [
        balancer.log.named('flow_held_twice') for balancer in cluster.balancers
    ]
    assert not any(events)


def _restart_all_but_one_target(cluster: FlowCluster, lost: int) -> FlowTarget:
    """Restarts all processes and targets, except for one target.

    Args:
        cluster: The cluster.
        lost: Number of the agent whose target is not restarted.

    Returns:
        The target that is not restarted; it is down.
    """
    balancers, agents = len(cluster.balancers), len(cluster.agents)
    for number in range(balancers):
        cluster.add_balancer(number)
    kept = cluster.nodes[f'10.0.1.{lost + 1}'].target
    assert kept is not None
    kept.is_up = False
    for number in range(agents):
        if number != lost:
            cluster.nodes.pop(f'10.0.1.{number + 1}')
        cluster.add_agent(number)
    return kept


@pytest.mark.parametrize(
    ('is_back', 'answers'), [(False, True), (True, True), (True, False)]
)
def test_agent_without_its_target_after_a_restart(
    is_back: bool, answers: bool
) -> None:
    """Guards against searches that wait for a target that does not exist.

    Pattern: a power loss after targets were drained and removed; their agents
    start again without a target.
    """
    cluster = FlowCluster(balancers=1, agents=3)
    _open_flows(cluster, 15)
    # Heartbeats have just been sent; the next ones follow 1.2 s later.
    cluster.advance(HEARTBEAT_MS - cluster.clock.now_ms() % HEARTBEAT_MS)
    target = _restart_all_but_one_target(cluster, lost=2)
    # If it is up again, only its agent has restarted, as in maintenance.
    target.is_up = is_back
    target.answers = answers
    cluster.advance(100)
    for _ in range(5):
        for number in range(15):
            if not cluster.is_reset(flow_key(number)):
                cluster.request(flow_key(number), b'next')
        cluster.advance(200)
    for number in range(15):
        is_held = is_back and flow_key(number) in target.flows
        assert cluster.is_reset(flow_key(number)) != is_held


@pytest.mark.parametrize('target_lives', [True, False])
@pytest.mark.parametrize('down_ms', [700, 1650])
def test_requests_sent_while_an_agent_is_down(
    target_lives: bool, down_ms: int
) -> None:
    """Guards against requests that wait for a late retransmission.

    Pattern: nodes beside targets are killed and start again. Clients
    retransmit 0.2, 0.6, 1.4 and 3.0 s after a request, and give up before the
    last of these. If the target has died too, they are told at once.
    """
    cluster = FlowCluster(balancers=2, agents=3)
    cluster.advance(8000)
    _open_flows(cluster, 12)
    node = cluster.agents[0]
    assert node.target is not None
    held = [flow_key(flow) for flow in range(12)]
    held = [key for key in held if key in node.target.flows]
    assert held
    node.is_up = False
    sent_ms = (0, 200, 600, 1400)
    for elapsed_ms in range(0, down_ms, 50):
        if elapsed_ms in sent_ms:
            for key in held:
                cluster.request(key, b'next', is_copy=elapsed_ms > 0)
        cluster.advance(50)
    if not target_lives:
        cluster.nodes.pop(node.record.host)
    cluster.add_agent(0)
    # The hello of an agent, and a round trip for each step of a search.
    cluster.advance(250)
    for key in held:
        assert cluster.is_reset(key) != target_lives
        assert len(cluster.bodies(key)) == 1 + target_lives


@pytest.mark.parametrize('is_answered', [True, False])
def test_stop_notice_overtakes_the_last_answer(is_answered: bool) -> None:
    """Guards against a request cut off in a planned stop although it ran.

    Pattern: a release. A target answers its last request and stops; its notice
    comes through another socket and is read before the answer.
    """
    cluster = FlowCluster(balancers=1, agents=1)
    _open_flows(cluster, 3)
    node = cluster.agents[0]
    assert node.target is not None and node.agent is not None
    node.target.answers = is_answered
    cluster.request(flow_key(0), b'last')
    # The request has arrived at the target; the answer is on its way.
    cluster.advance(2)
    assert node.target.served[-1] == b'last'
    node.agent.on_departure(node.target.name)
    assert cluster.is_reset(flow_key(1))
    assert not cluster.is_reset(flow_key(0))
    cluster.advance(30)
    assert len(cluster.bodies(flow_key(0))) == 1 + is_answered
    cluster.advance(120)
    assert cluster.is_reset(flow_key(0))


def test_target_that_starts_right_after_a_stop_keeps_its_flows() -> None:
    """Guards against the delayed resets of a stop that hit the next target."""
    cluster = FlowCluster(balancers=1, agents=1)
    _open_flows(cluster, 1)
    node = cluster.agents[0]
    assert node.target is not None and node.agent is not None
    node.agent.on_departure(node.target.name)
    node.target.crash()
    node.target.is_up = True
    node.target.name = 'next'
    node.target.born_ms += 5000
    node.target.sequence = 0
    node.heartbeat()
    cluster.advance(20)
    cluster.open(flow_key(5))
    cluster.advance(10)
    assert flow_key(5) in node.target.flows
    cluster.advance(150)
    assert not cluster.is_reset(flow_key(5))


def test_agent_whose_vm_returns_packets_without_a_target() -> None:
    """Guards against flows drawn by an agent that refuses all of them.

    Pattern: a power loss after targets were drained. Their VMs return packets
    although no target runs, and no heartbeat comes.
    """
    cluster = FlowCluster(balancers=1, agents=3)
    node = cluster.add_agent(0, sends_heartbeat=False)
    assert node.target is not None and node.agent is not None
    node.target.max_flows = 0
    node.watch.on_probe(is_listening=False)
    cluster.advance(200)
    for number in range(20):
        cluster.open(flow_key(number))
    cluster.advance(60)
    assert not node.target.opened
    node.agent.on_target_packet(
        _bounced(PlainPacket(key=flow_key(1), flags='A', body=b'x'))
    )
    assert node.watch.is_absent
    assert all(cluster.holder(flow_key(number)) for number in range(20))
