"""Help, exit codes and error lines of every command."""

import json
from collections.abc import Callable
from pathlib import Path

import pytest
from syrupy.assertion import SnapshotAssertion

from anvilthread.commands import components, daemon_commands
from anvilthread.commands.app import app
from anvilthread.commands.exit_code import ExitCode
from anvilthread.error import AnvilthreadError

ROOT = Path(__file__).parents[2]
EXAMPLES = ROOT / 'examples' / 'settings'
TRACES = ROOT / 'tests' / 'traces'
Command = Callable[..., tuple[int, str, str]]
COMMANDS = [
    '',
    'balancer',
    'agent',
    'config check',
    'config apply',
    'config show',
    'config diff',
    'config history',
    'target list',
    'target drain',
    'status',
    'replay',
    'report burn',
    'key new',
    'key rotate',
]


@pytest.mark.parametrize('name', COMMANDS)
def test_help(name: str, command: Command, snapshot: SnapshotAssertion) -> None:
    """Guards against commands without examples or undocumented options."""
    code, out, err = command(*name.split(), '--help')
    assert (code, err) == (0, '')
    assert 'Examples:' in out
    assert out == snapshot


def test_every_command_is_in_the_table() -> None:
    """Guards against a new command that the help test does not cover."""
    names = [str(entry.name) for entry in app.registered_commands]
    for group in app.registered_groups:
        assert group.typer_instance is not None
        names.extend(
            f'{group.name} {entry.name}'
            for entry in group.typer_instance.registered_commands
        )
    assert sorted(names) == sorted(COMMANDS[1:])


@pytest.mark.parametrize(
    ('arguments', 'code', 'message'),
    [
        ((), 2, 'Usage: anvilthread'),
        (('fly',), 2, "error: No such command 'fly'; see `anvilthread --help`"),
        (('balancer',), 2, "error: Missing option '--settings'"),
        (('status', '10.1.0.1', '--keys', 'x'), 2, 'write it as 192.0.2.1'),
        (('status', '10.1.0.1:1', '--keys', 'x'), 3, 'x: cannot be read'),
        (('agent', '--settings', 'absent.toml'), 3, 'cannot be read'),
        (('replay', 'absent.jsonl'), 3, 'cannot be read'),
        (('report', 'burn'), 2, 'give either --trace or --snapshots'),
        (('report', 'burn', '--snapshots', 'no'), 3, 'holds no snapshots'),
        (('key', 'new', 'x/y'), 3, 'cannot be written'),
        (('key', 'new', 'x', '--host', 'h'), 2, 'give --certificate, --cert'),
        (('key', 'rotate', 'x', '--kind', 'tls', '--step', 'add'), 2, "'tls'"),
    ],
)
def test_errors_are_one_line_with_an_exit_code(
    arguments: tuple[str, ...], code: int, message: str, command: Command
) -> None:
    """Guards against tracebacks and exit codes that scripts misread."""
    found, out, err = command(*arguments)
    assert (found, out) == (code, '')
    assert message in err
    assert 'Traceback' not in err
    if arguments:
        assert err.startswith('error: ') and err.count('\n') == 1


def _missing_module(name: str) -> object:
    raise ModuleNotFoundError(name=name)


def _empty_module(name: str) -> object:
    return object()


