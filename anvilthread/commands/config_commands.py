"""The commands for the configuration of all sites."""

from datetime import UTC, datetime
from functools import partial
from pathlib import Path
from typing import Annotated, Final, TypeAlias

import typer
from result import Result

from anvilthread.address import Address
from anvilthread.commands import components
from anvilthread.commands.check_report import CheckReport
from anvilthread.commands.command_failure import CommandFailure, require
from anvilthread.commands.configuration_gateway import RevisionSummary
from anvilthread.commands.exit_code import ExitCode
from anvilthread.commands.node_call import NodeCall
from anvilthread.commands.options import (
    JsonOption,
    OperatorOption,
    StoreOption,
    parse_address,
)
from anvilthread.commands.output import print_json, print_pairs, print_table
from anvilthread.configuration.apply_error import (
    ApplyUnavailable,
    ApplyUnknown,
)
from anvilthread.daemon.local_configuration import ConfigurationFilesError
from anvilthread.error import AnvilthreadError
from anvilthread.operation import OperationClient
from anvilthread.store import StoreUnavailable

config_app: Final = typer.Typer(
    help='Check, apply and read the configuration of all sites.',
    no_args_is_help=True,
    rich_markup_mode=None,
)

DirectoryArgument: TypeAlias = Annotated[
    Path,
    typer.Argument(
        metavar='DIRECTORY',
        help='Directory with base.toml and overlays/.',
        show_default=False,
    ),
]

RevisionOption: TypeAlias = Annotated[
    int | None,
    typer.Option(
        '--revision',
        help='Revision that the files were made from; see config show.',
        show_default=False,
    ),
]
NodeOption: TypeAlias = Annotated[
    Address | None,
    typer.Option(
        '--node',
        metavar='HOST:PORT',
        parser=parse_address,
        help='Request address of a node; refuses to apply to a store that '
        'holds older data than this node.',
        show_default=False,
    ),
]
KeysOption: TypeAlias = Annotated[
    Path | None,
    typer.Option(
        '--keys',
        metavar='FILE',
        envvar='ANVILTHREAD_KEYS',
        help='Key file.',
        show_default=False,
    ),
]

#: Without the environment variable: a check needs no store unless asked to.
CheckStoreOption: TypeAlias = Annotated[
    str,
    typer.Option(
        '--store',
        metavar='URL',
        help='URL of the key-value store to compare with.',
        show_default=False,
    ),
]

SupersedeOption: TypeAlias = Annotated[
    bool,
    typer.Option(
        '--supersede',
        help='Number the change above the revision of the node, which the '
        'store has lost; needs --node.',
    ),
]

_MS_PER_SECOND: Final = 1000
#: Errors after which it is unknown whether the store has the change.
_UNANSWERED: Final = (ApplyUnavailable, ApplyUnknown, StoreUnavailable)
_CHECK_HELP: Final = """Check configuration files; needs no store.

Also reports entries that can never match and limits that contradict each
other (exit code 1). With --store, lists what differs from the version there.

\b
Examples:
  anvilthread config check configuration
  anvilthread config check configuration --store http://10.1.0.5:8500 --json
"""
_APPLY_HELP: Final = """Check configuration files and apply them everywhere.

If another operator applied a revision in the meantime, nothing changes and
the command shows what differs (exit code 5).

\b
Examples:
  anvilthread config apply configuration --store http://10.1.0.5:8500 \\
    --revision 12 --node 10.1.0.21:7947 --keys keys.toml
"""
_SHOW_HELP: Final = """Show the configuration in the store.

\b
Examples:
  anvilthread config show --store http://10.1.0.5:8500
  anvilthread config show --store http://10.1.0.5:8500 --site kgn-a
"""
_DIFF_HELP: Final = """Show what an apply would change (exit code 1 if anything).

\b
Examples:
  anvilthread config diff configuration --store http://10.1.0.5:8500
"""
_HISTORY_HELP: Final = """List the recent revisions, newest first.

\b
Examples:
  anvilthread config history --store http://10.1.0.5:8500 --json
"""


