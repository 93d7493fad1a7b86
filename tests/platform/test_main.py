"""The program of the platform as its operators start it."""

import subprocess
import sys
from pathlib import Path

import pytest

from soak.cluster import ROOT, SoakCluster

_MAIN = str(ROOT / 'platform' / 'main.py')


def _check(path: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        (sys.executable, _MAIN, '--check'),
        env={'ANVILTHREAD_BOOT': path, 'PYTHONPATH': str(ROOT)},
        capture_output=True,
        text=True,
        check=False,
    )


def test_good_settings(tmp_path: Path) -> None:
    """Guards against settings that are refused although they can be used."""
    cluster = SoakCluster(seed=1)
    path = tmp_path / 'boot.toml'
    path.write_text(cluster.settings_of(cluster.balancers[0]))
    checked = _check(str(path))
    assert checked.returncode == 0
    assert 'are usable' in checked.stdout


@pytest.mark.parametrize('text', ['', 'node_name = 5', 'ip = "x"'])
def test_bad_settings(tmp_path: Path, text: str) -> None:
    """Guards against a process that starts with half of its settings."""
    path = tmp_path / 'boot.toml'
    path.write_text(text)
    checked = _check(str(path))
    assert checked.returncode == 78
    assert 'correct the file' in checked.stderr
