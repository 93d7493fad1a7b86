"""The probe of a silent target by the process of its agent."""

import time

import gevent
import pytest
from gevent.server import StreamServer

from anvilthread.flow_node.agent_process import AgentProcess
from anvilthread.flow_node.flow_node_settings import FlowNodeSettings
from anvilthread.flows.flow_key import FlowKey, pack_endpoint
from anvilthread.flows.node_record import NodeRole
from anvilthread.flows.packet_messages import Place
from standins.free_port import free_port
from standins.plain_packet_codec import (
    PlainPacket,
    PlainPacketCodec,
    encode_packet,
)

_HOST = '127.0.0.1'
_SERVICE = 'bookings'

#: Ample on a loaded machine, and less than the silence that proves the end of
#: a target without a probe.
_LIMIT_S = 2.5


def _key(number: int) -> FlowKey:
    client = pack_endpoint(_HOST, 10_000 + number)
    return FlowKey(client + pack_endpoint('198.18.0.1', 80))


def _start_agent(target_port: int) -> AgentProcess:
    """Creates an agent with one open flow and unanswered opening packets."""
    process = AgentProcess(
        settings=FlowNodeSettings(
            name='agent',
            role=NodeRole.AGENT,
            host=_HOST,
            site='site-a',
            service=_SERVICE,
            node_port=free_port(),
            contacts=(),
            client_port=free_port(),
            target_address=(_HOST, target_port),
            outbound_address=(_HOST, free_port()),
            heartbeat_ms=1200,
            stop_ms=1000,
        ),
        codec=PlainPacketCodec(),
    )
    answer = encode_packet(PlainPacket(key=_key(0), flags='SA'))
    packet = PlainPacketCodec().from_target(answer)
    assert packet is not None
    process._agent.on_target_packet(packet)
    gevent.sleep(0.01)
    for number in range(1, 4):
        opening = encode_packet(PlainPacket(key=_key(number), flags='S'))
        place = Place(packet=opening, service=_SERVICE, version=1)
        process._agent.on_place(_HOST, place)
    return process


@pytest.mark.parametrize('listens', [True, False])
def test_silent_target_is_probed(listens: bool) -> None:
    """Guards against a process that never probes the port of its target.

    It probes it again after a pause, and not at every tick.
    """
    accepted_s: list[float] = []
    target = StreamServer(
        (_HOST, free_port()), lambda *_: accepted_s.append(time.monotonic())
    )
    if listens:
        target.start()
    process = _start_agent(target.address[1])
    counters = process.process.counters
    deadline_s = time.monotonic() + _LIMIT_S
    try:
        while time.monotonic() < deadline_s:
            if 'flow_reset' in counters.counts or len(accepted_s) == 2:
                break
            process._tick()
            gevent.sleep(0.02)
    finally:
        target.stop()
    assert counters.counts.get('flow_reset', 0) == (not listens)
    assert len(accepted_s) == 2 * listens
    if listens:
        assert accepted_s[1] - accepted_s[0] > 0.15