@pytest.mark.parametrize('role', ['balancer', 'agent'])
@pytest.mark.parametrize('import_module', [_missing_module, _empty_module])
def test_missing_component_is_named(
    role: str,
    import_module: Callable[[str], object],
    command: Command,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a command that ignores a missing component."""
    monkeypatch.setattr(components.importlib, 'import_module', import_module)
    path = EXAMPLES / f'{role}.toml'
    code, _, err = command(role, '--settings', path)
    assert code == ExitCode.UNAVAILABLE
    assert f'this build has no anvilthread.{role}.{role}.run' in err


def test_internal_error_is_one_line(
    command: Command, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a traceback for an internal error of the program."""

    def fail(path: Path) -> None:
        raise ValueError('first\nsecond')

    monkeypatch.setattr(daemon_commands, 'read_agent_settings', fail)
    code, _, err = command('agent', '--settings', 'x')
    assert code == ExitCode.INTERNAL
    assert err.startswith('error: internal error, ValueError: first second;')
    monkeypatch.setenv('ANVILTHREAD_TRACEBACK', '1')
    assert 'Traceback' in command('agent', '--settings', 'x')[2]


def test_error_of_a_daemon_is_one_line(
    command: Command, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an address in use that looks like an internal error."""

    def refuse(settings: object) -> None:
        raise AnvilthreadError(reason='port in use', remedy='choose another')

    monkeypatch.setattr(components, 'run_agent', refuse)
    code, _, err = command('agent', '--settings', EXAMPLES / 'agent.toml')
    assert (code, err) == (
        ExitCode.BAD_INPUT,
        'error: port in use; choose another\n',
    )


def test_version(command: Command) -> None:
    """Guards against a binary that does not report its version."""
    assert command('--version') == (0, 'anvilthread 0.1.0\n', '')


@pytest.mark.parametrize('role', ['balancer', 'agent'])
def test_settings_are_checked_or_run(
    role: str, command: Command, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a check that starts the daemon, or a run that does not."""
    started: list[str] = []

    def daemon(settings: object) -> None:
        started.append(type(settings).__name__)

    monkeypatch.setattr(components, f'run_{role}', daemon)
    path = EXAMPLES / f'{role}.toml'
    code, out, _ = command(role, '--settings', path, '--check')
    assert (code, out) == (0, f'{path}: the settings are valid\n')
    assert started == []
    assert command(role, '--settings', path)[0] == 0
    assert started == [f'{role.title()}Settings']


def test_replay_prints_verdicts(
    command: Command, snapshot: SnapshotAssertion
) -> None:
    """Guards against a violation that a script mistakes for a success."""
    code, out, _ = command('replay', TRACES / 'agent_killed.jsonl')
    assert code == ExitCode.PROBLEM_FOUND
    assert out == snapshot
    assert command('replay', TRACES / 'planned_changes.jsonl')[0] == 0


def test_replay_compares_stated_outcomes(command: Command) -> None:
    """Guards against stated outcomes that are not enforced."""
    trace = TRACES / 'agent_killed.jsonl'
    stated = TRACES / 'agent_killed.toml'
    code, out, _ = command('replay', trace, '--outcomes', stated, '--json')
    first = json.loads(out)[0]
    assert code == 0
    assert (first['verdict'], first['first_line']) == ('violated', 6)
    other = TRACES / 'planned_changes.toml'
    code, _, err = command('replay', trace, '--outcomes', other)
    assert code == ExitCode.PROBLEM_FOUND
    assert 'connections_kept: violated, but stated as holds' in err


def test_burn_report_for_scripts(command: Command, tmp_path: Path) -> None:
    """Guards against an alert that a script cannot see."""
    trace = TRACES / 'planned_changes.jsonl'
    page = tmp_path / 'burn.html'
    arguments = ('report', 'burn', '--trace', trace, '--json', '--html', page)
    code, out, _ = command(*arguments)
    alerts = {row['indicator']: row['alert'] for row in json.loads(out)['rows']}
    assert (code, alerts['requests_answered']) == (0, 'page')
    assert page.read_text().startswith('<!DOCTYPE html>')
    code, _, _ = command(*arguments, '--fail-on-alert')
    assert code == ExitCode.PROBLEM_FOUND


def test_keys_are_made_and_rotated(command: Command, tmp_path: Path) -> None:
    """Guards against a rotation step that is not written to the key file."""
    path = tmp_path / 'keys.toml'
    certificate = tmp_path / 'certificate.pem'
    made = command(
        'key',
        'new',
        path,
        '--certificate',
        certificate,
        '--certificate-key',
        tmp_path / 'key.pem',
        '--host',
        'bookings.example',
    )
    assert made[0] == 0
    assert 'BEGIN CERTIFICATE' in certificate.read_text()
    rotate = ('key', 'rotate', path, '--kind', 'execution', '--step')
    before = path.read_text()
    code, _, err = command(*rotate, 'remove')
    assert (code, path.read_text()) == (ExitCode.REFUSED, before)
    assert 'the step that is due is `--step add`' in err
    assert 'execution accepts 0, 1; active 0' in command(*rotate, 'add')[1]
    assert 'execution accepts 0, 1; active 1' in command(*rotate, 'activate')[1]
    assert 'execution accepts 1; active 1' in command(*rotate, 'remove')[1]
