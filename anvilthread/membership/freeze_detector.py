"""Detection of process freezes."""

from anvilthread.clock import Clock


class FreezeDetector:
    """Detects gaps between the runs of a periodic task.

    Args:
        clock: Monotonic clock.
        period_ms: Period of the task.
        freeze_ms: Delay beyond the period that counts as a freeze.
    """

    __slots__ = ('_clock', '_freeze_ms', '_last_run_ms', '_period_ms')

    def __init__(self, *, clock: Clock, period_ms: int, freeze_ms: int) -> None:
        self._clock = clock
        self._period_ms = period_ms
        self._freeze_ms = freeze_ms
        self._last_run_ms = clock.now_ms()

    @property
    def late_ms(self) -> int:
        """Delay of the periodic task beyond its period, 0 if on time."""
        gap_ms = self._clock.now_ms() - self._last_run_ms
        return max(0, gap_ms - self._period_ms)

    @property
    def is_frozen(self) -> bool:
        """Whether the delay of the periodic task counts as a freeze."""
        return self.late_ms > self._freeze_ms

    def record_run(self) -> None:
        """Records that the periodic task runs now."""
        self._last_run_ms = self._clock.now_ms()
