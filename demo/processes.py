"""Processes that the demonstration starts and ends."""

import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Final

_EXIT_LIMIT_S: Final = 15


class Processes:
    """Starts processes by name and keeps their output in files.

    Args:
        directory: Where output files go.
    """

    def __init__(self, *, directory: Path) -> None:
        self._directory = directory
        self._running: dict[str, subprocess.Popen[bytes]] = {}

    def command(self, module: str) -> tuple[str, ...]:
        """The command that runs a module."""
        return (sys.executable, '-m', module)

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Runs a module of this project in a process of its own."""
        path = self._directory / f'{name}.log'
        with path.open('ab') as output:
            self._running[name] = subprocess.Popen(
                (*self.command(module), *arguments),
                stdout=output,
                stderr=subprocess.STDOUT,
                env={**os.environ, 'PYTHONHASHSEED': '0'},
            )

    def call(self, module: str, *arguments: str) -> str:
        """Runs a module to its end and returns its output.

        Raises:
            subprocess.CalledProcessError: If it fails.
        """
        done = subprocess.run(
            (*self.command(module), *arguments),
            check=True,
            capture_output=True,
            timeout=_EXIT_LIMIT_S,
        )
        return done.stdout.decode()

    def kill(self, name: str) -> None:
        """Ends a process as a failure of its VM does."""
        process = self._running.pop(name)
        process.send_signal(signal.SIGKILL)
        process.wait()

    def stop(self, name: str) -> None:
        """Asks a process for a graceful shutdown and does not wait."""
        self._running.pop(name).send_signal(signal.SIGTERM)

    def wait(self, name: str, limit_s: float) -> int:
        """Waits for a process and returns its exit code.

        Raises:
            subprocess.TimeoutExpired: If it goes on for too long.
        """
        return self._running.pop(name).wait(limit_s)

    def pid(self, name: str) -> int:
        """Number of a process that was started and not ended."""
        return self._running[name].pid

    def names(self) -> list[str]:
        """Names of the processes that were started and not ended."""
        return list(self._running)

    def failed(self) -> list[str]:
        """Names of processes that have ended without being asked to."""
        return [
            name
            for name, process in self._running.items()
            if process.poll() is not None
        ]

    def end_all(self) -> None:
        """Ends every process."""
        for process in self._running.values():
            process.kill()
        for process in self._running.values():
            process.wait()
        self._running.clear()
