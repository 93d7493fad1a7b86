"""A clock that moves only when it is told to."""

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

    __slots__ = ('_now_ms', '_order', '_waiters')

    def __init__(self, *, start_ms: int = 0) -> None:
        self._now_ms: float = start_ms
        self._order = itertools.count()
        self._waiters: list[tuple[float, int, Event]] = []

    def now_ms(self) -> int:
        """Monotonic time."""
        return int(self._now_ms)

    def wall_ms(self) -> int:
        """Time since the Unix epoch; the same as the monotonic time."""
        return int(self._now_ms)

    def sleep_ms(self, duration_ms: float) -> None:
        """Suspends the calling task until the clock has advanced enough."""
        self._alarm(duration_ms).wait()

    def wait(self, event: Event, timeout_ms: float) -> bool:
        """Waits for an event; returns whether it is set."""
        if not event.is_set():
            gevent.wait([event, self._alarm(timeout_ms)], count=1)
        return event.is_set()

    def advance(self, duration_ms: float) -> None:
        """Moves time forward and runs every task that becomes due."""
        end_ms = self._now_ms + duration_ms
        gevent.idle()
        while self._waiters and self._waiters[0][0] <= end_ms:
            due_ms, _, alarm = heapq.heappop(self._waiters)
            self._now_ms = max(self._now_ms, due_ms)
            alarm.set()
            gevent.idle()
        self._now_ms = end_ms
        gevent.idle()

    def skip(self, duration_ms: float) -> None:
        """Moves time forward without running any task, as a freeze does."""
        self._now_ms += duration_ms

    def _alarm(self, duration_ms: float) -> Event:
        alarm = Event()
        due_ms = self._now_ms + max(duration_ms, 0)
        heapq.heappush(self._waiters, (due_ms, next(self._order), alarm))
        return alarm
