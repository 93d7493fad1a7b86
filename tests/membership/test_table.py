"""Rules of the member table, its indexes, digest and change queue."""

from random import Random

import pytest

from anvilthread.address import Address
from anvilthread.clock import ManualClock
from anvilthread.membership import (
    Member,
    MemberChange,
    MembershipSettings,
    MemberState,
    MemberTable,
    Role,
)
from anvilthread.membership.change_queue import ChangeQueue
from anvilthread.membership.pending_request import PendingRequest
from anvilthread.membership.site_contact import SiteContact
from anvilthread.membership.wire import Change
from standins.membership_cluster import MembershipCluster, address_of

_ALIVE, _SUSPECT = MemberState.ALIVE, MemberState.SUSPECT
_DRAINING, _DEAD = MemberState.DRAINING, MemberState.DEAD
_LEFT = MemberState.LEFT


def _member(
    number: int, incarnation: int = 1, state: MemberState = _ALIVE
) -> Member:
    member = MembershipCluster(seed=0).member(number)
    return member.with_version(incarnation, state)


@pytest.mark.parametrize(
    ('known', 'claim', 'accepted'),
    [
        ((1, _ALIVE), (1, _SUSPECT), True),
        ((1, _SUSPECT), (1, _ALIVE), False),
        ((1, _SUSPECT), (2, _ALIVE), True),
        ((1, _DRAINING), (1, _SUSPECT), False),
        ((1, _DEAD), (1, _ALIVE), False),
        ((1, _DEAD), (1, _DRAINING), False),
        ((1, _DEAD), (2, _ALIVE), True),
        ((1, _LEFT), (1, _DEAD), False),
        ((2, _ALIVE), (1, _DEAD), False),
        ((1, _ALIVE), (1, _ALIVE), False),
    ],
)
def test_newer_claims_win(
    known: tuple[int, MemberState],
    claim: tuple[int, MemberState],
    accepted: bool,
) -> None:
    """Guards against old messages that undo newer ones."""
    table = MemberTable()
    table.put(_member(1, *known))
    assert table.put(_member(1, *claim)) == accepted
    expected = claim if accepted else known
    member = table.get(address_of(1))
    assert member is not None
    assert member.version == expected


@pytest.mark.parametrize(
    ('state', 'is_worker', 'is_listed'),
    [
        (_ALIVE, True, True),
        (_SUSPECT, True, True),
        (_DRAINING, False, True),
        (_DEAD, False, False),
        (_LEFT, False, False),
    ],
)
@pytest.mark.parametrize('number', [4, 5])
def test_queries_follow_the_state(
    number: int, state: MemberState, is_worker: bool, is_listed: bool
) -> None:
    """Guards against work for members that cannot take it."""
    table = MemberTable()
    table.put(_member(number))
    member = _member(number, 1, state)
    table.put(member)
    is_balancer = member.role == Role.BALANCER
    workers = table.live_balancers() if is_balancer else table.live_agents(2)
    assert (member in workers) == is_worker
    assert (member in table.members_of_site('site-a')) == is_listed
    assert table.by_data_address(member.data_address) == member


def test_forgotten_members_leave_no_index_entries() -> None:
    """Guards against indexes and digests that grow with every replacement."""
    table = MemberTable()
    for number in range(50):
        table.put(_member(number))
        table.put(_member(number, 1, _DEAD))
        table.forget(address_of(number))
    assert not table
    assert table.digest.root == 0
    assert not table.members_of_site('site-a')
    assert table.by_data_address(address_of(3, 7001)) is None
    assert table.index.ring.successor(address_of(3)) is None


def test_digest_depends_on_content_only() -> None:
    """Guards against equal tables that are repaired endlessly."""
    tables = [MemberTable(), MemberTable()]
    numbers = list(range(200))
    for seed, table in enumerate(tables):
        Random(seed).shuffle(numbers)
        for number in numbers:
            table.put(_member(number))
    tables[0].put(_member(7, 1, _SUSPECT))
    assert tables[0].digest.root == tables[1].digest.root
    assert tables[0].digest.groups == tables[1].digest.groups
    tables[0].put(_member(7, 1, _DRAINING))
    assert tables[0].digest.root != tables[1].digest.root
    assert tables[0].digest.groups != tables[1].digest.groups


