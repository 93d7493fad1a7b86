"""Runs the commands of the one-file program that need nothing else.

Run it with ``python -S``, so that only packages in the file can be imported.
An audit hook ends the run if the program starts a process.
"""

import os
import runpy
import sys
from pathlib import Path
from tempfile import TemporaryDirectory

ROOT = Path(__file__).parents[1]
EXAMPLES = ROOT / 'examples' / 'settings'
TRACES = ROOT / 'tests' / 'traces'
#: Audit events that are raised when a process is started.
PROCESS_START_EVENTS = frozenset(
    (
        'os.exec',
        'os.fork',
        'os.forkpty',
        'os.posix_spawn',
        'os.spawn',
        'os.system',
        'subprocess.Popen',
    )
)


def refuse_processes(event: str, arguments: tuple[object, ...]) -> None:
    """Ends the run when the program starts a process."""
    if event in PROCESS_START_EVENTS:
        sys.stderr.write(f'the program started a process: {event}\n')
        os._exit(1)


def check(binary: Path, expected: int, *arguments: object) -> None:
    """Runs one command and compares its exit code."""
    sys.argv = [str(binary), *(str(argument) for argument in arguments)]
    code: object = 0
    try:
        runpy.run_path(str(binary), run_name='__main__')
    except SystemExit as exit_request:
        code = exit_request.code or 0
    if code != expected:
        sys.exit(f'{sys.argv[1:]}: exit code {code}, expected {expected}')
    loaded = str(sys.modules['anvilthread'].__file__)
    if not loaded.startswith(os.environ['SHIV_ROOT']):
        sys.exit(f'the package was loaded from {loaded}')


def main(binary: Path) -> None:
    """Runs every command that needs no other package."""
    sys.addaudithook(refuse_processes)
    with TemporaryDirectory() as directory:
        os.environ['SHIV_ROOT'] = directory
        keys = Path(directory) / 'keys.toml'
        trace = TRACES / 'planned_changes.jsonl'
        check(binary, 0, '--version')
        check(binary, 0, 'key', 'new', keys)
        for role in ('balancer', 'agent'):
            path = EXAMPLES / f'{role}.toml'
            check(binary, 0, role, '--settings', path, '--check')
        check(binary, 0, 'replay', trace)
        check(binary, 1, 'replay', TRACES / 'agent_killed.jsonl')
        check(binary, 0, 'report', 'burn', '--trace', trace)
        check(binary, 2, 'report', 'burn')
    sys.stdout.write(f'{binary}: smoke test passed\n')


if __name__ == '__main__':
    main(Path(sys.argv[1]).resolve())
