"""Partitions of sites and nodes, in one or both directions."""

import pytest

from anvilthread.membership import MemberState
from standins.membership_cluster import MembershipCluster, address_of

_SITES = ('site-a', 'site-b', 'site-c')
_LOCAL_STATES = {MemberState.ALIVE, MemberState.SUSPECT}


def _cluster(count: int, seed: int) -> MembershipCluster:
    cluster = MembershipCluster(seed=seed, sites=_SITES)
    cluster.add_all(count)
    return cluster


def _all_states(cluster: MembershipCluster) -> set[MemberState | None]:
    return {
        state
        for number in cluster.nodes
        for state in cluster.states(number).values()
    }


def _request_site_check(
    cluster: MembershipCluster, numbers: list[int], site: str
) -> None:
    """Starts a check of the site, which is made on demand."""
    for number in numbers:
        cluster.nodes[number].node.site_in_contact(site)
    cluster.clock.advance(200)


@pytest.mark.parametrize(
    ('inward', 'outward'), [(True, True), (True, False), (False, True)]
)
@pytest.mark.parametrize('count', [6, 12, 21])
def test_lost_site_is_unreachable_and_not_dead(
    count: int, inward: bool, outward: bool
) -> None:
    """Guards against resets of connections that work over another path."""
    cluster = _cluster(count, seed=count)
    inside = cluster.numbers('site-b')
    outside = [other for other in cluster.nodes if other not in inside]
    if inward:
        cluster.cut(outside, inside)
    if outward:
        cluster.cut(inside, outside)
    for _ in range(100):
        cluster.clock.advance(100)
        assert _all_states(cluster) <= _LOCAL_STATES
    _request_site_check(cluster, outside, 'site-b')
    for number in outside:
        node = cluster.nodes[number].node
        assert not node.site_in_contact('site-b')
        assert 'site-b' not in node.table.sites
        workers = node.table.live_balancers() + node.table.live_agents(1)
        assert 'site-b' not in {worker.site for worker in workers}
    cluster.network.heal()
    cluster.clock.advance(3000)
    _request_site_check(cluster, outside, 'site-b')
    for number in outside:
        node = cluster.nodes[number].node
        assert 'site-b' in node.table.sites
        assert node.site_in_contact('site-b')
        workers = node.table.live_balancers() + node.table.live_agents(1)
        assert 'site-b' in {worker.site for worker in workers}
    assert _all_states(cluster) == {MemberState.ALIVE}
    cluster.stop()


@pytest.mark.parametrize('seed', [1, 2, 14])
def test_returning_site_brings_no_deaths(seed: int) -> None:
    """Guards against suspicions of a lost site that complete when it returns."""
    cluster = MembershipCluster(seed=seed, sites=_SITES, loss=0.02)
    cluster.add_all(21)
    inside = cluster.numbers('site-b')
    cluster.cut(
        [other for other in cluster.nodes if other not in inside], inside
    )
    cluster.clock.advance(5000)
    cluster.network.heal()
    for _ in range(30):
        cluster.clock.advance(100)
        assert _all_states(cluster) <= _LOCAL_STATES
    cluster.stop()


@pytest.mark.parametrize('count', [6, 21])
def test_contact_expires_before_any_death(count: int) -> None:
    """Guards against contact that outlasts the loss of a whole site."""
    cluster = _cluster(count, seed=count)
    inside = cluster.numbers('site-b')
    outside = [other for other in cluster.nodes if other not in inside]
    _request_site_check(cluster, outside, 'site-b')
    cluster.cut(inside, outside)
    for step in range(40):
        for number in outside:
            in_contact = cluster.nodes[number].node.site_in_contact('site-b')
            assert not in_contact or step <= 16
        cluster.clock.advance(50)
    cluster.stop()


def test_death_during_partition_is_known_after_it() -> None:
    """Guards against dead members of a lost site that stay in the table."""
    cluster = _cluster(18, seed=1)
    inside = cluster.numbers('site-b')
    outside = [other for other in cluster.nodes if other not in inside]
    cluster.cut(outside, inside)
    cluster.cut(inside, outside)
    cluster.clock.advance(2000)
    cluster.kill(inside[0])
    cluster.clock.advance(2000)
    cluster.network.heal()
    cluster.clock.advance(5000)
    states = cluster.states(inside[0])
    assert set(states.values()) == {MemberState.DEAD}
    cluster.stop()


