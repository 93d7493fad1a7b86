"""Time without the pauses of this process."""

from typing import Final

from anvilthread.clock import Clock

#: Upper limit on the time between two ticks that counts. After a pause of this
#: process, what has arrived meanwhile is only read after the tick.
_MAX_TICK_MS: Final = 40


class ActiveTime:
    """Measures timeouts that must not run while this process is paused.

    Args:
        clock: Source of time.
    """

    __slots__ = ('_clock', '_elapsed_ms', '_last_tick_ms')

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._last_tick_ms = clock.now_ms()
        self._elapsed_ms = 0

    @property
    def elapsed_ms(self) -> int:
        """Time since the start, without pauses, as of the last tick."""
        return self._elapsed_ms

    def tick(self) -> None:
        """Adds the time since the last tick; called every 20 ms."""
        now_ms = self._clock.now_ms()
        self._elapsed_ms += min(now_ms - self._last_tick_ms, _MAX_TICK_MS)
        self._last_tick_ms = now_ms
