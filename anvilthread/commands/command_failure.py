"""Failure of a command."""

from pathlib import Path
from typing import TypeVar

from result import Err, Result

from anvilthread.commands.exit_code import ExitCode
from anvilthread.error import AnvilthreadError

ValueT = TypeVar('ValueT')


class CommandFailure(Exception):  # noqa: N818
    """Ends a command with an error line and an exit code.

    Args:
        error: Error to print; one line per fault.
        exit_code: Exit code of the process.
    """

    def __init__(self, *, error: AnvilthreadError, exit_code: ExitCode) -> None:
        super().__init__(error)
        self._error = error
        self._exit_code = exit_code

    @property
    def error(self) -> AnvilthreadError:
        """Error to print."""
        return self._error

    @property
    def exit_code(self) -> ExitCode:
        """Exit code of the process."""
        return self._exit_code


def require(
    outcome: Result[ValueT, AnvilthreadError],
    exit_code: ExitCode = ExitCode.BAD_INPUT,
) -> ValueT:
    """Returns the value of a result.

    Args:
        outcome: The result.
        exit_code: Exit code for an error.

    Raises:
        CommandFailure: If the result is an error.
    """
    if isinstance(outcome, Err):
        raise CommandFailure(error=outcome.err_value, exit_code=exit_code)
    return outcome.ok_value


def write_failure(path: Path, error: OSError) -> CommandFailure:
    """Creates the failure of a command that cannot write a file."""
    return CommandFailure(
        error=AnvilthreadError(
            reason=f'{path}: cannot be written ({error.strerror})',
            remedy='choose a new path in a directory that you can write to',
        ),
        exit_code=ExitCode.BAD_INPUT,
    )
