"""Delays between retries."""

from random import Random
from typing import Final

#: Exponent beyond which the delay no longer grows, against overflow.
_MAX_DOUBLINGS: Final = 16


class Backoff:
    """Exponential backoff with jitter.

    Args:
        random: Source of the jitter.
        initial_ms: Mean delay after the first failure.
        max_ms: Largest mean delay.
    """

    __slots__ = ('_failures', '_initial_ms', '_max_ms', '_random')

    def __init__(
        self, *, random: Random, initial_ms: float, max_ms: float
    ) -> None:
        self._random = random
        self._initial_ms = initial_ms
        self._max_ms = max_ms
        self._failures = 0

    def next_ms(self) -> float:
        """Counts a failure; returns 0.5 to 1.5 times the mean delay."""
        mean_ms = self._initial_ms * 2 ** min(self._failures, _MAX_DOUBLINGS)
        self._failures += 1
        return min(mean_ms, self._max_ms) * self._random.uniform(0.5, 1.5)

    def reset(self) -> None:
        """Resets the delay after a success."""
        self._failures = 0
