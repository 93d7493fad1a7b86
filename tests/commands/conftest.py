"""Fixture that runs the command line inside the test process."""

from collections.abc import Callable

import pytest

from anvilthread.commands.app import run

Command = Callable[..., tuple[int, str, str]]


@pytest.fixture
def command(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> Command:
    """Runs a command and returns its exit code, stdout and stderr."""
    monkeypatch.setenv('COLUMNS', '80')
    monkeypatch.setenv('TERMINAL_WIDTH', '80')
    for name in ('KEYS', 'STORE', 'TRACEBACK'):
        monkeypatch.delenv(f'ANVILTHREAD_{name}', raising=False)
    monkeypatch.setenv('ANVILTHREAD_OPERATOR', 'ama')

    def call(*arguments: object) -> tuple[int, str, str]:
        exit_code = run([str(argument) for argument in arguments])
        captured = capsys.readouterr()
        return exit_code, captured.out, captured.err

    return call