def test_changes_are_sent_limited_times() -> None:
    """Guards against changes that circulate forever or starve others."""
    queue = ChangeQueue(capacity=3)
    sent: list[bytes] = []
    for number in range(5):
        queue.put(Change.of(_member(number)), urgent=True)
    assert len(queue) == 3
    size = 30
    for _ in range(20):
        taken = queue.next_batch(size, 4)
        assert len(taken) <= 2
        sent.extend(change.address for change in taken)
    assert sorted(map(sent.count, set(sent))) == [4, 4, 4]
    assert not queue


def test_urgent_changes_are_sent_first() -> None:
    """Guards against a death that is delayed by a burst of joins."""
    queue = ChangeQueue(capacity=100)
    urgent = Change.of(_member(50, 1, _DEAD))
    queue.put(urgent, urgent=True)
    for number in range(50):
        queue.put(Change.of(_member(number)), urgent=False)
    for _ in range(10):
        assert queue.next_batch(30, 10)[0] == urgent
    assert urgent not in queue.next_batch(30, 10)


@pytest.mark.parametrize('loss', [0, 0.1])
def test_digests_repair_a_large_difference(loss: float) -> None:
    """Guards against members unknown to some nodes, and costly repairs."""
    cluster = MembershipCluster(seed=8, sites=('site-a',), loss=loss)
    cluster.add_all(4)
    known = cluster.nodes[0].node.table
    # No node of the other site answers, so its members stay as they are.
    other = MembershipCluster(seed=8, sites=('elsewhere',))
    for number in range(100, 500):
        known.put(other.member(number))
    sent = [peer.transport.bytes_sent for peer in cluster.nodes.values()]
    seconds = 60
    cluster.clock.advance(1000 * seconds)
    tables = [each.node.table for each in cluster.nodes.values()]
    assert {len(table) for table in tables} == {404}
    assert len({table.digest.root for table in tables}) == 1
    rates = [
        (each.transport.bytes_sent - before) / seconds
        for each, before in zip(cluster.nodes.values(), sent, strict=True)
    ]
    assert max(rates) < 5000
    cluster.stop()


def test_joining_member_fetches_the_whole_table() -> None:
    """Guards against new balancers that know few agents for minutes."""
    cluster = MembershipCluster(seed=9, sites=('site-a',))
    cluster.add_all(12)
    other = MembershipCluster(seed=9, sites=('elsewhere',))
    for each in cluster.nodes.values():
        for number in range(100, 400):
            each.node.table.put(other.member(number))
        each.node.table.sites.set_reachable('elsewhere', reachable=False)
    joined = cluster.add(12)
    cluster.clock.advance(3000)
    assert joined.node.is_synchronised
    assert len(joined.node.table) == 313
    # Requests are small; the answers are shared among the peers.
    assert joined.transport.bytes_sent < 20_000
    cluster.stop()


def test_reused_data_address_finds_live_member() -> None:
    """Guards against resets caused by the earlier member at an address."""
    table = MemberTable()
    earlier = _member(5)
    table.put(earlier)
    moved = Address(host='192.0.2.5', port=7000)
    later = Member(
        control_address=moved,
        role=Role.AGENT,
        site='site-a',
        data_address=earlier.data_address,
        request_address=earlier.request_address,
        incarnation=2,
    )
    table.put(later)
    table.put(earlier.with_version(1, _DEAD))
    assert table.by_data_address(earlier.data_address) == later


def test_answers_of_a_dead_member_are_forgotten() -> None:
    """Guards against answers of a dead agent that prove contact with its site."""
    clock = ManualClock(start_ms=1000)
    contact = SiteContact(clock=clock, settings=MembershipSettings())
    for number in (1, 2):
        peer = _member(number)
        contact.record_answer(
            PendingRequest(sequence=number, peer=peer, sent_ms=1000)
        )
    assert contact.in_contact('site-a')
    for number, expected in ((1, True), (2, False)):
        dead = _member(number, 1, _DEAD)
        contact.on_change(MemberChange(before=_member(number), after=dead))
        assert contact.in_contact('site-a') == expected


@pytest.mark.parametrize(('services', 'announced'), [((7, 8), 0), ((7, 9), 1)])
def test_only_a_difference_is_announced(
    services: tuple[int, ...], announced: int
) -> None:
    """Guards against announcements of all agents at every configuration change.

    An announcement disseminates a record of the agent under a new incarnation.
    """
    cluster = MembershipCluster(seed=1)
    node = cluster.add(0).node
    node.describe(services=(7, 8), slots=2)
    before = node.member.incarnation
    node.describe(services=services, slots=2)
    assert node.member.incarnation == before + announced
    cluster.stop()
