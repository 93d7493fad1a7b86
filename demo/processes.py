"""Processes that the demonstration starts and ends."""

import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Final

_COMMAND_TIMEOUT_S: Final = 15


class Processes:
    """Starts processes by name and keeps their output in files.

    Args:
        directory: Where output files go.
    """

    def __init__(self, *, directory: Path) -> None:
        self._directory = directory
        self._running: dict[str, subprocess.Popen[bytes]] = {}

    def command(self, module: str) -> tuple[str, ...]:
        """Returns the command that runs a module."""
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
        """Runs a module until it exits and returns its output.

        Raises:
            subprocess.CalledProcessError: If it fails.
        """
        completed = subprocess.run(
            (*self.command(module), *arguments),
            check=True,
            capture_output=True,
            timeout=_COMMAND_TIMEOUT_S,
        )
        return completed.stdout.decode()

    def kill(self, name: str) -> None:
        """Kills a process, as a failure of its VM would."""
        process = self._running.pop(name)
        process.send_signal(signal.SIGKILL)
        process.wait()

    def stop(self, name: str) -> None:
        """Starts the graceful shutdown of a process without waiting for it."""
        self._running.pop(name).send_signal(signal.SIGTERM)

    def wait(self, name: str, limit_s: float) -> int:
        """Waits until a process exits and returns its exit code.

        Raises:
            subprocess.TimeoutExpired: If it does not exit in time.
        """
        return self._running.pop(name).wait(limit_s)

    def pid(self, name: str) -> int:
        """Returns the ID of a process that was started and not ended."""
        return self._running[name].pid

    def names(self) -> list[str]:
        """Returns the names of processes that were started and not ended."""
        return list(self._running)

    def failed(self) -> list[str]:
        """Returns the names of processes that have exited unexpectedly."""
        return [
            name
            for name, process in self._running.items()
            if process.poll() is not None
        ]

    def end_all(self) -> None:
        """Kills every process."""
        for process in self._running.values():
            process.kill()
        for process in self._running.values():
            process.wait()
        self._running.clear()
