"""Evacuation of a site by balancers and agents, in virtual time."""

import pytest

from anvilthread.flows.node_messages import Hello, LoadReport
from standins.flow_cluster import SERVICE, FlowCluster, FlowNode, flow_key

_SITES = ('site-a', 'site-b', 'site-c')
_FLOWS = 60


def _cluster() -> FlowCluster:
    return FlowCluster(balancers=3, agents=6, sites=_SITES, evacuates=True)


def _open_flows(
    cluster: FlowCluster, first: int, balancer: FlowNode | None = None
) -> dict[str, int]:
    """Opens flows; returns how many each site's targets hold."""
    keys = [flow_key(number) for number in range(first, first + _FLOWS)]
    for key in keys:
        cluster.open(key, balancer)
        cluster.advance(5)
    cluster.advance(300)
    counts = dict.fromkeys(_SITES, 0)
    for node in cluster.agents:
        assert node.target is not None
        counts[node.record.site] += len(node.target.flows.keys() & set(keys))
    return counts


def _placed_evacuated(cluster: FlowCluster) -> int:
    return sum(
        node.counters.counts.get('flow_placed_evacuated', 0)
        for node in cluster.balancers
    )


def _nodes(cluster: FlowCluster, which: str) -> list[FlowNode]:
    return {
        'all': [*cluster.balancers, *cluster.agents],
        'balancers': cluster.balancers,
        'agents': cluster.agents,
        'one node': cluster.agents[:1],
    }[which]


@pytest.mark.parametrize(
    ('readers', 'partitioned', 'lost'),
    [
        ('all', '', ()),
        # The hello of the node that reads the store tells the others.
        ('one node', '', ()),
        # Balancers that are partitioned or were frozen have the former view,
        # and the former reports.
        ('agents', 'balancers', (Hello,)),
        ('agents', 'balancers', (Hello, LoadReport)),
        # Agents that have the former view, or none yet.
        ('balancers', 'agents', (Hello,)),
    ],
)
def test_evacuated_site_gets_no_new_flow(
    readers: str, partitioned: str, lost: tuple[type, ...]
) -> None:
    """Guards against new flows at an evacuated site while views differ."""
    cluster = _cluster()
    assert _open_flows(cluster, 0)['site-b'] > 0
    if partitioned:
        for node in _nodes(cluster, partitioned):
            node.lost = lost
    cluster.evacuate('site-b', at=_nodes(cluster, readers))
    cluster.advance(20)
    counts = _open_flows(cluster, 1000)
    assert counts.pop('site-b') == 0
    assert sum(counts.values()) == _FLOWS
    assert not _placed_evacuated(cluster)


def test_open_flows_are_kept_and_the_site_returns() -> None:
    """Guards against an evacuation that breaks flows, or never ends."""
    cluster = _cluster()
    assert _open_flows(cluster, 0)['site-b'] > 0
    cluster.evacuate('site-b')
    cluster.advance(5000)
    for number in range(_FLOWS):
        cluster.request(flow_key(number), b'GET')
        cluster.advance(20)
        assert len(cluster.bodies(flow_key(number))) == 1
    assert _open_flows(cluster, 1000)['site-b'] == 0
    cluster.evacuate()
    cluster.advance(200)
    assert _open_flows(cluster, 2000)['site-b'] > 0


def test_new_flow_is_refused_at_once_if_all_sites_are_evacuated() -> None:
    """Guards against clients that wait 1.4 s for a service without a site."""
    cluster = _cluster()
    cluster.advance(3000)
    cluster.evacuate(*_SITES)
    cluster.advance(10)
    cluster.open(flow_key(1))
    cluster.advance(10)
    assert cluster.is_reset(flow_key(1))
    resets = cluster.balancers[0].log.named('flow_reset')
    assert [entry.fields['reason'] for entry in resets] == ['no_agent']


@pytest.mark.parametrize('is_evacuated', [True, False])
def test_copy_of_an_opening_packet_is_refused(is_evacuated: bool) -> None:
    """Guards against a copy that reaches a target after the bound.

    The client has not received the answer to its first packet. The flow is
    open at the target, and stays so.
    """
    cluster = _cluster()
    cluster.open(flow_key(1))
    cluster.advance(100)
    node = next(it for it in cluster.agents if it.target and it.target.flows)
    if is_evacuated:
        cluster.evacuate(node.record.site)
    delivered: list[bytes] = []
    node.send_to_target = delivered.append  # type: ignore[method-assign]
    cluster.open(flow_key(1), copy=1)
    cluster.advance(100)
    assert len(delivered) == (0 if is_evacuated else 1)
    assert cluster.holder(flow_key(1)) is node.target
    assert not cluster.is_reset(flow_key(1))


@pytest.mark.parametrize('is_evacuated', [True, False])
def test_acceptance_is_reported(is_evacuated: bool) -> None:
    """Guards against balancers without the view that go on placing flows."""
    cluster = _cluster()
    balancer = cluster.balancers[0]
    node = cluster.agents[1]
    if not is_evacuated:
        cluster.evacuate(node.record.site)
        cluster.advance(1000)
    balancer.lost = (Hello,)
    sites = (node.record.site,) if is_evacuated else ()
    cluster.evacuate(*sites, at=cluster.agents)
    cluster.advance(3)
    known = balancer.roster.get(node.record.host)
    assert known is not None
    assert known.accepts is not is_evacuated


def test_node_without_a_view_places_no_flow() -> None:
    """Guards against a process that starts in an evacuation and ignores it."""
    cluster = _cluster()
    cluster.evacuate('site-b')
    cluster.advance(10)
    cluster.view = None
    started = cluster.add_balancer(0)
    for node in cluster.nodes.values():
        cluster.cuts.add((node.record.host, started.record.host))
    cluster.advance(100)
    assert not started.routes.is_loaded
    assert started.routes.check_age_ms == -1
    cluster.open(flow_key(1), started)
    cluster.advance(10)
    assert cluster.holder(flow_key(1)) is None
    assert not cluster.is_reset(flow_key(1))
    cluster.cuts.clear()
    cluster.advance(300)
    assert started.routes.is_loaded
    counts = _open_flows(cluster, 1000, started)
    assert counts.pop('site-b') == 0
    assert sum(counts.values()) == _FLOWS


def test_restored_store_does_not_open_the_site() -> None:
    """Guards against a store that comes back from a copy without the request."""
    cluster = _cluster()
    cluster.evacuate('site-b')
    cluster.advance(1000)
    cluster.evacuate(era=2)
    cluster.advance(1000)
    assert _open_flows(cluster, 0)['site-b'] == 0
    cluster.evacuate('site-b', era=2)
    cluster.advance(15_000)
    assert _open_flows(cluster, 1000)['site-b'] == 0
    cluster.evacuate(era=2)
    cluster.advance(300)
    assert _open_flows(cluster, 2000)['site-b'] > 0


def test_no_effect_where_sites_are_not_evacuated() -> None:
    """Guards against an effect on deployments without evacuation."""
    placed = []
    for evacuates in (True, False):
        cluster = FlowCluster(
            balancers=3, agents=6, sites=_SITES, evacuates=evacuates
        )
        if not evacuates:
            cluster.evacuate(*_SITES)
        _open_flows(cluster, 0)
        holders = [cluster.holder(flow_key(it)) for it in range(_FLOWS)]
        placed.append([holder and holder.name for holder in holders])
    assert placed[0] == placed[1]
    assert cluster.agents[0].record.service == SERVICE
    hellos = [node.introducer for node in cluster.balancers]
    assert all(
        it._make_hello(wants_peers=False).evacuation is None for it in hellos
    )
