"""How long a request would wait for a slot."""

from collections import deque
from typing import Final

from anvilthread.clock import Clock

#: Weight of the latest run time in the moving mean.
_WEIGHT: Final = 0.1

#: Time over which the starts of this agent's requests are counted.
_WINDOW_MS: Final = 1000


class WaitEstimator:
    """Estimates waits from run times and from the rate of starts.

    The rate of starts counts requests that started on other agents, so that
    an agent whose peers are idle does not shed by its own slots alone.

    Args:
        clock: Clock of the starts.
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
        """Moving mean of run times; 0 before the first run has ended."""
        return self._mean_ms or 0

    def started(self) -> None:
        """Counts the start of a request of this agent, here or elsewhere."""
        self._starts.append(self._clock.now_ms())
        self._forget()

    def ended(self, run_ms: int) -> None:
        """Adds the time for which a slot was in use."""
        mean_ms = run_ms if self._mean_ms is None else self._mean_ms
        self._mean_ms = mean_ms + _WEIGHT * (run_ms - mean_ms)

    def wait_ms(self, waiting: int) -> float:
        """Estimates the wait behind requests of this agent.

        Args:
            waiting: Requests that will start earlier.

        Returns:
            Time in ms; 0 while no run time is known.
        """
        if not self._mean_ms:
            return 0
        self._forget()
        own_rate = self._slots / self._mean_ms
        rate = max(own_rate, len(self._starts) / _WINDOW_MS)
        return (waiting + 1) / rate

    def _forget(self) -> None:
        oldest_ms = self._clock.now_ms() - _WINDOW_MS
        while self._starts and self._starts[0] <= oldest_ms:
            self._starts.popleft()
