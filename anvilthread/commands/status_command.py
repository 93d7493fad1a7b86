"""The status of a node."""

from collections.abc import Iterator, Mapping
from typing import Final

from anvilthread.commands.node_call import NodeCall
from anvilthread.commands.options import (
    BindOption,
    JsonOption,
    KeysOption,
    NodeArgument,
)
from anvilthread.commands.output import print_json, print_pairs
from anvilthread.operation import NodeStatus, OperationClient

_MS_PER_SECOND: Final = 1000
_UNFORMATTED_FIELDS: Final = (
    'name',
    'role',
    'site',
    'state',
    'control',
    'request',
    'incarnation',
)

STATUS_HELP: Final = """Show the status of a node.

\b
Examples:
  anvilthread status 10.1.0.21:7947 --keys keys.toml
  anvilthread status 10.1.0.21:7947 --keys keys.toml --json
"""


def status(
    node: NodeArgument,
    keys: KeysOption,
    *,
    bind: BindOption = None,
    as_json: JsonOption = False,
) -> None:
    """Asks a node for its status and prints it."""
    call = NodeCall(node=node, keys=keys, bind=bind)
    print_status(call.run(OperationClient.status), as_json=as_json)


def print_status(node_status: NodeStatus, *, as_json: bool) -> None:
    """Prints a status as JSON or as lines."""
    if as_json:
        print_json(node_status)
    else:
        print_pairs(_lines(node_status))


def _lines(node_status: NodeStatus) -> Iterator[tuple[str, object]]:
    for name in _UNFORMATTED_FIELDS:
        yield name, getattr(node_status, name)
    yield 'uptime', f'{node_status.uptime_ms // _MS_PER_SECOND} s'
    yield 'configuration', node_status.revision or 'none'
    yield 'members', _format_counts(node_status.members)
    yield 'connections', node_status.connections
    yield 'slots', f'{node_status.busy} busy of {node_status.slots}'
    yield 'waiting', node_status.waiting
    yield 'active keys', _format_counts(node_status.active_keys)
    yield 'not ready for', ', '.join(node_status.unmet)


def _format_counts(counts: Mapping[str, int]) -> str:
    return ', '.join(f'{name} {count}' for name, count in counts.items())
