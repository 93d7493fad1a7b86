"""Knowledge of restores of the store, in virtual time."""

import gevent
import pytest

from anvilthread.flows.message_codec import decode_message, encode_message
from anvilthread.flows.node_messages import Hello
from anvilthread.flows.node_record import NodeRecord, NodeRole
from anvilthread.flows.store_era import UNKNOWN_ERA, StoreEra
from anvilthread.telemetry.memory_log import MemoryLog
from standins.flow_cluster import FlowCluster


@pytest.mark.parametrize(
    ('observed', 'number', 'restores'),
    [
        ([3], 3, 0),
        ([3, 3], 3, 0),
        ([3, 4, 4], 4, 1),
        ([3, 4, 3], 4, 1),
        ([1, 2, 3], 3, 2),
    ],
)
def test_each_restore_is_logged_once(
    observed: list[int], number: int, restores: int
) -> None:
    """Guards against a restore that on-call cannot tell from an old answer."""
    log = MemoryLog()
    era = StoreEra(log=log)
    for each in observed:
        era.observe(each, 'store')
    assert era.number == number
    assert len(log.named('store_restored')) == restores


def test_waiters_learn_of_a_restore() -> None:
    """Guards against a waiter that wakes for the era that it has."""
    era = StoreEra(log=MemoryLog())
    task = gevent.spawn(era.wait_beyond, 2)
    for number in (1, 2):
        era.observe(number, 'store')
        gevent.sleep(0)
        assert not task.ready()
    era.observe(3, 'store')
    task.join(timeout=1)
    assert task.ready()


def test_one_reader_tells_all_nodes() -> None:
    """Guards against a restore that only the node reading the store knows."""
    cluster = FlowCluster(balancers=2, agents=5)
    cluster.advance(500)
    reader = cluster.agents[2]
    reader.store_era.observe(4, 'store')
    reader.introducer.announce()
    cluster.advance(100)
    for node in (*cluster.balancers, *cluster.agents):
        assert node.store_era.number == 4


@pytest.mark.parametrize(
    ('missing', 'era'), [(0, 7), (1, 7), (2, 7), (3, UNKNOWN_ERA)]
)
def test_hello_of_an_earlier_release(missing: int, era: int) -> None:
    """Guards against hellos that nodes reject during a rolling upgrade."""
    node = NodeRecord('10.0.0.1', NodeRole.AGENT, 'site-a', 'bookings', 1)
    hello = Hello(node, 5, 40, wants_peers=True, store_era=7)
    content = encode_message(hello)
    assert decode_message(content) == hello
    # The era and the view with its age are the last elements of the array, of
    # one byte each.
    earlier = bytes([content[0] - missing])
    earlier += content[1 : len(content) - missing]
    decoded = decode_message(earlier)
    assert isinstance(decoded, Hello)
    assert decoded.store_era == era
    assert decoded.evacuation is None
    assert decoded.evacuation_age_ms == -1
