"""The system clock."""

import time
from typing import Final

import gevent
from gevent.event import Event

_MS_PER_SECOND: Final = 1000
_NS_PER_MS: Final = 1_000_000


class SystemClock:
    """Reads the system's clocks and sleeps in gevent."""

    __slots__ = ()

    def now_ms(self) -> int:
        """Monotonic time."""
        return time.monotonic_ns() // _NS_PER_MS

    def wall_ms(self) -> int:
        """Time since the Unix epoch."""
        return time.time_ns() // _NS_PER_MS

    def sleep_ms(self, duration_ms: float) -> None:
        """Suspends the calling task."""
        gevent.sleep(duration_ms / _MS_PER_SECOND)

    def wait(self, event: Event, timeout_ms: float) -> bool:
        """Waits for an event; returns whether it is set."""
        return bool(event.wait(timeout_ms / _MS_PER_SECOND))
