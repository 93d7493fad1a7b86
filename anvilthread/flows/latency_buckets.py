"""A latency histogram."""

from bisect import bisect_left
from typing import Final

#: Upper bounds of the buckets. They cover the latency objectives of requests
#: (100 to 1,100 ms) and the deadlines above them.
BOUNDS_MS: Final = (5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000)


class LatencyBuckets:
    """Counts per bucket; needs no metrics library in the process."""

    __slots__ = ('_counts', '_total_ms')

    def __init__(self) -> None:
        self._counts = [0 for _ in range(len(BOUNDS_MS) + 1)]
        self._total_ms = 0

    @property
    def counts(self) -> list[int]:
        """Number of observations per bucket; the last is above all bounds."""
        return list(self._counts)

    @property
    def total_ms(self) -> int:
        """Sum of all observations in ms."""
        return self._total_ms

    def observe(self, latency_ms: int) -> None:
        """Counts one observation."""
        self._counts[bisect_left(BOUNDS_MS, latency_ms)] += 1
        self._total_ms += latency_ms
