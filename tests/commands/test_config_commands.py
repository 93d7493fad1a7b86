"""Configuration commands over a stand-in for the configuration gateway."""

import json
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TypeVar

import pytest
from result import Err, Ok, Result
from syrupy.assertion import SnapshotAssertion

from anvilthread.commands import components
from anvilthread.commands.configuration_gateway import (
    PendingChanges,
    RevisionSummary,
)
from anvilthread.commands.exit_code import ExitCode
from anvilthread.configuration import list_changes, texts_from_files
from anvilthread.error import AnvilthreadError
from anvilthread.file_fault import FileFault

Command = Callable[..., tuple[int, str, str]]
ValueT = TypeVar('ValueT')
STORE = ('--store', 'http://10.1.0.5:8500')
REVISION = RevisionSummary(
    revision=8, change_id='c-8', operator='ama', wall_ms=1_700_000_000_000
)


class _Gateway:
    """Gateway with answers set by the test."""

    def __init__(self) -> None:
        self.error: AnvilthreadError | None = None
        self.changes = ''
        self.supersedes = False
        self.findings: list[FileFault] = []
        self.pending = PendingChanges(revision=8, keys=())

    def check(self, directory: Path) -> Result[Sequence[str], AnvilthreadError]:
        """Returns two sites."""
        return self._answer(['kgn-a', 'kgn-b'])

    def review(
        self, directory: Path
    ) -> Result[Sequence[FileFault], AnvilthreadError]:
        """Returns the findings set by the test."""
        return self._answer(self.findings)

    def pending_changes(
        self, directory: Path
    ) -> Result[PendingChanges, AnvilthreadError]:
        """Returns the changes set by the test."""
        return self._answer(self.pending)

    def apply(
        self,
        directory: Path,
        *,
        operator: str,
        revision: int | None,
        supersede: bool,
    ) -> Result[RevisionSummary, AnvilthreadError]:
        """Returns the next revision."""
        self.supersedes = supersede
        return self._answer(REVISION)

    def show(self, *, site: str) -> Result[str, AnvilthreadError]:
        """Returns a text that names the site."""
        return self._answer(f'site = "{site}"')

    def diff(self, directory: Path) -> Result[str, AnvilthreadError]:
        """Returns the changes set by the test."""
        return self._answer(self.changes)

    def history(self) -> Result[Sequence[RevisionSummary], AnvilthreadError]:
        """Returns one revision."""
        return self._answer([REVISION])

    def _answer(self, value: ValueT) -> Result[ValueT, AnvilthreadError]:
        return Ok(value) if self.error is None else Err(self.error)


@pytest.fixture
def gateway(monkeypatch: pytest.MonkeyPatch) -> _Gateway:
    """The gateway that the commands open."""
    opened = _Gateway()
    monkeypatch.setattr(
        components, 'open_configuration', lambda store, revision=int: opened
    )
    return opened


@pytest.mark.parametrize(
    ('arguments', 'failure'),
    [
        (('check', 'd'), ExitCode.PROBLEM_FOUND),
        (('apply', 'd', *STORE), ExitCode.REFUSED),
        (('show', *STORE), ExitCode.NO_ANSWER),
        (('diff', 'd', *STORE), ExitCode.NO_ANSWER),
        (('history', *STORE), ExitCode.NO_ANSWER),
    ],
)
def test_success_and_failure(
    arguments: tuple[str, ...],
    failure: ExitCode,
    gateway: _Gateway,
    command: Command,
) -> None:
    """Guards against a refused change that a script mistakes for applied."""
    assert command('config', *arguments)[0] == 0
    gateway.error = AnvilthreadError(reason='revision 9 won', remedy='diff')
    code, out, err = command('config', *arguments)
    assert (code, out, err) == (failure, '', 'error: revision 9 won; diff\n')


@pytest.mark.parametrize('options', [(), ('--node', '10.1.0.21:7947')])
def test_supersede_needs_a_node(
    options: tuple[str, ...], gateway: _Gateway, command: Command
) -> None:
    """Guards against a revision that nodes ignore, chosen without them."""
    code, _, err = command(
        'config', 'apply', 'd', *STORE, '--supersede', *options
    )
    assert gateway.supersedes is bool(options)
    assert (code == ExitCode.USAGE) is not bool(options), err


