"""A rate limit in bytes per second."""

from typing import Final

from anvilthread.clock import Clock

_MS_PER_SECOND: Final = 1000


class TokenBucket:
    """Limits an average rate and allows bursts.

    Args:
        clock: Clock that refills the bucket.
        per_second: Tokens added per second.
        burst: Largest number of tokens held.
    """

    __slots__ = ('_burst', '_clock', '_filled_ms', '_per_second', '_tokens')

    def __init__(self, *, clock: Clock, per_second: int, burst: int) -> None:
        self._clock = clock
        self._per_second = per_second
        self._burst = burst
        self._tokens: float = burst
        self._filled_ms = clock.now_ms()

    @property
    def available(self) -> int:
        """Tokens that are available now."""
        now_ms = self._clock.now_ms()
        elapsed_ms = now_ms - self._filled_ms
        self._filled_ms = now_ms
        refill = elapsed_ms * self._per_second / _MS_PER_SECOND
        self._tokens = min(self._burst, self._tokens + refill)
        return int(self._tokens)

    def take(self, amount: int) -> bool:
        """Takes tokens, or none if there are too few."""
        if amount > self.available:
            return False
        self._tokens -= amount
        return True
