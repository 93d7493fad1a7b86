"""Where new flows go while targets fail that call themselves well."""

import pytest

from standins.flow_cluster import FlowCluster, flow_key
from standins.flow_form import FAILURE, PlainPacket

_AGENTS = 6
_GAP_MS = 10


def _failed_share(cluster: FlowCluster, numbers: range) -> float:
    failed = 0
    for number in numbers:
        key = flow_key(number)
        cluster.open(key)
        cluster.advance(_GAP_MS)
        cluster.request(key, b'request')
        cluster.advance(_GAP_MS)
        cluster.send_packet(PlainPacket(key=key, flags='AF'))
        failed += any(it.startswith(FAILURE) for it in cluster.bodies(key))
    return failed / len(numbers)


@pytest.mark.parametrize('failing', [1, 2, 3])
def test_targets_that_fail_at_once_are_spared(failing: int) -> None:
    """Guards against the least loaded target being one that fails.

    Pattern: some targets answer every request with an error, faster than the
    others work, and their heartbeats and health checks say that all is well.
    """
    cluster = FlowCluster(balancers=2, agents=_AGENTS)
    for target in cluster.targets[:failing]:
        target.fails = True
    _failed_share(cluster, range(100))
    # What is left are the few requests by which a resting target is tried
    # again; equal shares would give failing / 6.
    assert _failed_share(cluster, range(100, 300)) <= 0.04 * failing


def test_service_that_fails_as_a_whole_is_not_starved() -> None:
    """Guards against all flows for the last target that has not failed yet.

    Pattern: a release with a fault makes most targets fail.
    """
    cluster = FlowCluster(balancers=1, agents=_AGENTS)
    for target in cluster.targets[1:]:
        target.fails = True
    _failed_share(cluster, range(200))
    opened = [len(target.opened) for target in cluster.targets]
    assert max(opened) <= 100


def test_recovered_target_gets_flows_again() -> None:
    """Guards against targets that are left out for good."""
    cluster = FlowCluster(balancers=1, agents=_AGENTS)
    target = cluster.targets[0]
    target.fails = True
    _failed_share(cluster, range(100))
    target.fails = False
    cluster.advance(8000)
    before = len(target.opened)
    assert _failed_share(cluster, range(100, 160)) == 0
    assert len(target.opened) >= before + 5


def test_crashed_target_gets_no_further_flows() -> None:
    """Guards against opening packets for a target until its silence is long.

    Pattern: a target crashes; its agent lives and reports an idle target.
    """
    cluster = FlowCluster(balancers=1, agents=_AGENTS)
    cluster.targets[0].crash()
    host = cluster.agents[0].record.host
    for number in range(60):
        cluster.open(flow_key(number))
        cluster.advance(_GAP_MS)
    placed = [
        entry
        for entry in cluster.balancers[0].log.named('flow_placed')
        if entry.fields['agent'] == host
    ]
    # Ten in sixty is the equal share; the target is noticed within 0.2 s.
    assert len(placed) <= 6


def test_agent_beside_a_target_that_refuses_everything() -> None:
    """Guards against an idle agent that draws all flows and refuses them.

    Pattern: after a power loss, VMs whose targets were taken away come back
    for some seconds, and what is left of their targets refuses every flow.
    """
    cluster = FlowCluster(balancers=2, agents=_AGENTS)
    refusing = cluster.targets[:2]
    for target in refusing:
        target.max_flows = 0
    for number in range(200):
        key = flow_key(number)
        cluster.open(key, cluster.balancers[number % 2])
        cluster.advance(5)
        cluster.request(key, b'request', cluster.balancers[number % 2])
    refused = sum(len(target.bounced) for target in refusing)
    # Without rests, the idle ones are asked first for nearly every flow.
    assert refused <= 20
    assert sum(len(target.flows) for target in cluster.targets) == 200
