"""Search for the holders of flows, in virtual time."""

from statistics import median

import pytest

from anvilthread.flows.flow_key import FlowKey, pack_endpoint
from anvilthread.flows.node_messages import Leaving
from anvilthread.flows.route_table import Route, RouteTable, ServiceShare
from anvilthread.flows.search_messages import (
    Ask,
    Held,
    Locate,
    Located,
    NotHeld,
)
from standins.flow_cluster import (
    HEARTBEAT_MS,
    SERVICE,
    SERVICE_HOST,
    SERVICE_PORT,
    FlowCluster,
    FlowNode,
    flow_key,
    route_table,
)
from standins.plain_packet_codec import PlainPacket, encode_packet

_OTHER = 'statements'


def _weighted(version: int, weights: tuple[int, int]) -> RouteTable:
    """Builds a configuration that divides one route between two services."""
    shares = tuple(
        ServiceShare(service=service, weight=weight)
        for service, weight in zip((SERVICE, _OTHER), weights, strict=True)
    )
    endpoint = pack_endpoint(SERVICE_HOST, SERVICE_PORT)
    return RouteTable(
        version=version,
        idle_ms=15_000,
        document=b'',
        routes={endpoint: Route(name='route', shares=shares)},
    )


def _cluster(agents: int = 6, others: int = 0) -> FlowCluster:
    """Starts a cluster that has been running for longer than a start takes."""
    cluster = FlowCluster(balancers=2, agents=agents)
    for number in range(others):
        cluster.add_agent(100 + number, _OTHER)
    cluster.advance(8000)
    return cluster


def _open(cluster: FlowCluster, count: int) -> list[FlowKey]:
    keys = [flow_key(number) for number in range(count)]
    for key in keys:
        cluster.open(key)
        cluster.advance(4)
        cluster.request(key, b'first')
        cluster.advance(4)
    return keys


def _new_balancer(cluster: FlowCluster) -> FlowNode:
    """Replaces all balancers by one that knows no flow."""
    before = cluster.balancers
    balancer = cluster.add_balancer(7)
    cluster.advance(300)
    for node in before:
        node.is_up = False
    return balancer


def _request(
    cluster: FlowCluster, keys: list[FlowKey], balancer: FlowNode
) -> None:
    for key in keys:
        cluster.request(key, b'next', balancer)


def _assert_found_by_a_new_balancer(
    cluster: FlowCluster, keys: list[FlowKey]
) -> None:
    """Checks that the second request of each flow is answered."""
    _request(cluster, keys, _new_balancer(cluster))
    cluster.advance(400)
    for key in keys:
        assert not cluster.is_reset(key)
        assert len(cluster.bodies(key)) == 2


def _questions(cluster: FlowCluster) -> int:
    """Returns the number of messages that searches have sent."""
    return sum(
        cluster.sent.get(kind, 0) for kind in (Ask, Locate, Located, NotHeld)
    )


@pytest.mark.parametrize(
    ('before', 'after'),
    [
        (
            route_table(2, {SERVICE_PORT: SERVICE}),
            route_table(3, {SERVICE_PORT: _OTHER}),
        ),
        (_weighted(2, (1, 1)), _weighted(3, (1, 9))),
        (_weighted(2, (1, 1)), _weighted(3, (0, 1))),
        (_weighted(2, (1, 0)), _weighted(3, (0, 1))),
        (_weighted(2, (3, 1)), _weighted(3, (1, 3))),
    ],
)
def test_route_changes_before_a_balancer_leaves(
    before: RouteTable, after: RouteTable
) -> None:
    """Guards against a reset of an open flow of a service without its route.

    The next balancer seeks the flow when the configuration sends new flows of
    its address to another service.
    """
    cluster = _cluster(agents=6, others=4)
    cluster.configure(before)
    keys = _open(cluster, 40)
    cluster.configure(after)
    _assert_found_by_a_new_balancer(cluster, keys)


@pytest.mark.parametrize('agents', [16, 80, 200])
def test_messages_of_a_search(agents: int) -> None:
    """Guards against searches whose cost grows with the fleet.

    Pattern: a third of the balancers is rolled, and their flows arrive at
    balancers that do not know them.
    """
    cluster = _cluster(agents=agents)
    keys = _open(cluster, 60)
    balancer = _new_balancer(cluster)
    cost = []
    for key in keys:
        before = _questions(cluster)
        cluster.request(key, b'next', balancer)
        cluster.advance(30)
        # The holder answers with one more message.
        cost.append(_questions(cluster) - before + 1)
        assert len(cluster.bodies(key)) == 2
    assert median(cost) <= 4
    assert max(cost) <= 8


