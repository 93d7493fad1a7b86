"""A log handler that never blocks the tasks that log."""

import logging
import time
from typing import Final, TextIO

import gevent
from gevent.queue import Full, Queue

from anvilthread.telemetry.log_line import log_line

_MAX_BATCH_LINES: Final = 256
_MS_PER_SECOND: Final = 1000


class LogSink(logging.Handler):
    """Queues lines and writes them from a thread of the gevent thread pool.

    A write to a full pipe blocks its thread, which must not be the one that
    forwards packets.

    Args:
        stream: Stream that the lines are written to.
        capacity: Maximum number of queued lines; further ones are dropped.
    """

    def __init__(self, *, stream: TextIO, capacity: int = 10_000) -> None:
        super().__init__()
        self._stream = stream
        self._queue: Queue[str | None] = Queue(maxsize=capacity)
        self._dropped = 0
        self._reported_drops = 0
        self._is_finished = False
        self._writer = gevent.spawn(self._write_batches)

    @property
    def dropped(self) -> int:
        """Lines dropped because the queue was full or a write failed."""
        return self._dropped

    def emit(self, record: logging.LogRecord) -> None:
        """Queues the message of a record."""
        try:
            self._queue.put_nowait(_with_time_and_level(record))
        except Full:
            self._dropped += 1

    def finish(self, timeout_ms: float) -> None:
        """Writes the queued lines, for at most the given time, and stops."""
        with gevent.Timeout(timeout_ms / _MS_PER_SECOND, False):
            self._queue.put(None)
            self._writer.join()
        self._writer.kill(block=False)

    def _write_batches(self) -> None:
        while not self._is_finished:
            self._queue.peek()
            self._write(self._next_batch())

    def _next_batch(self) -> list[str]:
        count = min(self._queue.qsize(), _MAX_BATCH_LINES)
        entries = [self._queue.get_nowait() for _ in range(count)]
        self._is_finished = None in entries
        return [line for line in entries if line is not None]

    def _write(self, lines: list[str]) -> None:
        lines.extend(self._drop_warning())
        text = ''.join(f'{line}\n' for line in lines)
        try:
            gevent.get_hub().threadpool.apply(self._write_text, (text,))
        except (OSError, ValueError):
            self._dropped += len(lines)

    def _write_text(self, text: str) -> None:
        self._stream.write(text)
        self._stream.flush()

    def _drop_warning(self) -> list[str]:
        count = self._dropped - self._reported_drops
        if not count:
            return []
        self._reported_drops = self._dropped
        line = log_line(
            wall_ms=int(time.time() * _MS_PER_SECOND),
            level='warning',
            name='log_lines_dropped',
            fields={
                'count': count,
                'remedy': 'read the log faster or log less',
            },
        )
        return [line]


def _with_time_and_level(record: logging.LogRecord) -> str:
    """Adds time and level to the lines of components without a ``Log``."""
    text = record.getMessage()
    if not text.startswith('event='):
        return text
    prefix = log_line(
        wall_ms=int(record.created * _MS_PER_SECOND),
        level=record.levelname.lower(),
        name='',
        fields={},
    )
    return f'{prefix.partition(" event=")[0]} {text}'