def test_diff_reports_whether_something_changes(
    gateway: _Gateway, command: Command
) -> None:
    """Guards against a pending change that `config diff` does not report."""
    assert command('config', 'diff', 'd', *STORE) == (0, '', '')
    gateway.changes = '-slots = 1\n+slots = 2'
    code, out, _ = command('config', 'diff', 'd', *STORE)
    assert (code, out) == (ExitCode.PROBLEM_FOUND, f'{gateway.changes}\n')


def test_check_reports_findings(gateway: _Gateway, command: Command) -> None:
    """Guards against findings that a script does not notice or cannot read."""
    gateway.findings = [
        FileFault(
            file='base.toml', key='sites.kgn-c', reason='unused', remedy='drop'
        )
    ]
    code, out, _ = command('config', 'check', 'd')
    assert code == ExitCode.PROBLEM_FOUND
    assert (
        out.splitlines()[1] == 'finding: base.toml: sites.kgn-c: unused; drop'
    )
    code, out, _ = command('config', 'check', 'd', '--json')
    assert code == ExitCode.PROBLEM_FOUND
    assert json.loads(out)['findings'] == [
        {
            'file': 'base.toml',
            'key': 'sites.kgn-c',
            'reason': 'unused',
            'remedy': 'drop',
        }
    ]


@pytest.mark.parametrize(
    ('before', 'after', 'line', 'listed'),
    [
        ('a = 1', 'a = 1 # same', 'no value differs from revision 8', []),
        (
            'a = 1',
            'a = 2',
            '  base.toml: a changes from 1 to 2',
            [{'file': 'base.toml', 'key': 'a', 'before': 1, 'after': 2}],
        ),
        (
            '',
            'b.c = ["x"]',
            '  base.toml: b.c is added: ["x"]',
            [
                {
                    'file': 'base.toml',
                    'key': 'b.c',
                    'before': None,
                    'after': ['x'],
                }
            ],
        ),
        (
            '[b]',
            '',
            '  base.toml: b is removed; it was {}',
            [{'file': 'base.toml', 'key': 'b', 'before': {}, 'after': None}],
        ),
    ],
)
def test_check_lists_what_differs(
    before: str,
    after: str,
    line: str,
    listed: list[object],
    gateway: _Gateway,
    command: Command,
) -> None:
    """Guards against a difference to the store that the check hides."""
    keys = list_changes(
        texts_from_files({'base.toml': before}),
        texts_from_files({'base.toml': after}),
    )
    gateway.pending = PendingChanges(revision=8, keys=keys)
    code, out, _ = command('config', 'check', 'd', *STORE)
    assert (code, out.splitlines()[-1]) == (0, line)
    _, out, _ = command('config', 'check', 'd', *STORE, '--json')
    assert json.loads(out)['changes'] == {'revision': 8, 'keys': listed}
    assert 'changes' not in json.loads(
        command('config', 'check', 'd', '--json')[1]
    )


@pytest.mark.parametrize(
    ('name', 'content', 'code'),
    [
        # The directory lacks its base, as a wrong path does.
        ('other.toml', b'', ExitCode.USAGE),
        ('base.toml', b'\xff', ExitCode.USAGE),
        ('base.toml', b'[sites', ExitCode.PROBLEM_FOUND),
        ('base.toml', b'[sites]\n[services]', ExitCode.OK),
        (
            'base.toml',
            b'[sites.kgn-a]\n[services]',
            ExitCode.PROBLEM_FOUND,
        ),
    ],
)
def test_exit_code_of_a_check(
    name: str, content: bytes, code: ExitCode, tmp_path: Path, command: Command
) -> None:
    """Guards against an unreadable file that a script takes for a finding."""
    (tmp_path / name).write_bytes(content)
    assert command('config', 'check', tmp_path)[0] == code


def test_outputs(
    gateway: _Gateway, command: Command, snapshot: SnapshotAssertion
) -> None:
    """Guards against outputs without the revision or its operator."""
    outputs = [
        command('config', 'check', 'd')[1],
        command('config', 'apply', 'd', *STORE)[1],
        command('config', 'show', *STORE, '--site', 'kgn-a')[1],
        command('config', 'history', *STORE)[1],
    ]
    assert '\n'.join(outputs) == snapshot
    listed = json.loads(command('config', 'history', *STORE, '--json')[1])
    assert listed[0]['revision'] == 8
