"""Exit codes of `config apply` after an error."""

import pytest
from result import Err

from anvilthread.commands import config_commands
from anvilthread.commands.exit_code import ExitCode
from anvilthread.configuration.apply_error import (
    ApplyRefused,
    ApplyUnavailable,
    ApplyUnknown,
)
from anvilthread.error import AnvilthreadError
from anvilthread.store import StoreUnavailable


@pytest.mark.parametrize(
    ('error', 'code'),
    [
        (ApplyRefused(reason='r', remedy='m'), ExitCode.REFUSED),
        (ApplyUnavailable(reason='r'), ExitCode.NO_ANSWER),
        (StoreUnavailable(reason='r'), ExitCode.NO_ANSWER),
        (ApplyUnknown(change_id='c', reason='r'), ExitCode.NO_ANSWER),
    ],
)
def test_only_a_refusal_exits_as_refused(
    error: AnvilthreadError, code: ExitCode
) -> None:
    """Guards against a change in force that a script mistakes for refused.

    After an error without an answer the change may have been applied.
    """
    assert config_commands._apply_exit_code(Err(error)) == code
