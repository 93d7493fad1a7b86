"""The platform's program as operators start it."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from soak.cluster import ROOT, SoakCluster

_PROGRAM = str(ROOT / 'platform' / 'start.py')

_BAD_SETTINGS_STATUS = 78


def _check(path: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        (sys.executable, _PROGRAM, '--check'),
        env={'ANVILTHREAD_BOOT': path, 'PYTHONPATH': str(ROOT)},
        capture_output=True,
        text=True,
        check=False,
    )


def test_valid_settings(tmp_path: Path) -> None:
    """Guards against usable settings that are refused."""
    cluster = SoakCluster(seed=1)
    path = tmp_path / 'boot.toml'
    path.write_text(cluster.settings_of(cluster.balancers[0]))
    checked = _check(str(path))
    assert checked.returncode == 0
    assert 'are usable' in checked.stdout


@pytest.mark.parametrize('text', ['', 'node_name = 5', 'ip = "x"'])
def test_invalid_settings(tmp_path: Path, text: str) -> None:
    """Guards against a process that starts with incomplete settings."""
    path = tmp_path / 'boot.toml'
    path.write_text(text)
    checked = _check(str(path))
    assert checked.returncode == _BAD_SETTINGS_STATUS
    assert 'correct the file' in checked.stderr


def test_reload_signal_while_starting(tmp_path: Path) -> None:
    """Guards against a SIGHUP that ends a process before it handles signals."""
    path = tmp_path / 'boot.toml'
    os.mkfifo(path)
    process = subprocess.Popen(
        (sys.executable, _PROGRAM),
        env={'ANVILTHREAD_BOOT': str(path), 'PYTHONPATH': str(ROOT)},
        stderr=subprocess.DEVNULL,
    )
    # Opening blocks until the process opens its settings file: most of the
    # start is then done, but the signal handlers are not installed yet.
    with path.open('w') as pipe:
        process.send_signal(signal.SIGHUP)
        pipe.write('node_name = 5')
    assert process.wait(timeout=10) == _BAD_SETTINGS_STATUS
