"""Reports of an agent's process."""

import os
import sys
from collections.abc import Iterator

import pytest
from gevent import socket

from anvilthread.flow_node.agent_process import AgentProcess
from anvilthread.flow_node.flow_node_settings import FlowNodeSettings
from anvilthread.flows.evacuation_view import EvacuationView
from anvilthread.flows.message_codec import decode_message
from anvilthread.flows.node_messages import LoadReport
from anvilthread.flows.node_record import NodeRecord, NodeRole
from standins.flow_cluster import SERVICE
from standins.free_port import free_port
from standins.plain_packet_codec import PlainPacketCodec

_HOST = '127.0.0.2'
_BALANCER_HOST = '127.0.0.3'


@pytest.fixture
def settings() -> Iterator[FlowNodeSettings]:
    """Settings of an agent; its log makes standard output non-blocking."""
    output = sys.__stdout__
    assert output is not None
    was_blocking = os.get_blocking(output.fileno())
    yield FlowNodeSettings(
        name='agent',
        role=NodeRole.AGENT,
        host=_HOST,
        site='site-b',
        service=SERVICE,
        node_port=free_port(),
        contacts=(),
        client_port=free_port(),
        target_address=(_HOST, free_port()),
        outbound_address=(_HOST, free_port()),
        heartbeat_ms=1200,
        stop_ms=6000,
        evacuation_ms=5000,
    )
    os.set_blocking(output.fileno(), was_blocking)


def test_evacuation_is_reported_at_once(settings: FlowNodeSettings) -> None:
    """Guards against balancers that learn of it a report period later.

    Only a change of the agent's own site is reported.
    """
    agent = AgentProcess(settings=settings, codec=PlainPacketCodec())
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as balancer:
        balancer.bind((_BALANCER_HOST, settings.node_port))
        balancer.settimeout(1)
        record = NodeRecord(_BALANCER_HOST, NodeRole.BALANCER, 'site-a', '', 1)
        agent.process.roster.record_sender(record)
        sequences = []
        for revision, sites in enumerate([(), ('a',), ('site-b',), ('a',)]):
            view = EvacuationView(era=1, revision=revision, sites=sites)
            agent.process.routes.evacuations.update(view, 'test', 0)
        for _ in range(2):
            report = decode_message(balancer.recv(2048))
            assert isinstance(report, LoadReport)
            sequences.append(report.sequence)
        balancer.settimeout(0.1)
        with pytest.raises(TimeoutError):
            balancer.recv(2048)
    assert sequences == [1, 2]
