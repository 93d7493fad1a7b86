"""The command line application."""

import os
import sys
import traceback
from collections.abc import Sequence
from typing import Annotated, Final

import typer

from anvilthread import __version__
from anvilthread.commands import daemon_commands as daemons
from anvilthread.commands.command_failure import CommandFailure
from anvilthread.commands.config_commands import config_app
from anvilthread.commands.exit_code import ExitCode
from anvilthread.commands.key_commands import key_app
from anvilthread.commands.replay_command import REPLAY_HELP, replay_trace
from anvilthread.commands.report_commands import report_app
from anvilthread.commands.status_command import STATUS_HELP, status
from anvilthread.commands.target_commands import target_app
from anvilthread.error import AnvilthreadError

_HELP: Final = """Layer-4 load balancer with routable QUIC connection IDs.

\b
Examples:
  anvilthread key new keys.toml
  anvilthread balancer --settings balancer.toml
  anvilthread status 10.1.0.21:7947 --keys keys.toml
"""
_PROGRAM: Final = 'anvilthread'
#: Environment variable that enables tracebacks of internal errors.
_TRACEBACK_VARIABLE: Final = 'ANVILTHREAD_TRACEBACK'

app: Final = typer.Typer(
    name=_PROGRAM,
    help=_HELP,
    no_args_is_help=True,
    add_completion=False,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)
app.command('balancer', help=daemons.BALANCER_HELP)(daemons.balancer)
app.command('agent', help=daemons.AGENT_HELP)(daemons.agent)
app.add_typer(config_app, name='config')
app.add_typer(target_app, name='target')
app.command('status', help=STATUS_HELP)(status)
app.command('replay', help=REPLAY_HELP)(replay_trace)
app.add_typer(report_app, name='report')
app.add_typer(key_app, name='key')


def _print_version(requested: bool) -> None:
    if requested:
        typer.echo(f'anvilthread {__version__}')
        raise typer.Exit


@app.callback()
def _root(
    *,
    version: Annotated[
        bool,
        typer.Option(
            '--version',
            callback=_print_version,
            is_eager=True,
            help='Print the version and exit.',
        ),
    ] = False,
) -> None:
    """Holds the options of the program itself."""


def run(arguments: Sequence[str] | None = None) -> int:
    """Runs a command.

    Args:
        arguments: Arguments without the program; ``sys.argv`` by default.

    Returns:
        The exit code of the process.
    """
    try:
        outcome = app(arguments, prog_name=_PROGRAM, standalone_mode=False)
    except (Exception, KeyboardInterrupt) as error:
        return _handle_error(error)
    return outcome if isinstance(outcome, int) else ExitCode.OK


def _handle_error(error: BaseException) -> int:
    match error:
        case CommandFailure():
            return _print_error(str(error.error), error.exit_code)
        case AnvilthreadError():
            return _print_error(str(error), ExitCode.BAD_INPUT)
        case typer.TyperException():
            return _print_usage(error)
        case typer.Abort() | KeyboardInterrupt():
            return ExitCode.INTERRUPTED
        case BrokenPipeError():
            return _discard_output()
    return _print_internal(error)


def _print_error(text: str, exit_code: ExitCode) -> int:
    for line in text.splitlines():
        typer.echo(f'error: {line}', err=True)
    return exit_code


def _print_usage(error: typer.TyperException) -> int:
    message = error.format_message()
    if message.startswith('Usage:'):
        # Without a command, the message is the complete help text.
        typer.echo(message, err=True)
        return ExitCode.USAGE
    context = getattr(error, 'ctx', None)
    path = context.command_path if context else _PROGRAM
    # typer keeps the prefix that pydantic adds to its messages.
    plain = message.replace('Value error, ', '')
    reason = ' '.join(plain.rstrip('.').split())
    return _print_error(f'{reason}; see `{path} --help`', ExitCode.USAGE)


def _print_internal(error: BaseException) -> int:
    if os.environ.get(_TRACEBACK_VARIABLE):
        traceback.print_exception(error)
    text = ' '.join(f'{type(error).__name__}: {error}'.split())
    return _print_error(
        f'internal error, {text}; set {_TRACEBACK_VARIABLE}=1 and report it',
        ExitCode.INTERNAL,
    )


def _discard_output() -> int:
    # The reader closed the pipe, which is not an error of the command. Without
    # this, the interpreter reports an error when it flushes stdout at exit.
    null = os.open(os.devnull, os.O_WRONLY)
    os.dup2(null, sys.stdout.fileno())
    return ExitCode.OK
