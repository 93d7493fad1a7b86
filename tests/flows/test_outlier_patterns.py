"""Placement of new flows while targets fail but report no fault."""

import pytest

from standins.flow_cluster import FlowCluster, flow_key
from standins.plain_packet_codec import FAILURE_PREFIX, PlainPacket

_AGENTS = 6
_STEP_MS = 10


def _failed_share(cluster: FlowCluster, numbers: range) -> float:
    failed = 0
    for number in numbers:
        key = flow_key(number)
        cluster.open(key)
        cluster.advance(_STEP_MS)
        cluster.request(key, b'request')
        cluster.advance(_STEP_MS)
        cluster.send_packet(PlainPacket(key=key, flags='AF'))
        failed += any(
            body.startswith(FAILURE_PREFIX) for body in cluster.bodies(key)
        )
    return failed / len(numbers)


@pytest.mark.parametrize('failing', [1, 2, 3])
def test_fast_failing_targets_are_ejected(failing: int) -> None:
    """Guards against a failing target that is preferred as least loaded.

    Pattern: some targets answer every request with an error, faster than the
    others process theirs, and their heartbeats and health checks report no
    fault.
    """
    cluster = FlowCluster(balancers=2, agents=_AGENTS)
    for target in cluster.targets[:failing]:
        target.fails = True
    _failed_share(cluster, range(100))
    # The few remaining failures are requests that try an ejected target
    # again; equal shares would give failing / 6.
    assert _failed_share(cluster, range(100, 300)) <= 0.04 * failing


def test_mostly_failing_service_ejects_no_target() -> None:
    """Guards against all flows on the last target that has not failed yet.

    Pattern: a faulty release makes most targets fail.
    """
    cluster = FlowCluster(balancers=1, agents=_AGENTS)
    for target in cluster.targets[1:]:
        target.fails = True
    _failed_share(cluster, range(200))
    opened = [len(target.opened) for target in cluster.targets]
    assert max(opened) <= 100


def test_recovered_target_gets_flows_again() -> None:
    """Guards against targets that stay ejected after they recover."""
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
    """Guards against opening packets for a target until its heartbeat times out.

    Pattern: a target crashes; its agent still runs and reports no load.
    """
    cluster = FlowCluster(balancers=1, agents=_AGENTS)
    cluster.targets[0].crash()
    host = cluster.agents[0].record.host
    for number in range(60):
        cluster.open(flow_key(number))
        cluster.advance(_STEP_MS)
    placed = [
        entry
        for entry in cluster.balancers[0].log.named('flow_placed')
        if entry.fields['agent'] == host
    ]
    # Ten in sixty is the equal share; the crash is detected within 0.2 s.
    assert len(placed) <= 6


def test_target_that_refuses_every_flow() -> None:
    """Guards against an idle agent that attracts all flows and refuses them.

    Pattern: after a power loss, VMs whose targets were removed return for a
    few seconds, and the remains of their targets refuse every flow.
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
    # Without ejection, the idle ones are asked first for nearly every flow.
    assert refused <= 20
    assert sum(len(target.flows) for target in cluster.targets) == 200