@pytest.mark.parametrize('changed', [1, 4])
def test_search_after_changes_of_agents(changed: int) -> None:
    """Guards against resets of flows whose holder has lost its rank.

    Agents have been added, and some have been restarted and know no flow.
    """
    cluster = _cluster(agents=16)
    keys = _open(cluster, 60)
    for number in range(changed):
        cluster.add_agent(50 + number)
        cluster.add_agent(number)
    cluster.advance(500)
    _assert_found_by_a_new_balancer(cluster, keys)


@pytest.mark.parametrize('is_slow', [True, False])
def test_silent_candidates_do_not_hide_a_holder(is_slow: bool) -> None:
    """Guards against a search that waits for agents that are dead."""
    cluster = _cluster(agents=12)
    keys = _open(cluster, 40)
    dead = cluster.agents[:4]
    for node in dead:
        node.is_up = False
    if is_slow:
        cluster.advance(1000)
    balancer = _new_balancer(cluster)
    _request(cluster, keys, balancer)
    cluster.advance(500)
    targets = [node.target for node in dead]
    for key in keys:
        is_alive = cluster.holder(key) not in targets
        assert not cluster.is_reset(key)
        assert len(cluster.bodies(key)) == 1 + is_alive


def test_lagging_view_finds_the_holder() -> None:
    """Guards against a reset by a balancer that learns of an agent late."""
    cluster = _cluster(agents=6)
    late = cluster.add_agent(30)
    cluster.advance(2000)
    keys = _open(cluster, 40)
    hidden = [key for key in keys if cluster.holder(key) is late.target]
    assert hidden
    pair = (late.record.host, '10.0.0.8')
    cluster.cuts |= {pair, ('10.0.0.8', late.record.host)}
    balancer = _new_balancer(cluster)
    _request(cluster, keys, balancer)
    cluster.advance(1500)
    assert not any(cluster.is_reset(key) for key in keys)
    cluster.cuts.clear()
    cluster.advance(1500)
    _request(cluster, hidden, balancer)
    cluster.advance(400)
    for key in hidden:
        assert not cluster.is_reset(key)
        assert cluster.bodies(key)[-1].endswith(b'next')


def test_restart_of_a_candidate_and_the_holder() -> None:
    """Guards against packets at many targets while the holder restarts.

    Pattern: machines of agents are restarted in turn, so many agents do not
    know their flows, and the holder does not answer yet. Three packets that
    reach other targets and none that reaches its own break a flow.
    """
    cluster = _cluster(agents=10)
    keys = _open(cluster, 20)
    holder = cluster.agents[0]
    assert holder.target is not None
    held = [key for key in keys if key in holder.target.flows]
    assert held
    for number in range(1, 10):
        cluster.add_agent(number)
        cluster.advance(500)
    holder.is_up = False
    balancer = _new_balancer(cluster)
    for _ in range(8):
        _request(cluster, held, balancer)
        cluster.advance(200)
    for key in held:
        bounced = [
            target for target in cluster.targets if key in target.bounced
        ]
        assert len(bounced) <= 2
    cluster.add_agent(0)
    cluster.advance(1000)
    _request(cluster, held, balancer)
    cluster.advance(200)
    for key in held:
        assert not cluster.is_reset(key)
        assert cluster.bodies(key)[-1].endswith(b'next')


@pytest.mark.parametrize(('agents', 'gone'), [(12, 0), (12, 3), (50, 6)])
def test_searches_after_a_power_loss_end(agents: int, gone: int) -> None:
    """Guards against a storm of searches of which none ends.

    Pattern: all machines lose power, their targets lose all flows, some agents
    leave soon after the start, and every client sends its request again.
    """
    cluster = _cluster(agents=agents)
    keys = _open(cluster, 80)
    restarted_ms = cluster.clock.now_ms()
    cluster.add_balancer(0)
    for number in range(agents):
        cluster.nodes.pop(f'10.0.1.{number + 1}')
        cluster.add_agent(number)
    cluster.advance(100)
    for node in cluster.agents[:gone]:
        leaving = Leaving(node=node.record, returns=False)
        node.send_to_node('10.0.0.1', leaving)
    cluster.advance(2)
    for node in cluster.agents[:gone]:
        node.is_up = False
    before = _questions(cluster)
    for _ in range(6):
        waiting = [key for key in keys if not cluster.is_reset(key)]
        _request(cluster, waiting, cluster.balancers[0])
        cluster.advance(200)
    assert all(cluster.is_reset(key) for key in keys)
    resets_ms = [at_ms for at_ms, it in cluster.received if it.flags == 'R']
    assert median(resets_ms) <= restarted_ms + 500
    # Four candidates a flow, then one question about all flows to each agent.
    assert _questions(cluster) - before <= 8 * len(keys) + 8 * agents


