"""The commands that list and drain targets."""

from collections.abc import Iterator
from functools import partial
from typing import Annotated, Final

import typer

from anvilthread.commands.node_call import NodeCall
from anvilthread.commands.options import (
    BindOption,
    JsonOption,
    KeysOption,
    NodeArgument,
    OperatorOption,
)
from anvilthread.commands.output import print_json, print_table
from anvilthread.commands.status_command import print_status
from anvilthread.operation import OperationClient, TargetStatus

target_app: Final = typer.Typer(
    help='List and drain targets.',
    no_args_is_help=True,
    rich_markup_mode=None,
)

#: ``open`` is the number of connections, ``age`` the age of the load report.
_COLUMNS: Final = (
    'request',
    'site',
    'services',
    'state',
    'slots',
    'busy',
    'waiting',
    'open',
    'age',
)
_LIST_HELP: Final = """List the targets that a node knows.

\b
Examples:
  anvilthread target list 10.1.0.11:7947 --keys keys.toml
  anvilthread target list 10.1.0.11:7947 --keys keys.toml --json
"""
_DRAIN_HELP: Final = """Drain the target of an agent.

The agent gets no new work within 2 s; open connections stay until their
clients end them. A repeat changes nothing. `anvilthread status` shows when
the agent has no connections left.

\b
Examples:
  anvilthread target drain 10.1.0.21:7947 --keys keys.toml
  anvilthread target drain 10.1.0.21:7947 --keys keys.toml --operator ama
"""


@target_app.command('list', help=_LIST_HELP)
def list_targets(
    node: NodeArgument,
    keys: KeysOption,
    *,
    bind: BindOption = None,
    as_json: JsonOption = False,
) -> None:
    """Asks a node for its targets and prints them."""
    call = NodeCall(node=node, keys=keys, bind=bind)
    targets = call.run(OperationClient.targets)
    if as_json:
        print_json(targets)
    else:
        print_table(_COLUMNS, (_row(target) for target in targets))


@target_app.command('drain', help=_DRAIN_HELP)
def drain(
    node: NodeArgument,
    keys: KeysOption,
    operator: OperatorOption,
    *,
    undo: Annotated[
        bool, typer.Option('--undo', help='Ask the agent to end its drain.')
    ] = False,
    bind: BindOption = None,
    as_json: JsonOption = False,
) -> None:
    """Asks an agent to drain and prints its status."""
    call = NodeCall(node=node, keys=keys, bind=bind)
    operation = OperationClient.undrain if undo else OperationClient.drain
    status = call.run(partial(operation, operator=operator))
    print_status(status, as_json=as_json)


def _row(target: TargetStatus) -> Iterator[object]:
    yield target.request
    yield target.site
    yield ', '.join(target.services)
    yield target.state
    yield target.slots
    yield target.busy
    yield target.waiting
    yield target.connections
    age_ms = target.report_age_ms
    yield 'none' if age_ms is None else f'{age_ms} ms'
