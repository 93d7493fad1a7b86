"""Structured logs written through absl.logging."""

from absl import logging

from anvilthread.clock import Clock
from anvilthread.telemetry.log_line import log_line
from anvilthread.telemetry.log_sink import LogSink


class AbslLog:
    """Writes events through the absl logger of the process.

    Args:
        node: Name of this process, part of every line.
        clock: Source of the time of each line.
        sink: Handler of the absl logger; earlier handlers are removed.
    """

    __slots__ = ('_clock', '_node')

    def __init__(self, *, node: str, clock: Clock, sink: LogSink) -> None:
        self._node = node
        self._clock = clock
        logger = logging.get_absl_logger()
        for handler in tuple(logger.handlers):
            logger.removeHandler(handler)
        logger.addHandler(sink)
        logger.propagate = False
        logging.set_verbosity(logging.INFO)

    def event(self, name: str, /, **fields: object) -> None:
        """Records an event."""
        logging.info('%s', self._line('info', name, fields))

    def warning(self, name: str, /, **fields: object) -> None:
        """Records an event that an operator should act on."""
        logging.warning('%s', self._line('warning', name, fields))

    def _line(self, level: str, name: str, fields: dict[str, object]) -> str:
        return log_line(
            wall_ms=self._clock.wall_ms(),
            level=level,
            name=name,
            fields={'node': self._node, **fields},
        )