@pytest.mark.parametrize('silence_ms', [0, 400, 900])
def test_flows_after_a_kill_of_all_processes(silence_ms: int) -> None:
    """Guards against clients that wait although their targets hold the flows.

    Pattern: all processes are killed, the targets live on, and their next
    heartbeats come up to one interval after the start of their agents.
    """
    cluster = _cluster(agents=10)
    keys = _open(cluster, 60)
    phase_ms = cluster.clock.now_ms() % HEARTBEAT_MS
    cluster.advance(HEARTBEAT_MS - phase_ms + HEARTBEAT_MS - silence_ms - 300)
    for number in range(2):
        cluster.add_balancer(number)
    for number in range(10):
        cluster.add_agent(number, sends_heartbeat=False)
    cluster.advance(100)
    for _ in range(4):
        for key in keys:
            if len(cluster.bodies(key)) == 1:
                cluster.request(key, b'next')
        cluster.advance(200)
    for key in keys:
        assert not cluster.is_reset(key)
        assert len(cluster.bodies(key)) == 2


def test_late_balancer_resets_flows_lost_with_the_power() -> None:
    """Guards against clients that wait for a balancer that starts slowly.

    Pattern: a power loss; the smallest balancers start 2 to 3 s after the
    agents, whose targets have lost all flows.
    """
    cluster = _cluster(agents=12)
    keys = _open(cluster, 40)
    for node in cluster.balancers:
        node.is_up = False
    for number in range(12):
        cluster.nodes.pop(f'10.0.1.{number + 1}')
        cluster.add_agent(number)
    cluster.advance(2500)
    started_ms = cluster.clock.now_ms()
    balancer = cluster.add_balancer(0)
    for _ in range(20):
        waiting = [key for key in keys if not cluster.is_reset(key)]
        _request(cluster, waiting, balancer)
        cluster.advance(200)
    resets_ms = [at_ms for at_ms, it in cluster.received if it.flags == 'R']
    assert median(resets_ms) <= started_ms + 500


@pytest.mark.parametrize('cut_ms', [0, 250, 700])
@pytest.mark.parametrize('late_ms', [500, 2500, 3800])
def test_late_balancer_keeps_flows_opened_since_the_loss(
    late_ms: int, cut_ms: int
) -> None:
    """Guards against live flows reset with those that were lost.

    Pattern: a power loss; a balancer starts after others have opened flows,
    and does not reach some of their agents at first.
    """
    cluster = _cluster(agents=12)
    for number in range(12):
        cluster.nodes.pop(f'10.0.1.{number + 1}')
        cluster.add_agent(number)
    for number in range(2):
        cluster.add_balancer(number)
    cluster.advance(late_ms - 400)
    keys = _open(cluster, 40)
    cluster.advance(80)
    late = cluster.add_balancer(7)
    hosts = [node.record.host for node in cluster.agents[::3]]
    cuts = {(host, late.record.host) for host in hosts}
    cluster.cuts = cuts | {(late.record.host, host) for host in hosts}
    for step in range(10):
        if 100 * step >= cut_ms:
            cluster.cuts = set()
        for key in keys:
            cluster.request(key, b'next', late, is_copy=step > 0)
        cluster.advance(100)
    # A balancer that has left out an agent hears it with the next list.
    cluster.advance(2000)
    for key in keys:
        assert not cluster.is_reset(key)
        assert len(cluster.bodies(key)) == 2


@pytest.mark.parametrize('vanishes', [True, False])
def test_agents_without_targets_hide_no_loss(vanishes: bool) -> None:
    """Guards against clients that wait for agents beside no target.

    Pattern: a power loss in the middle of a release. The drained targets do
    not return, and their VMs are taken away one after the other.
    """
    cluster = _cluster(agents=12)
    keys = _open(cluster, 40)
    cluster.add_balancer(0)
    absent = []
    for number in range(12):
        target = cluster.nodes.pop(f'10.0.1.{number + 1}').target
        assert target is not None
        node = cluster.add_agent(number, sends_heartbeat=number > 3)
        if number <= 3:
            assert node.target is not None
            node.target.is_up = False
            node.watch.on_probe(is_listening=False)
            absent.append(node)
    for step in range(8):
        _request(cluster, keys, cluster.balancers[0])
        cluster.advance(200)
        if vanishes and step % 2 == 0 and absent:
            node = absent.pop()
            returns = not node.watch.has_departed
            leaving = Leaving(node=node.record, returns=returns)
            node.send_to_node('10.0.0.1', leaving)
            cluster.advance(2)
            node.is_up = False
    assert all(cluster.is_reset(key) for key in keys)


