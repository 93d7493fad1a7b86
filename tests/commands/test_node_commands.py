"""Commands that send requests to a node, over an in-memory network."""

import json
from collections.abc import Callable, Iterator
from pathlib import Path
from random import Random

import gevent
import pytest
from syrupy.assertion import SnapshotAssertion

from anvilthread.address import Address
from anvilthread.clock import Clock, SystemClock
from anvilthread.commands import components, node_call
from anvilthread.commands.exit_code import ExitCode
from anvilthread.operation import OperationServer
from anvilthread.settings import KeyFile, Keys
from anvilthread.settings.key_document import KeyDocument
from anvilthread.telemetry.memory_log import MemoryLog
from anvilthread.transport import Transport
from standins.memory_network import MemoryNetwork
from standins.node_with_operations import NodeWithOperations, target_status

NODE = Address(host='10.1.0.21', port=7947)
Command = Callable[..., tuple[int, str, str]]


@pytest.fixture
def agent(monkeypatch: pytest.MonkeyPatch) -> Iterator[NodeWithOperations]:
    """An agent that the commands reach over an in-memory network."""
    network = MemoryNetwork(clock=SystemClock(), random=Random(1), delay_ms=0)
    node = NodeWithOperations()
    node.known_targets = [target_status(1, report_age_ms=850), target_status(2)]
    server = OperationServer(
        transport=network.transport(NODE), operations=node, log=MemoryLog()
    )
    task = gevent.spawn(server.serve)

    def open_transport(
        *, keys: Keys, node: Address, bind: Address | None, clock: Clock
    ) -> Transport:
        return network.transport(bind or Address(host='10.1.0.99', port=1))

    monkeypatch.setattr(components, 'open_transport', open_transport)
    yield node
    task.kill()


@pytest.fixture
def keys(tmp_path: Path) -> Path:
    """A key file."""
    key_file = KeyFile(path=tmp_path / 'keys.toml')
    key_file.write(KeyDocument.generate(), overwrite=False).unwrap()
    return key_file.path


def test_status_is_readable(
    agent: NodeWithOperations,
    keys: Path,
    command: Command,
    snapshot: SnapshotAssertion,
) -> None:
    """Guards against a status that hides why a node is not ready."""
    code, out, err = command('status', NODE, '--keys', keys)
    assert (code, err) == (0, '')
    assert out == snapshot


def test_target_list(
    agent: NodeWithOperations,
    keys: Path,
    command: Command,
    snapshot: SnapshotAssertion,
) -> None:
    """Guards against a list from which no target can be drained."""
    code, out, _ = command('target', 'list', NODE, '--keys', keys)
    assert code == 0
    assert out == snapshot
    arguments = ('target', 'list', NODE, '--keys', keys, '--json')
    listed = json.loads(command(*arguments)[1])
    assert [target['request'] for target in listed] == [
        '10.1.1.0:7947',
        '10.1.2.0:7947',
    ]


def test_drain_names_the_operator(
    agent: NodeWithOperations, keys: Path, command: Command
) -> None:
    """Guards against a drain without effect or without an operator's name."""
    drain = ('target', 'drain', NODE, '--keys', keys)
    code, out, _ = command(*drain, '--json')
    assert (code, json.loads(out)['state']) == (0, 'draining')
    assert agent.drained_by == ['ama']
    code, out, err = command(*drain, '--undo')
    assert (code, out) == (ExitCode.REFUSED, '')
    assert err == 'error: a drain cannot be undone; start a new agent\n'


def test_unreachable_node_is_no_answer(
    agent: NodeWithOperations,
    keys: Path,
    command: Command,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an unanswered request reported as refused."""

    def short_timeout_client(**parts: object) -> object:
        return client(**parts, timeout_ms=1, attempts=2)

    client = node_call.OperationClient
    monkeypatch.setattr(node_call, 'OperationClient', short_timeout_client)
    code, _, err = command('status', '10.1.0.77:1', '--keys', keys)
    assert code == ExitCode.NO_ANSWER
    assert 'no answer from 10.1.0.77:1 within 2 ms' in err
