"""Every example runs as a program of its own."""

import os
import subprocess
import sys
from pathlib import Path
from typing import Final

import pytest

ROOT: Final = Path(__file__).parents[1]
EXAMPLES: Final = sorted(
    path.stem
    for path in (ROOT / 'examples').glob('*.py')
    if path.stem != '__init__'
)

#: Ends an example that hangs; it leaves room for a busy machine and is below
#: the limit of a test.
_LIMIT_S: Final = 60


@pytest.mark.parametrize('name', EXAMPLES)
def test_example_runs(name: str) -> None:
    """Guards against an example that a changed interface has broken."""
    done = subprocess.run(
        (sys.executable, '-m', f'examples.{name}'),
        cwd=ROOT,
        env={**os.environ, 'PYTHONHASHSEED': '0'},
        capture_output=True,
        check=False,
        text=True,
        timeout=_LIMIT_S,
    )
    assert done.returncode == 0, done.stderr
    assert done.stdout.strip()
    # A task of gevent that fails prints a traceback and ends nothing.
    assert 'Traceback' not in done.stderr


def test_every_example_is_explained() -> None:
    """Guards against an example that the page on embedding does not name."""
    text = (ROOT / 'docs' / 'embedding.md').read_text()
    assert [
        name for name in EXAMPLES if f'examples/{name}.py' not in text
    ] == []
