"""Detection of a process that did not run for a while."""

from anvilthread.clock import Clock


class FreezeDetector:
    """Watches a periodic task for gaps.

    Args:
        clock: Monotonic clock.
        period_ms: Period of the task.
        freeze_ms: Delay beyond the period that counts as a freeze.
    """

    __slots__ = ('_clock', '_freeze_ms', '_period_ms', '_ran_ms')

    def __init__(self, *, clock: Clock, period_ms: int, freeze_ms: int) -> None:
        self._clock = clock
        self._period_ms = period_ms
        self._freeze_ms = freeze_ms
        self._ran_ms = clock.now_ms()

    @property
    def late_ms(self) -> int:
        """Delay of the periodic task beyond its period, 0 if in time."""
        gap_ms = self._clock.now_ms() - self._ran_ms
        return max(0, gap_ms - self._period_ms)

    @property
    def is_frozen(self) -> bool:
        """Whether the periodic task is late by a freeze."""
        return self.late_ms > self._freeze_ms

    def run(self) -> None:
        """Records that the periodic task runs now."""
        self._ran_ms = self._clock.now_ms()