@pytest.mark.parametrize('count', [3, 7, 12])
def test_one_way_cut_between_two_nodes(count: int) -> None:
    """Guards against a suspicion because of a single broken path."""
    cluster = MembershipCluster(seed=count)
    cluster.add_all(count)
    cluster.cut([0], [1])
    for _ in range(100):
        cluster.clock.advance(100)
        assert _all_states(cluster) == {MemberState.ALIVE}
    cluster.stop()


@pytest.mark.parametrize('can_send', [True, False])
def test_one_way_member_dies_and_returns(can_send: bool) -> None:
    """Guards against a member kept alive that can only send or receive."""
    cluster = MembershipCluster(seed=9)
    cluster.add_all(9)
    others = [other for other in cluster.nodes if other != 4]
    if can_send:
        cluster.cut(others, [4])
    else:
        cluster.cut([4], others)
    cluster.clock.advance(4000)
    states = cluster.states(4)
    states.pop(4)
    assert set(states.values()) == {MemberState.DEAD}
    for number in others:
        states = cluster.states(number)
        states.pop(4)
        assert set(states.values()) == {MemberState.ALIVE}
    cluster.network.heal()
    cluster.clock.advance(8000)
    assert _all_states(cluster) == {MemberState.ALIVE}
    cluster.stop()


def test_halves_of_a_site_merge_again() -> None:
    """Guards against two tables that never converge after a partition."""
    cluster = MembershipCluster(seed=2)
    cluster.add_all(16)
    left, right = list(range(8)), list(range(8, 16))
    cluster.cut(left, right)
    cluster.cut(right, left)
    cluster.clock.advance(8000)
    assert cluster.states(0)[8] == MemberState.DEAD
    assert cluster.states(8)[0] == MemberState.DEAD
    cluster.network.heal()
    cluster.clock.advance(15_000)
    assert _all_states(cluster) == {MemberState.ALIVE}
    cluster.stop()


@pytest.mark.parametrize('sites', [('site-a',), _SITES])
def test_site_of_a_killed_agent_is_in_contact(sites: tuple[str, ...]) -> None:
    """Guards against clients of a killed target that get no reset."""
    cluster = MembershipCluster(seed=4, sites=sites)
    cluster.add_all(12)
    killed = cluster.nodes[5].node.member
    cluster.kill(5)
    cluster.clock.advance(1500)
    for each in cluster.nodes.values():
        dead = each.node.table.by_data_address(killed.data_address)
        assert dead is not None
        assert dead.state == MemberState.DEAD
        assert each.node.site_in_contact(killed.site)
    cluster.stop()


def test_dead_member_is_no_evidence_of_contact() -> None:
    """Guards against contact with a site whose only member has died."""
    cluster = MembershipCluster(seed=5, sites=('a', 'b', 'c', 'd', 'e', 'f'))
    cluster.add_all(6)
    cluster.kill(5)
    cluster.clock.advance(2000)
    for number, each in cluster.nodes.items():
        dead = each.node.table.get(address_of(5))
        assert dead is not None, number
        assert dead.state == MemberState.DEAD
        assert not each.node.site_in_contact('f')
    cluster.stop()


@pytest.mark.parametrize('seed', [1, 2, 3, 6])
def test_last_member_of_a_site_finds_it_reachable(seed: int) -> None:
    """Guards against a site that stays unreachable for its only live member."""
    cluster = MembershipCluster(seed=seed, sites=('site-a', 'site-b'))
    cluster.add_all(6)
    others = [other for other in cluster.nodes if other]
    cluster.cut(others, [0])
    cluster.clock.advance(600)
    cluster.kill(2)
    cluster.kill(4)
    cluster.clock.advance(3000)
    assert 'site-a' not in cluster.nodes[0].node.table.sites
    cluster.network.heal()
    cluster.clock.advance(8000)
    for number in (2, 4):
        assert set(cluster.states(number).values()) == {MemberState.DEAD}
    for each in cluster.nodes.values():
        assert 'site-a' in each.node.table.sites
    cluster.stop()
