"""Slow start of a cold target."""

from typing import Final

from anvilthread.clock import Clock
from anvilthread.routing.load_report import FULL_WARMTH_PERCENT

#: Time until a cold target gets its full share of connections.
DEFAULT_DURATION_MS: Final = 5000

#: Share of connections that a cold target gets at once.
DEFAULT_INITIAL_PERCENT: Final = 20


class SlowStart:
    """Raises the warmth of a target linearly from its start.

    Args:
        clock: Clock by which the target warms up.
        duration_ms: Time until the target is warm; 0 for no slow start.
        initial_percent: Warmth at the start.
    """

    __slots__ = ('_clock', '_duration_ms', '_initial_percent', '_start_ms')

    def __init__(
        self,
        *,
        clock: Clock,
        duration_ms: int = DEFAULT_DURATION_MS,
        initial_percent: int = DEFAULT_INITIAL_PERCENT,
    ) -> None:
        self._clock = clock
        self._duration_ms = duration_ms
        self._initial_percent = initial_percent
        self._start_ms = clock.now_ms()

    @property
    def warmth_percent(self) -> int:
        """Progress from the initial warmth to 100."""
        elapsed_ms = self._clock.now_ms() - self._start_ms
        if elapsed_ms >= self._duration_ms:
            return FULL_WARMTH_PERCENT
        missing = FULL_WARMTH_PERCENT - self._initial_percent
        return self._initial_percent + missing * elapsed_ms // self._duration_ms
