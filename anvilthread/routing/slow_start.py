"""Slow start of a target that has just started."""

from typing import Final

from anvilthread.clock import Clock
from anvilthread.routing.load_report import FULL_WARMTH_PERCENT

#: Time until a cold target receives its full share of connections.
DEFAULT_DURATION_MS: Final = 5000

#: Share of connections that a cold target receives at its start.
DEFAULT_INITIAL_PERCENT: Final = 20


class SlowStart:
    """Increases the warm-up progress of a target linearly after its start.

    Args:
        clock: Clock for the duration of the slow start.
        duration_ms: Time until the target is warm; 0 disables slow start.
        initial_percent: Warm-up progress at the start.
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
        """Warm-up progress, from the initial percentage to 100."""
        elapsed_ms = self._clock.now_ms() - self._start_ms
        if elapsed_ms >= self._duration_ms:
            return FULL_WARMTH_PERCENT
        remaining = FULL_WARMTH_PERCENT - self._initial_percent
        return (
            self._initial_percent + remaining * elapsed_ms // self._duration_ms
        )
