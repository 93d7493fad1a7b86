"""Every example runs as a separate process."""

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

#: Timeout of an example: long enough for a busy machine, and below the time
#: limit of a test.
_EXAMPLE_TIMEOUT_S: Final = 60


@pytest.mark.parametrize('name', EXAMPLES)
def test_example_runs(name: str) -> None:
    """Guards against an example that a changed interface has broken."""
    result = subprocess.run(
        (sys.executable, '-m', f'examples.{name}'),
        cwd=ROOT,
        env={**os.environ, 'PYTHONHASHSEED': '0'},
        capture_output=True,
        check=False,
        text=True,
        timeout=_EXAMPLE_TIMEOUT_S,
    )
    assert result.returncode == 0, result.stderr
    assert result.stdout.strip()
    # gevent prints the traceback of a failed greenlet, but the process goes on.
    assert 'Traceback' not in result.stderr


def test_every_example_is_explained() -> None:
    """Guards against an example that the page on embedding does not name."""
    text = (ROOT / 'docs' / 'embedding.md').read_text()
    assert [
        name for name in EXAMPLES if f'examples/{name}.py' not in text
    ] == []
