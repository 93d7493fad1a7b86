"""Binary encoding of the messages between nodes."""

import msgspec
import pytest

from anvilthread.flows.locate_batch import LocateBatch
from anvilthread.flows.message_codec import decode_message, encode_message
from anvilthread.flows.node_messages import Hello, LoadReport, Peers
from anvilthread.flows.node_record import NodeRecord, NodeRole
from anvilthread.flows.packet_messages import Place
from anvilthread.flows.search_messages import (
    Ask,
    Locate,
    Located,
    NotHeld,
)
from standins.flow_cluster import flow_key

_NODE = NodeRecord('10.0.0.1', NodeRole.AGENT, 'site-a', 'bookings', 7)


@pytest.mark.parametrize(
    'message',
    [
        Place(packet=b'p', service='bookings', version=3),
        Ask(packet=b'p', may_offer=True),
        NotHeld(key=b'k' * 12, packet=b'p'),
        Locate(keys=(b'k' * 12, b'l' * 12)),
        Located(service='bookings', held=(b'k',), denied=(), unknown=(b'l',)),
        Hello(node=_NODE, version=3, check_age_ms=-1, wants_peers=True),
        Peers(nodes=(_NODE, _NODE), version=3, check_age_ms=10),
        LoadReport(
            node=_NODE,
            sequence=1,
            accepts=True,
            working=2,
            busy=1.5,
            flows=3,
            period_ms=100,
            slots=2,
            cold_ms=0,
            version=3,
            check_age_ms=5,
        ),
    ],
)
def test_round_trip(message: object) -> None:
    """Guards against fields that are lost in encoding."""
    assert decode_message(encode_message(message)) == message  # type: ignore[arg-type]


@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'\x00',
        b'GET / HTTP/1.1',
        msgspec.msgpack.encode([99, b'p']),
        msgspec.msgpack.encode([1, b'p']),
        msgspec.msgpack.encode([1, 5, 'bookings', 'three']),
        encode_message(Place(packet=b'p', service='s', version=1))[:-1],
    ],
)
def test_malformed(content: bytes) -> None:
    """Guards against a crash, and against a partly decoded message."""
    with pytest.raises(msgspec.DecodeError):
        decode_message(content)


def test_peers_fit_a_datagram() -> None:
    """Guards against lists of nodes that the network would fragment."""
    node = NodeRecord(
        '255.255.255.255', NodeRole.AGENT, 's' * 20, 'x' * 10, 1 << 40
    )
    message = Peers(nodes=(node,) * 17, version=1 << 40, check_age_ms=1000)
    assert len(encode_message(message)) <= 1200


def test_questions_fit_a_datagram() -> None:
    """Guards against questions about many flows that would be fragmented."""
    batch = LocateBatch()
    for number in range(200):
        batch.add('10.0.0.1', flow_key(number))
    message = next(Locate(keys=keys) for _, keys in batch.items())
    assert len(message.keys) > 50
    assert len(encode_message(message)) <= 1200
