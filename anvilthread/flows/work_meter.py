"""The number of requests at a target."""

from typing import Final

from anvilthread.clock import Clock

#: Several times the duration of a request (15 to 40 ms), and short enough to
#: show a queue in time for latency objectives of 100 ms and more.
_MEAN_TIME_CONSTANT_MS: Final = 500


class WorkMeter:
    """Counts the requests at a target, and keeps a moving mean.

    Args:
        clock: Source of time.
    """

    __slots__ = ('_clock', '_mean', '_updated_ms', '_working')

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._working = 0
        self._mean: float = 0
        self._updated_ms = clock.now_ms()

    @property
    def working(self) -> int:
        """Requests that the target has not begun to answer."""
        return self._working

    @property
    def mean(self) -> float:
        """Exponentially weighted mean of :attr:`working`."""
        self._update()
        return self._mean

    def begin(self) -> None:
        """Adds a request."""
        self._update()
        self._working += 1

    def end(self) -> None:
        """Removes a request."""
        self._update()
        self._working -= 1

    def _update(self) -> None:
        now_ms = self._clock.now_ms()
        share = min((now_ms - self._updated_ms) / _MEAN_TIME_CONSTANT_MS, 1)
        self._mean += (self._working - self._mean) * share
        self._updated_ms = now_ms
