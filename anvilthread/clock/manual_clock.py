"""A clock that advances only on request."""

import heapq
import itertools

import gevent
from gevent.event import Event


class ManualClock:
    """Virtual time for deterministic runs of gevent tasks.

    Tasks that sleep on this clock run in order of their wake-up time while
    :meth:`advance` is called. Tasks must not block on real I/O.

    Args:
        start_ms: First value of both clocks.
    """

    __slots__ = ('_now_ms', '_timer_numbers', '_timers')

    def __init__(self, *, start_ms: int = 0) -> None:
        self._now_ms: float = start_ms
        self._timer_numbers = itertools.count()
        self._timers: list[tuple[float, int, Event]] = []

    def now_ms(self) -> int:
        """Monotonic time."""
        return int(self._now_ms)

    def wall_ms(self) -> int:
        """Time since the Unix epoch; the same as the monotonic time."""
        return int(self._now_ms)

    def sleep_ms(self, duration_ms: float) -> None:
        """Suspends the calling task until the clock has advanced enough."""
        self._start_timer(duration_ms).wait()

    def wait(self, event: Event, timeout_ms: float) -> bool:
        """Waits for an event; returns whether it is set."""
        if not event.is_set():
            gevent.wait([event, self._start_timer(timeout_ms)], count=1)
        return event.is_set()

    def advance(self, duration_ms: float) -> None:
        """Advances the clock and runs every task that becomes due."""
        end_ms = self._now_ms + duration_ms
        gevent.idle()
        while self._timers and self._timers[0][0] <= end_ms:
            due_ms, _, timer = heapq.heappop(self._timers)
            self._now_ms = max(self._now_ms, due_ms)
            timer.set()
            gevent.idle()
        self._now_ms = end_ms
        gevent.idle()

    def skip(self, duration_ms: float) -> None:
        """Advances the clock without running any task, like a freeze."""
        self._now_ms += duration_ms

    def _start_timer(self, duration_ms: float) -> Event:
        timer = Event()
        due_ms = self._now_ms + max(duration_ms, 0)
        heapq.heappush(self._timers, (due_ms, next(self._timer_numbers), timer))
        return timer
