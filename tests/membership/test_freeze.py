"""Freezes of a process, and its outdated table afterwards."""

import pytest

from anvilthread.membership import MemberState
from standins.membership_cluster import MembershipCluster, address_of


@pytest.mark.parametrize('frozen_ms', [800, 3000, 60_000])
def test_resumed_node_synchronises_first(frozen_ms: int) -> None:
    """Guards against a resumed node that acts on its outdated table."""
    cluster = MembershipCluster(seed=1)
    cluster.add_all(10)
    frozen = cluster.nodes[4]
    before = frozen.node.member.incarnation
    cluster.clock.advance(37)
    frozen.clock.pause(frozen_ms)
    cluster.clock.advance(frozen_ms // 4)
    cluster.nodes[3].node.announce_draining()
    cluster.clock.advance(frozen_ms - frozen_ms // 4)
    stale = frozen.node.table.get(address_of(3))
    is_stale = stale is not None and stale.state == MemberState.ALIVE
    assert not (is_stale and frozen.node.is_synchronised)
    cluster.clock.advance(300)
    assert frozen.node.is_synchronised
    assert frozen.node.member.incarnation > before
    fresh = frozen.node.table.get(address_of(3))
    assert fresh is not None
    assert fresh.state == MemberState.DRAINING
    cluster.clock.advance(3000)
    assert set(cluster.states(4).values()) == {MemberState.ALIVE}
    cluster.stop()


def test_freeze_is_visible_before_any_task_runs() -> None:
    """Guards against a node that seems synchronised until its next tick."""
    cluster = MembershipCluster(seed=2)
    cluster.add_all(4)
    assert all(each.node.is_synchronised for each in cluster.nodes.values())
    before = {each.node.member.incarnation for each in cluster.nodes.values()}
    cluster.clock.skip(5000)
    assert not any(each.node.is_synchronised for each in cluster.nodes.values())
    cluster.clock.advance(1000)
    for each in cluster.nodes.values():
        assert each.node.is_synchronised
        assert each.node.member.incarnation > max(before)
    cluster.stop()


def test_resumed_node_waits_for_peers() -> None:
    """Guards against answers from before the freeze that count afterwards."""
    cluster = MembershipCluster(seed=3)
    cluster.add_all(10)
    others = [other for other in cluster.nodes if other != 4]
    cluster.nodes[4].clock.pause(2000)
    cluster.clock.advance(1000)
    cluster.cut(others, [4])
    cluster.clock.advance(6000)
    node = cluster.nodes[4].node
    assert not node.is_synchronised
    assert len(node.table.index.live) == 10
    cluster.network.heal()
    cluster.clock.advance(3000)
    assert node.is_synchronised
    cluster.stop()


def test_short_pause_is_no_freeze() -> None:
    """Guards against nodes that stop placing after every short pause."""
    cluster = MembershipCluster(seed=4)
    cluster.add_all(6)
    cluster.nodes[2].clock.pause(200)
    for _ in range(30):
        cluster.clock.advance(10)
        assert cluster.nodes[2].node.is_synchronised
    cluster.stop()
