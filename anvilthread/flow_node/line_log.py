"""Structured, rate-limited, non-blocking logs on standard output."""

import os
from typing import Final

from anvilthread.clock import Clock
from anvilthread.telemetry.log_line import log_line

#: Sustained rate in lines per second. A node opens some tens of flows per
#: second with one line each; the remainder is headroom for faults.
_LINES_PER_SECOND: Final = 150

#: Lines that may be written in a burst, such as after a restart.
_BURST_LINES: Final = 600

#: Bytes buffered for a slow reader before lines are dropped.
_MAX_BUFFERED_BYTES: Final = 262_144

_MS_PER_SECOND: Final = 1000


class LineLog:
    """Buffers log lines until they are flushed.

    Warnings are exempt from the rate limit, as they report changes of state.

    Args:
        node: Name of this process, part of every line.
        clock: Source of the time of each line.
        descriptor: File descriptor to write to; it is made non-blocking.
    """

    __slots__ = (
        '_buffer',
        '_clock',
        '_descriptor',
        '_dropped',
        '_node',
        '_refilled_ms',
        '_tokens',
    )

    def __init__(self, *, node: str, clock: Clock, descriptor: int) -> None:
        self._node = node
        self._clock = clock
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._tokens: float = _BURST_LINES
        self._refilled_ms = clock.now_ms()
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Number of lines dropped since drops were last reported."""
        return self._dropped

    def event(self, name: str, /, **fields: object) -> None:
        """Logs an event at level info, if the rate limit allows."""
        if self._take_token():
            self._append('info', name, fields)

    def warning(self, name: str, /, **fields: object) -> None:
        """Logs an event that an operator should act on."""
        self._append('warning', name, fields)

    def flush(self) -> None:
        """Writes what the reader accepts now; called several times a second."""
        if self._dropped and len(self._buffer) < _MAX_BUFFERED_BYTES:
            dropped, self._dropped = self._dropped, 0
            self._append('warning', 'log_lines_dropped', {'count': dropped})
        if not self._buffer:
            return
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader closed the pipe; there is nowhere else to report it.
            written = len(self._buffer)
        del self._buffer[:written]

    def _take_token(self) -> bool:
        now_ms = self._clock.now_ms()
        elapsed_ms = now_ms - self._refilled_ms
        self._refilled_ms = now_ms
        refill = elapsed_ms * _LINES_PER_SECOND / _MS_PER_SECOND
        self._tokens = min(self._tokens + refill, _BURST_LINES)
        if self._tokens < 1:
            self._dropped += 1
            return False
        self._tokens -= 1
        return True

    def _append(self, level: str, name: str, fields: dict[str, object]) -> None:
        if len(self._buffer) > _MAX_BUFFERED_BYTES:
            self._dropped += 1
            return
        line = log_line(
            wall_ms=self._clock.wall_ms(),
            level=level,
            name=name,
            fields={'node': self._node, **fields},
        )
        self._buffer += f'{line}\n'.encode()
