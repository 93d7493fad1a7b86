"""Estimate of the time that a request waits for a slot."""

from collections import deque
from typing import Final

from anvilthread.clock import Clock

#: Weight of the latest run time in the exponential moving average.
_RUN_TIME_WEIGHT: Final = 0.1

#: Window in which the starts of this agent's requests are counted.
_START_WINDOW_MS: Final = 1000


class WaitEstimator:
    """Estimates waiting times from run times and the rate of starts.

    The rate includes requests of this agent that start on other agents, so that
    an agent with idle peers does not shed load by its own capacity alone.

    Args:
        clock: Clock for the starts.
        slots: Slots of this agent's target.
    """

    __slots__ = ('_clock', '_mean_ms', '_slots', '_starts')

    def __init__(self, *, clock: Clock, slots: int) -> None:
        self._clock = clock
        self._slots = slots
        self._mean_ms: float | None = None
        self._starts: deque[int] = deque()

    @property
    def run_ms(self) -> float:
        """Moving average of run times; 0 before the end of the first run."""
        return self._mean_ms or 0

    def record_start(self) -> None:
        """Counts the start of a request of this agent, on any agent."""
        self._starts.append(self._clock.now_ms())
        self._remove_old_starts()

    def record_run(self, run_ms: int) -> None:
        """Adds the run time of a request, for which its slot was in use."""
        mean_ms = run_ms if self._mean_ms is None else self._mean_ms
        self._mean_ms = mean_ms + _RUN_TIME_WEIGHT * (run_ms - mean_ms)

    def wait_ms(self, waiting: int) -> float:
        """Estimates the wait behind other requests of this agent.

        Args:
            waiting: Number of requests that will start earlier.

        Returns:
            Time in ms; 0 if no run time has been recorded.
        """
        if not self._mean_ms:
            return 0
        self._remove_old_starts()
        local_rate = self._slots / self._mean_ms
        rate = max(local_rate, len(self._starts) / _START_WINDOW_MS)
        return (waiting + 1) / rate

    def _remove_old_starts(self) -> None:
        oldest_ms = self._clock.now_ms() - _START_WINDOW_MS
        while self._starts and self._starts[0] <= oldest_ms:
            self._starts.popleft()
