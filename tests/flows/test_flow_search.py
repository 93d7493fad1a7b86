"""State of the search for one flow."""

import pytest

from anvilthread.flows.flow_search import FlowSearch
from standins.flow_cluster import SERVICE, flow_key
from standins.plain_packet_codec import (
    PlainPacket,
    PlainPacketCodec,
    encode_packet,
)

_HOST = '10.0.1.1'


def _search(packets: int = 1) -> FlowSearch:
    decoded = [
        PlainPacketCodec().from_client(
            encode_packet(
                PlainPacket(key=flow_key(1), flags='A', sequence=number)
            )
        )
        for number in range(packets)
    ]
    first = decoded[0]
    assert first is not None
    search = FlowSearch(packet=first, service=SERVICE, now_ms=1000)
    for packet in decoded[1:]:
        assert packet is not None
        search.queue_packet(packet, 1000)
    return search


@pytest.mark.parametrize(
    ('packets', 'with_packet', 'is_unknown', 'forwarded'),
    [
        (3, True, False, 2),
        (3, False, False, 3),
        # An agent that does not know has dropped the packet.
        (3, True, True, 3),
        # The queue is limited; clients retransmit the rest.
        (20, False, False, 8),
    ],
)
def test_packets_for_the_holder(
    packets: int, with_packet: bool, is_unknown: bool, forwarded: int
) -> None:
    """Guards against a first packet that no agent delivers."""
    search = _search(packets)
    search.record_question(_HOST, 1000, with_packet=with_packet)
    if is_unknown:
        search.record_unknown(_HOST)
    assert len(search.packets_for(_HOST)) == forwarded


def test_pauses_between_questions() -> None:
    """Guards against questions to a silent agent at a constant rate."""
    search = _search()
    asked_ms = []
    for now_ms in range(1000, 8000, 20):
        if search.is_due(_HOST, now_ms):
            search.record_question(_HOST, now_ms, with_packet=False)
            asked_ms.append(now_ms)
    pauses = [later - at for at, later in zip(asked_ms, asked_ms[1:])]
    assert pauses == [200, 400, 800, 1600, 1600, 1600]
    search.record_denial(_HOST)
    assert not search.is_unanswered
    assert search.pending([_HOST, '10.0.1.2']) == ['10.0.1.2']