def test_denied_flow_is_reset_again_without_a_search() -> None:
    """Guards against a new search for each packet of a lost flow."""
    cluster = _cluster(agents=20)
    key = flow_key(1)
    cluster.request(key, b'never opened')
    cluster.advance(200)
    assert cluster.is_reset(key)
    before = _questions(cluster)
    for _ in range(5):
        cluster.request(key, b'never opened')
        cluster.advance(20)
    assert _questions(cluster) == before
    assert len(cluster.packets(key)) == 6


def test_reused_port_opens_a_new_flow() -> None:
    """Guards against a reset of a flow whose port was used before.

    The flow that the port belonged to was lost and sought just before.
    """
    cluster = _cluster(agents=4)
    key = flow_key(1)
    cluster.request(key, b'lost')
    cluster.advance(200)
    assert cluster.is_reset(key)
    cluster.received.clear()
    cluster.open(key)
    cluster.advance(10)
    cluster.request(key, b'first')
    cluster.advance(200)
    assert not cluster.is_reset(key)
    assert len(cluster.bodies(key)) == 1


def test_earlier_holder_of_a_port_gets_no_packet() -> None:
    """Guards against an answer that belongs to an earlier flow of a port.

    The port is used again while the target of the earlier flow still holds
    it, and that target's agent reports it when the new flow is being placed.
    """
    cluster = _cluster(agents=3)
    key = _open(cluster, 1)[0]
    earlier = cluster.holder(key)
    host = next(
        node.record.host for node in cluster.agents if node.target is earlier
    )
    balancer = cluster.add_balancer(7)
    cluster.advance(4000)
    node = cluster.nodes[host]
    assert earlier is not None
    earlier.is_draining = True
    node.heartbeat()
    cluster.advance(200)
    cluster.received.clear()
    cluster.open(key, balancer)
    node.send_to_node('10.0.0.8', Held(key=key, service=SERVICE))
    cluster.advance(30)
    cluster.request(key, b'second', balancer)
    cluster.advance(30)
    assert len(cluster.bodies(key)) == 1
    assert not cluster.bodies(key)[0].startswith(earlier.name.encode())


def test_paused_balancer_resets_no_flow() -> None:
    """Guards against a reset by a balancer whose view of the agents is old."""
    cluster = _cluster(agents=6)
    keys = _open(cluster, 40)
    balancer = cluster.add_balancer(1)
    cluster.advance(5000)
    balancer.is_up = False
    cluster.advance(6000)
    balancer.is_up = True
    # The first reports after the pause come from one agent only.
    for node in cluster.agents[1:]:
        cluster.cuts.add((node.record.host, balancer.record.host))
    cluster.advance(60)
    _request(cluster, keys, balancer)
    cluster.advance(900)
    assert not any(cluster.is_reset(key) for key in keys)
    cluster.cuts.clear()
    cluster.advance(1500)
    _request(cluster, keys, balancer)
    cluster.advance(400)
    for key in keys:
        assert cluster.bodies(key)[-1].endswith(b'next')


@pytest.mark.parametrize('returns', [True, False])
def test_flows_of_an_agent_that_leaves(returns: bool) -> None:
    """Guards against resets while an agent restarts beside its target.

    Also guards against clients that wait for an agent whose target has gone.
    """
    cluster = _cluster(agents=4)
    keys = _open(cluster, 30)
    node = cluster.agents[0]
    assert node.target is not None
    held = [key for key in keys if key in node.target.flows]
    assert held
    balancer = cluster.add_balancer(7)
    cluster.advance(4000)
    for host in cluster.nodes:
        leaving = Leaving(node=node.record, returns=returns)
        node.send_to_node(host, leaving)
    cluster.advance(5)
    node.is_up = False
    _request(cluster, held, balancer)
    cluster.advance(1000)
    for key in held:
        assert cluster.is_reset(key) != returns


@pytest.mark.parametrize(
    'answer',
    [
        Located(service=SERVICE, held=(), denied=(flow_key(1),), unknown=()),
        NotHeld(key=flow_key(1)),
        NotHeld(key=flow_key(1), packet=b'not a packet'),
        NotHeld(
            key=flow_key(1),
            packet=encode_packet(
                PlainPacket(key=flow_key(1), flags='A', body=b'replayed')
            ),
        ),
    ],
)
def test_answer_without_a_question(answer: Located | NotHeld) -> None:
    """Guards against a flow lost by a replayed or misdirected answer."""
    cluster = _cluster(agents=4)
    key = _open(cluster, 2)[-1]
    holder = cluster.holder(key)
    other = next(node for node in cluster.agents if node.target is not holder)
    for _ in range(3):
        other.send_to_node('10.0.0.1', answer)
        cluster.advance(5)
    cluster.request(key, b'next')
    cluster.advance(100)
    assert not cluster.is_reset(key)
    assert len(cluster.bodies(key)) == 2
