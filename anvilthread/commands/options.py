"""Options that several commands share."""

import getpass
from pathlib import Path
from typing import Annotated, TypeAlias

import typer

from anvilthread.address import Address
from anvilthread.commands.command_failure import require
from anvilthread.commands.exit_code import ExitCode


def parse_address(text: str) -> Address:
    """Parses an address given on the command line."""
    return require(Address.parse(text), ExitCode.USAGE)


JsonOption: TypeAlias = Annotated[
    bool, typer.Option('--json', help='Print JSON for scripts.')
]
KeysOption: TypeAlias = Annotated[
    Path,
    typer.Option(
        '--keys',
        metavar='FILE',
        envvar='ANVILTHREAD_KEYS',
        help='Key file of the cluster.',
        show_default=False,
    ),
]
StoreOption: TypeAlias = Annotated[
    str,
    typer.Option(
        '--store',
        metavar='URL',
        envvar='ANVILTHREAD_STORE',
        help='URL of the key-value store.',
        show_default=False,
    ),
]
OperatorOption: TypeAlias = Annotated[
    str,
    typer.Option(
        '--operator',
        metavar='NAME',
        envvar='ANVILTHREAD_OPERATOR',
        default_factory=getpass.getuser,
        help='Your name, for logs and history.',
        show_default='user name',
    ),
]
BindOption: TypeAlias = Annotated[
    Address | None,
    typer.Option(
        '--bind',
        metavar='IP:PORT',
        parser=parse_address,
        help='Address for the answers; port 0 picks one.',
        show_default='the IP towards the node',
    ),
]
NodeArgument: TypeAlias = Annotated[
    Address,
    typer.Argument(
        metavar='NODE',
        parser=parse_address,
        help='Request address of the node.',
        show_default=False,
    ),
]
