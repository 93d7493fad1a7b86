"""The clock interface."""

from typing import Protocol

from gevent.event import Event


class Clock(Protocol):
    """Source of time and of delays, in milliseconds."""

    def now_ms(self) -> int:
        """Monotonic time."""

    def wall_ms(self) -> int:
        """Time since the Unix epoch."""

    def sleep_ms(self, duration_ms: float) -> None:
        """Suspends the calling task."""

    def wait(self, event: Event, timeout_ms: float) -> bool:
        """Waits for an event.

        Args:
            event: The event to wait for.
            timeout_ms: Longest time to wait.

        Returns:
            Whether the event is set.
        """
