"""Malformed, forged and oversized messages."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from anvilthread.address import Address
from anvilthread.membership import MemberState
from anvilthread.membership.messages import decode
from anvilthread.membership.probe_messages import Ack, Ping
from anvilthread.membership.sync_messages import SyncRoot
from anvilthread.membership.wire import Change, Record
from standins.membership_cluster import MembershipCluster, address_of

_STRANGER = Address(host='192.0.2.9', port=9)

#: Probes, changes and answers to digests that a node may send per second.
_MAX_BYTES_PER_S = 796 + 2048 + 4096
_OBSERVED_MS = 1500

_EXAMPLES = settings(max_examples=300, derandomize=True, database=None)
_NUMBERS = st.integers(min_value=0, max_value=1 << 40)
_CHANGES = st.builds(
    Change,
    address=st.binary(min_size=0, max_size=8),
    incarnation=_NUMBERS,
    state=st.sampled_from(MemberState),
    reporter=st.binary(max_size=7),
)


@_EXAMPLES
@given(payload=st.binary(max_size=1300))
def test_random_bytes_never_raise(payload: bytes) -> None:
    """Guards against a datagram that ends the receiving task."""
    message = decode(payload)
    assert message is None or msgspec.msgpack.encode(message)


@_EXAMPLES
@given(position=st.integers(0, 200), value=st.integers(0, 255))
def test_altered_messages_never_raise(position: int, value: int) -> None:
    """Guards against nearly valid messages that raise in a handler."""
    member = MembershipCluster(seed=0).member(1)
    ping = Ping(sequence=7, records=(Record.of(member),))
    payload = bytearray(msgspec.msgpack.encode(ping))
    payload[position % len(payload)] = value
    message = decode(bytes(payload))
    for record in getattr(message, 'records', ()):
        assert len(record.member().site) <= 64


@settings(max_examples=60, derandomize=True, database=None, deadline=None)
@given(changes=st.lists(_CHANGES, max_size=4))
def test_nodes_survive_any_change(changes: list[Change]) -> None:
    """Guards against odd claims that stop a node or kill another."""
    cluster = MembershipCluster(seed=1)
    cluster.add_all(3, settle_ms=500)
    stray = cluster.network.transport(_STRANGER)
    ping = Ping(sequence=1, changes=tuple(changes))
    stray.send(address_of(0), msgspec.msgpack.encode(ping))
    stray.send(address_of(0), b'\x93')
    cluster.clock.advance(1500)
    assert cluster.nodes[0].node.malformed >= 1
    for number in cluster.nodes:
        assert set(cluster.states(number).values()) == {MemberState.ALIVE}
    cluster.stop()


@settings(max_examples=60, derandomize=True, database=None, deadline=None)
@given(changes=st.lists(_CHANGES, min_size=1, max_size=4))
def test_odd_changes_cause_little_work(changes: list[Change]) -> None:
    """Guards against claims whose handling floods the members or takes long.

    The bound is the traffic that docs/CAPACITY.md allows a node at any time,
    so the verdict does not depend on the speed of the machine.
    """
    cluster = MembershipCluster(seed=1)
    cluster.add_all(3, settle_ms=500)
    stray = cluster.network.transport(_STRANGER)
    ping = Ping(sequence=1, changes=tuple(changes))
    before = cluster.network.bytes_sent
    stray.send(address_of(0), msgspec.msgpack.encode(ping))
    cluster.clock.advance(_OBSERVED_MS)
    sent = cluster.network.bytes_sent - before
    assert sent <= len(cluster.nodes) * _MAX_BYTES_PER_S * _OBSERVED_MS / 1000
    cluster.stop()


def test_answers_count_only_from_the_member_asked() -> None:
    """Guards against forged answers that keep a killed member alive."""
    cluster = MembershipCluster(seed=2)
    cluster.add_all(5)
    cluster.kill(4)
    stray = cluster.network.transport(_STRANGER)
    context = cluster.nodes[0].node._context
    for _ in range(30):
        for sequence in list(context.pending_requests._open):
            ack = msgspec.msgpack.encode(Ack(sequence=sequence))
            stray.send(address_of(0), ack)
        cluster.clock.advance(50)
    assert cluster.states(4)[0] == MemberState.DEAD
    cluster.stop()


def test_repairs_are_limited_in_bytes() -> None:
    """Guards against a node overloaded by comparisons that peers start."""
    cluster = MembershipCluster(seed=4)
    cluster.add_all(4)
    stray = cluster.network.transport(_STRANGER)
    before = cluster.nodes[0].transport.bytes_sent
    for _ in range(1000):
        root = msgspec.msgpack.encode(SyncRoot(round=1, root=1))
        stray.send(address_of(0), root)
        cluster.clock.advance(1)
    # A burst of 12,288 bytes, 4,096 more per second, and the usual probes.
    sent = cluster.nodes[0].transport.bytes_sent - before
    assert 12_288 < sent < 12_288 + 4096 + 1000
    cluster.stop()


def test_datagrams_stay_within_the_limit() -> None:
    """Guards against fragmented datagrams when many members change."""
    cluster = MembershipCluster(seed=3, sites=('s' * 64,))
    cluster.add_all(60, settle_ms=3000)
    for number in range(20):
        cluster.nodes[number].node.describe(
            services=tuple(range(1000, 1064)), slots=99
        )
    cluster.clock.advance(3000)
    largest = max(
        peer.transport.largest_message_bytes for peer in cluster.nodes.values()
    )
    # The authentication tag takes 8 of the 1200 bytes.
    assert largest <= 1192
    cluster.stop()
