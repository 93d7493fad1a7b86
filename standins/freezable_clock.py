"""A clock whose process can be frozen."""

from gevent.event import Event

from anvilthread.clock import Clock


class FreezableClock:
    """Suspends the tasks of one process while others continue.

    Tasks that wake up during a freeze continue at its end, with the time of
    the other processes, as after a pause of a VM.

    Args:
        base: Clock that all processes share.
    """

    def __init__(self, *, base: Clock) -> None:
        self._base = base
        self._frozen_until_ms = 0

    def freeze(self, duration_ms: int) -> None:
        """Freezes the process for a duration, starting now."""
        self._frozen_until_ms = self._base.now_ms() + duration_ms

    def wait_until_thawed(self) -> None:
        """Blocks the calling task until the end of the freeze."""
        while self._base.now_ms() < self._frozen_until_ms:
            self._base.sleep_ms(self._frozen_until_ms - self._base.now_ms())

    def now_ms(self) -> int:
        """Monotonic time."""
        return self._base.now_ms()

    def wall_ms(self) -> int:
        """Time since the Unix epoch."""
        return self._base.wall_ms()

    def sleep_ms(self, duration_ms: float) -> None:
        """Suspends the calling task."""
        self._base.sleep_ms(duration_ms)
        self.wait_until_thawed()

    def wait(self, event: Event, timeout_ms: float) -> bool:
        """Waits for an event; returns whether it is set."""
        self._base.wait(event, timeout_ms)
        self.wait_until_thawed()
        return event.is_set()
