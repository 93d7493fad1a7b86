"""Structured logs on standard output, within a rate and without blocking."""

import os
from typing import Final

from anvilthread.clock import Clock
from anvilthread.telemetry.log_line import log_line

#: Lines per second that a process may write over time. A node opens some tens
#: of flows per second with one line each; the rest is for faults.
_LINES_PER_SECOND: Final = 150

#: Lines that may be written at once, such as after a restart.
_BURST: Final = 600

#: Bytes that wait for a slow reader before lines are dropped.
_MAX_WAITING: Final = 262_144

_MS_PER_SECOND: Final = 1000


class LineLog:
    """Collects lines and writes them when asked to.

    Warnings are never limited by the rate; they report changes of state.

    Args:
        node: Name of this process, part of every line.
        clock: Source of the time of each line.
        descriptor: File descriptor to write to; it is made non-blocking.
    """

    __slots__ = (
        '_allowance',
        '_clock',
        '_descriptor',
        '_dropped',
        '_node',
        '_refilled_ms',
        '_waiting',
    )

    def __init__(self, *, node: str, clock: Clock, descriptor: int) -> None:
        self._node = node
        self._clock = clock
        self._descriptor = descriptor
        self._waiting = bytearray()
        self._allowance: float = _BURST
        self._refilled_ms = clock.now_ms()
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Lines dropped since the last report of drops."""
        return self._dropped

    def event(self, name: str, /, **fields: object) -> None:
        """Records what happened, if the rate allows."""
        if self._take():
            self._append('info', name, fields)

    def warning(self, name: str, /, **fields: object) -> None:
        """Records an event that an operator should act on."""
        self._append('warning', name, fields)

    def flush(self) -> None:
        """Writes what the reader accepts now; called some times a second."""
        if self._dropped and len(self._waiting) < _MAX_WAITING:
            dropped, self._dropped = self._dropped, 0
            self._append('warning', 'log_lines_dropped', {'count': dropped})
        if not self._waiting:
            return
        try:
            written = os.write(self._descriptor, self._waiting)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more; there is no other place to say so.
            written = len(self._waiting)
        del self._waiting[:written]

    def _take(self) -> bool:
        now_ms = self._clock.now_ms()
        elapsed_ms = now_ms - self._refilled_ms
        self._refilled_ms = now_ms
        refill = elapsed_ms * _LINES_PER_SECOND / _MS_PER_SECOND
        self._allowance = min(self._allowance + refill, _BURST)
        if self._allowance < 1:
            self._dropped += 1
            return False
        self._allowance -= 1
        return True

    def _append(self, level: str, name: str, fields: dict[str, object]) -> None:
        if len(self._waiting) > _MAX_WAITING:
            self._dropped += 1
            return
        line = log_line(
            wall_ms=self._clock.wall_ms(),
            level=level,
            name=name,
            fields={'node': self._node, **fields},
        )
        self._waiting += f'{line}\n'.encode()