@config_app.command('check', help=_CHECK_HELP)
def check(
    directory: DirectoryArgument,
    *,
    store: CheckStoreOption = '',
    as_json: JsonOption = False,
) -> None:
    """Checks files, lists the sites, and reports what has no effect."""
    gateway = components.open_configuration(store)
    outcome = gateway.check(directory)
    report = CheckReport(
        directory=str(directory),
        sites=require(outcome, _check_exit_code(outcome)),
        findings=require(gateway.review(directory), ExitCode.USAGE),
        changes=(
            require(gateway.pending_changes(directory), ExitCode.NO_ANSWER)
            if store
            else None
        ),
    )
    if as_json:
        print_json(report.as_json())
    else:
        typer.echo('\n'.join(report.lines()))
    if report.findings:
        raise typer.Exit(ExitCode.PROBLEM_FOUND)


@config_app.command('apply', help=_APPLY_HELP)
def apply(
    directory: DirectoryArgument,
    store: StoreOption,
    operator: OperatorOption,
    *,
    revision: RevisionOption = None,
    node: NodeOption = None,
    keys: KeysOption = None,
    supersede: SupersedeOption = False,
    as_json: JsonOption = False,
) -> None:
    """Applies files as the next revision."""
    if supersede and node is None:
        error = AnvilthreadError(
            reason='--supersede needs the revision of a node',
            remedy='add --node HOST:PORT',
        )
        raise CommandFailure(error=error, exit_code=ExitCode.USAGE)
    gateway = components.open_configuration(
        store, partial(_node_revision, node, keys)
    )
    outcome = gateway.apply(
        directory, operator=operator, revision=revision, supersede=supersede
    )
    applied = require(outcome, _apply_exit_code(outcome))
    if as_json:
        print_json(applied)
    else:
        print_pairs(
            (('revision', applied.revision), ('change', applied.change_id))
        )


@config_app.command('show', help=_SHOW_HELP)
def show(
    store: StoreOption,
    *,
    site: Annotated[
        str, typer.Option('--site', help='Apply the overlay of this site.')
    ] = '',
) -> None:
    """Prints the configuration as TOML."""
    gateway = components.open_configuration(store)
    typer.echo(require(gateway.show(site=site), ExitCode.NO_ANSWER))


@config_app.command('diff', help=_DIFF_HELP)
def diff(directory: DirectoryArgument, store: StoreOption) -> None:
    """Prints the difference between the store and files."""
    gateway = components.open_configuration(store)
    changes = require(gateway.diff(directory), ExitCode.NO_ANSWER)
    if changes:
        typer.echo(changes)
        raise typer.Exit(ExitCode.PROBLEM_FOUND)


@config_app.command('history', help=_HISTORY_HELP)
def history(store: StoreOption, *, as_json: JsonOption = False) -> None:
    """Prints the recent revisions."""
    gateway = components.open_configuration(store)
    revisions = require(gateway.history(), ExitCode.NO_ANSWER)
    if as_json:
        print_json(revisions)
    else:
        print_table(
            ('revision', 'applied', 'operator', 'change'),
            (_row(revision) for revision in revisions),
        )


def _check_exit_code(outcome: Result[object, AnvilthreadError]) -> ExitCode:
    if isinstance(outcome.err(), ConfigurationFilesError):
        return ExitCode.USAGE
    return ExitCode.PROBLEM_FOUND


def _apply_exit_code(outcome: Result[object, AnvilthreadError]) -> ExitCode:
    # A change whose answer was lost may be in force, so it was not refused.
    if isinstance(outcome.err(), _UNANSWERED):
        return ExitCode.NO_ANSWER
    return ExitCode.REFUSED


def _node_revision(node: Address | None, keys: Path | None) -> int:
    if node is None:
        return 0
    if keys is None:
        error = AnvilthreadError(
            reason='--node needs the keys of the cluster',
            remedy='add --keys FILE',
        )
        raise CommandFailure(error=error, exit_code=ExitCode.USAGE)
    call = NodeCall(node=node, keys=keys, bind=None)
    return call.run(OperationClient.status).revision


def _row(revision: RevisionSummary) -> tuple[object, ...]:
    applied = datetime.fromtimestamp(revision.wall_ms // _MS_PER_SECOND, UTC)
    return (
        revision.revision,
        f'{applied:%Y-%m-%d %H:%M:%S} UTC',
        revision.operator,
        revision.change_id,
    )
