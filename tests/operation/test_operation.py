"""Operations between an operator and a node over a faulty network."""

from collections.abc import Callable
from random import Random
from typing import Any

import gevent
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from anvilthread.address import Address
from anvilthread.clock import ManualClock
from anvilthread.operation import (
    OperationAnswerError,
    OperationClient,
    OperationError,
    OperationRefusedError,
    OperationServer,
    OperationTimeoutError,
)
from anvilthread.operation.answers import RefusalAnswer, TargetsAnswer
from anvilthread.operation.envelope import MAGIC, pack, unpack
from anvilthread.telemetry.memory_log import MemoryLog
from anvilthread.transport import Received
from standins.memory_network import MemoryNetwork
from standins.node_with_operations import NodeWithOperations, target_status

NODE = Address(host='10.1.0.21', port=7947)
OPERATOR = Address(host='10.1.0.99', port=9)


class _Scene:
    """A client and a node that share a virtual clock."""

    def __init__(self, *, seed: int = 1) -> None:
        self.clock = ManualClock()
        self.network = MemoryNetwork(clock=self.clock, random=Random(seed))
        self.operations = NodeWithOperations()
        self.log = MemoryLog()
        self.server = OperationServer(
            transport=self.network.transport(NODE),
            operations=self.operations,
            log=self.log,
        )
        self.client = OperationClient(
            transport=self.network.transport(OPERATOR),
            clock=self.clock,
            random=Random(seed),
        )
        self.task = gevent.spawn(self.server.serve)

    def run(self, call: Callable[[], Any]) -> Any:
        """Runs one call of the client while the clock advances."""
        caller = gevent.spawn(call)
        self.clock.advance(10_000)
        assert caller.ready()
        self.client.close()
        self.task.kill(block=False)
        return caller.get()


def test_status_reaches_the_operator() -> None:
    """Guards against fields lost on the wire."""
    scene = _Scene()
    outcome = scene.run(lambda: scene.client.status(NODE))
    assert outcome == Ok(scene.operations.status())


@pytest.mark.parametrize('seed', range(5))
def test_lost_messages_are_retransmitted(seed: int) -> None:
    """Guards against a drain reported as failed after one lost message."""
    scene = _Scene(seed=seed)
    scene.network.loss = 0.3
    outcome = scene.run(lambda: scene.client.drain(NODE, operator='ama'))
    assert outcome.unwrap().state == 'draining'
    assert len(scene.log.named('operation_accepted')) >= 1


def test_unreachable_node_is_a_timeout() -> None:
    """Guards against a command that waits forever or reports success."""
    scene = _Scene()
    scene.network.cut(NODE, OPERATOR)
    error = scene.run(lambda: scene.client.drain(NODE, operator='ama'))
    assert isinstance(error.unwrap_err(), OperationTimeoutError)
    assert str(NODE) in error.unwrap_err().reason
    assert len(scene.operations.drained_by) == 4


def test_refusal_carries_reason_and_remedy() -> None:
    """Guards against a refused change that looks like a lost answer."""
    scene = _Scene()
    error = scene.run(lambda: scene.client.undrain(NODE, operator='ama'))
    assert isinstance(error.unwrap_err(), OperationRefusedError)
    assert 'start a new agent' in error.unwrap_err().remedy
    assert scene.log.named('operation_refused')[0].fields['operator'] == 'ama'


@pytest.mark.parametrize('count', [0, 1, 64, 65, 200])
def test_targets_come_in_pages_without_gaps(count: int) -> None:
    """Guards against targets missing or duplicated at a page boundary."""
    scene = _Scene()
    scene.operations.known_targets = [
        target_status(item) for item in range(count)
    ]
    outcome = scene.run(lambda: scene.client.targets(NODE))
    expected = sorted(
        target.control for target in scene.operations.known_targets
    )
    assert [target.control for target in outcome.unwrap()] == expected


def test_unknown_operation_is_refused() -> None:
    """Guards against a request of a newer command line without an answer."""
    scene = _Scene()
    transport = scene.network.transport(OPERATOR)
    # A message of another type represents an operation of a later version.
    transport.send(NODE, pack(7, RefusalAnswer(reason='x', remedy='y')))
    scene.clock.advance(100)
    envelope = unpack(transport.receive().payload)
    scene.task.kill(block=False)
    assert envelope is not None and envelope.request_id == 7
    assert b'does not know' in bytes(envelope.body)


def test_answer_of_another_kind_is_an_error() -> None:
    """Guards against a list of targets mistaken for a status."""
    scene = _Scene()
    scene.network.detach(NODE)
    node = scene.network.transport(NODE)

    def answer() -> None:
        received = node.receive()
        envelope = unpack(received.payload)
        assert envelope is not None
        page = TargetsAnswer(targets=(), has_more=False)
        node.send(received.sender, pack(envelope.request_id, page))

    task = gevent.spawn(answer)
    error = scene.run(lambda: scene.client.status(NODE)).unwrap_err()
    task.get()
    assert isinstance(error, OperationAnswerError)
    assert isinstance(error, OperationError)


@given(payload=st.binary(max_size=60))
@settings(derandomize=True, max_examples=200)
def test_any_bytes_are_tolerated(payload: bytes) -> None:
    """Guards against a damaged message that ends the server task."""
    scene = _Scene()
    for message in (payload, MAGIC + payload):
        scene.server.handle(Received(sender=OPERATOR, payload=message))
    scene.client.close()
    scene.task.kill(block=False)
