"""A clock of one process that can be paused."""

from gevent.event import Event

from anvilthread.clock import ManualClock


class PausableClock:
    """Suspends the tasks of one process, as a stopped VM does.

    Args:
        clock: The clock that all processes share.
    """

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self._paused_until_ms = 0

    def pause(self, duration_ms: int) -> None:
        """Suspends every task of the process for a duration."""
        self._paused_until_ms = self._clock.now_ms() + duration_ms

    def now_ms(self) -> int:
        """Monotonic time, which continues during a pause."""
        return self._clock.now_ms()

    def wall_ms(self) -> int:
        """Time since the Unix epoch."""
        return self._clock.wall_ms()

    def sleep_ms(self, duration_ms: float) -> None:
        """Suspends the calling task, at least until the pause ends."""
        self._clock.sleep_ms(duration_ms)
        self.wait_until_resumed()

    def wait(self, event: Event, timeout_ms: float) -> bool:
        """Waits for an event, at least until the pause ends."""
        self._clock.wait(event, timeout_ms)
        self.wait_until_resumed()
        return event.is_set()

    def wait_until_resumed(self) -> None:
        """Blocks the calling task until the pause ends."""
        while self._clock.now_ms() < self._paused_until_ms:
            self._clock.sleep_ms(self._paused_until_ms - self._clock.now_ms())
