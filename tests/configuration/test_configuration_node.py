"""Replication of the configuration on virtual time."""

from collections.abc import Iterator

import gevent
import pytest
from hypothesis import given, settings, strategies

from anvilthread.address import Address
from anvilthread.configuration import STORE_KEY, encode_record
from anvilthread.configuration.messages import (
    Deltas,
    Fetch,
    Whole,
    decode_message,
    encode_message,
)
from anvilthread.configuration.record import Change, ConfigurationRecord
from anvilthread.configuration.watcher_choice import is_watcher
from anvilthread.store import CallKind
from standins.configuration_fleet import Fleet, proposal, texts

#: Target of the design page for "in force everywhere".
_TARGET_MS = 3000
_STRANGER = Address(host='10.9.9.9', port=1)
_NEW_NODE = Address(host='10.9.9.8', port=1)


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    """Sixty nodes at two sites, with revision 1 in force."""
    running = Fleet(size=60)
    running.apply(proposal()).unwrap()
    running.clock.advance(_TARGET_MS)
    yield running
    running.stop()


def _watchers(fleet: Fleet) -> list[Address]:
    return [
        address
        for site in fleet.sites.values()
        for address in site
        if is_watcher(address, site)
    ]


def test_change_is_in_force_everywhere(fleet: Fleet) -> None:
    """Guards against nodes that miss a change (guarantee 8)."""
    fleet.apply(proposal(deadline_ms=2, expected=1)).unwrap()
    fleet.clock.advance(_TARGET_MS)
    assert fleet.revisions() == {2}


@pytest.mark.parametrize('loss', [0, 0.02, 0.1])
@pytest.mark.parametrize('site', ['kgn-a', 'kgn-b'])
def test_only_one_node_reaches_the_store(
    fleet: Fleet, site: str, loss: float
) -> None:
    """Guards against replication that needs the store at every site."""
    connected = next(
        address for address in _watchers(fleet) if address in fleet.sites[site]
    )
    for address, store in fleet.stores.items():
        store.reachable = address == connected
    fleet.network.loss = loss
    fleet.apply(proposal(deadline_ms=2, expected=1)).unwrap()
    fleet.clock.advance(_TARGET_MS)
    assert fleet.revisions() == {2}


def test_chosen_watchers_are_cut_off(fleet: Fleet) -> None:
    """Guards against a site that misses changes if its watchers are cut off."""
    chosen = _watchers(fleet)
    assert len(chosen) == 6
    for address in chosen:
        fleet.stores[address].reachable = False
    fleet.apply(proposal(deadline_ms=2, expected=1)).unwrap()
    fleet.clock.advance(60_000)
    assert fleet.revisions() == {2}


def test_record_from_a_command_is_replicated(fleet: Fleet) -> None:
    """Guards against a change that waits for nodes cut off from the store."""
    for store in fleet.stores.values():
        store.reachable = False
    applied = fleet.apply(proposal(deadline_ms=2, expected=1)).unwrap()
    next(iter(fleet.nodes.values())).offer(applied.record, 'command')
    fleet.clock.advance(50)
    notified = [node for node in fleet.nodes.values() if node.revision == 2]
    assert len(notified) > len(fleet.nodes) // 2
    fleet.clock.advance(_TARGET_MS)
    assert fleet.revisions() == {2}


def test_new_node_during_an_outage(fleet: Fleet) -> None:
    """Guards against a new VM that waits for the store."""
    fleet.state.faults.outage = True
    fleet.clock.advance(60_000)
    fleet.stop_probes()
    node = fleet.add()
    fleet.clock.advance(_TARGET_MS)
    assert node.revision == 1
    assert fleet.revisions() == {1}


def test_change_right_after_an_outage(fleet: Fleet) -> None:
    """Guards against a retry delay that is too long after a long outage."""
    fleet.state.faults.outage = True
    fleet.clock.advance(600_000)
    fleet.state.faults.outage = False
    fleet.apply(proposal(deadline_ms=2, expected=1)).unwrap()
    fleet.clock.advance(_TARGET_MS)
    assert fleet.revisions() == {2}


def test_replication_without_membership(fleet: Fleet) -> None:
    """Guards against nodes that stay outdated without notices and probes."""
    fleet.stop_probes()
    chosen = _watchers(fleet)
    for address, store in fleet.stores.items():
        store.reachable = address in chosen
    fleet.network.loss = 1
    fleet.apply(proposal(deadline_ms=2, expected=1)).unwrap()
    fleet.clock.advance(1000)
    assert fleet.revisions() == {1, 2}
    fleet.network.loss = 0
    fleet.clock.advance(180_000)
    assert fleet.revisions() == {2}


def test_slow_store_delays_only_changes(fleet: Fleet) -> None:
    """Guards against a node that answers no fetch while a call is slow."""
    fleet.state.faults.delay_ms = 10_000
    fleet.clock.advance(30_000)
    node = fleet.add()
    fleet.clock.advance(_TARGET_MS)
    assert node.revision == 1


def test_revision_never_decreases(fleet: Fleet) -> None:
    """Guards against a revert by the store or by a peer (guarantee 8)."""
    for number in range(2, 6):
        change = proposal(deadline_ms=number, expected=number - 1)
        fleet.apply(change).unwrap()
        fleet.clock.advance(_TARGET_MS)
    fleet.state.faults.older_by = 3
    fleet.clock.advance(60_000)
    fleet.state.faults.older_by = 0
    fleet.apply(proposal(deadline_ms=6, expected=5)).unwrap()
    fleet.clock.advance(_TARGET_MS)
    assert fleet.revisions() == {6}
    for adopted in fleet.adopted.values():
        assert adopted == sorted(set(adopted))


def test_same_revision_with_other_content(
    fleet: Fleet, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against nodes that silently follow a forked history."""
    forked = ConfigurationRecord(
        change=Change(revision=1, change_id='fork', operator='x', applied_ms=0),
        texts=texts(9),
    )
    fleet.state.restore(STORE_KEY, encode_record(forked).unwrap())
    fleet.clock.advance(30_000)
    changes = {
        node.record.change.change_id
        for node in fleet.nodes.values()
        if node.record
    }
    assert changes == {'ama-1000'}
    assert 'event=configuration_differs revision=1' in caplog.text


def test_calls_stay_within_the_rates_of_the_store() -> None:
    """Guards against store calls that grow with the number of nodes."""
    totals = []
    for size in (40, 160):
        fleet = Fleet(size=size)
        fleet.apply(proposal()).unwrap()
        fleet.clock.advance(30_000)
        fleet.state.calls.clear()
        for number in range(2, 12):
            change = proposal(deadline_ms=number, expected=number - 1)
            fleet.apply(change).unwrap()
            fleet.clock.advance(6000)
        assert fleet.revisions() == {11}
        assert fleet.state.peak(CallKind.READ, CallKind.WATCH) < 100
        assert fleet.state.peak(CallKind.WRITE, CallKind.LEASE) <= 1
        assert fleet.state.waiting <= 6
        totals.append(fleet.state.total(*CallKind))
        fleet.stop()
    assert totals[1] <= totals[0] * 1.2


def test_outage_does_not_multiply_calls(fleet: Fleet) -> None:
    """Guards against retries that flood a store that has just come back."""
    fleet.state.faults.outage = True
    before = [store.counts.total for store in fleet.stores.values()]
    fleet.clock.advance(60_000)
    after = [store.counts.total for store in fleet.stores.values()]
    calls = sum(after) - sum(before)
    assert 0 < calls / 60 < 10


def test_changes_are_sent_as_deltas() -> None:
    """Guards against whole records that exceed the control budget."""
    fleet = Fleet(size=30)
    comments = '\n'.join(f'# {fleet.random.random()}' for _ in range(3000))
    for number in range(1, 4):
        change = proposal(deadline_ms=number, expected=number - 1)
        change.texts.overlays['kgn-a'] = comments
        fleet.network.bytes_sent = 0
        record = fleet.apply(change).unwrap().record
        fleet.clock.advance(_TARGET_MS)
        assert fleet.revisions() == {number}
    whole = len(encode_record(record).unwrap())
    assert whole > 20_000
    assert fleet.network.bytes_sent < whole
    fleet.stop()


def test_node_far_behind_gets_the_whole_record(fleet: Fleet) -> None:
    """Guards against a returning node whose deltas peers no longer cache."""
    address, node = next(
        (address, node)
        for address, node in fleet.nodes.items()
        if address not in _watchers(fleet)
    )
    fleet.stores[address].reachable = False
    for other in fleet.nodes:
        fleet.network.cut(address, other)
        fleet.network.cut(other, address)
    for number in range(2, 30):
        change = proposal(deadline_ms=number, expected=number - 1)
        fleet.apply(change).unwrap()
        fleet.clock.advance(100)
    assert node.revision == 1
    fleet.network.heal()
    fleet.clock.advance(_TARGET_MS)
    assert node.revision == 29


def test_forked_record_is_replaced_by_a_later_one(fleet: Fleet) -> None:
    """Guards against a node that cannot apply the deltas of its peers."""
    fleet.state.faults.outage = True
    forked = ConfigurationRecord(
        change=Change(revision=1, change_id='fork', operator='x', applied_ms=0),
        texts=texts(9),
    )
    node = fleet.add()
    node.offer(forked, 'test')
    fleet.state.faults.outage = False
    fleet.apply(proposal(deadline_ms=2, expected=1)).unwrap()
    fleet.clock.advance(_TARGET_MS)
    assert node.record is not None
    assert node.record.change.change_id == 'ama-2'


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    payload=strategies.one_of(
        strategies.binary(max_size=40),
        strategies.builds(
            lambda base: encode_message(Fetch(revision=base)),
            strategies.integers(-3, 3),
        ),
        strategies.just(encode_message(Deltas(deltas=()))),
        strategies.binary(max_size=20).map(b'\x92\x03\xc4\x14'.__add__),
    )
)
def test_malformed_messages_change_nothing(payload: bytes) -> None:
    """Guards against a receiver that ends or adopts on bad input."""
    fleet = Fleet(size=2)
    fleet.apply(proposal()).unwrap()
    fleet.clock.advance(2000)
    stranger = fleet.network.transport(_STRANGER)
    for address in fleet.nodes:
        stranger.send(address, payload)
    fleet.clock.advance(100)
    assert fleet.revisions() == {1}
    new_node = fleet.network.transport(_NEW_NODE)
    answers = [gevent.spawn(new_node.receive) for _ in fleet.nodes]
    for address in fleet.nodes:
        new_node.send(address, encode_message(Fetch(revision=0)))
    fleet.clock.advance(100)
    for answer in answers:
        assert isinstance(decode_message(answer.value.payload), Whole)
    fleet.stop()
