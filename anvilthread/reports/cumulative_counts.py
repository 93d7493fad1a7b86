"""Event counts over windows of time."""

from bisect import bisect_right
from collections.abc import Iterable, Sequence
from itertools import accumulate

from anvilthread.reports.increment import Increment


class CumulativeCounts:
    """Cumulative event counts of one service and indicator.

    Args:
        increments: The increments, in any order.
    """

    __slots__ = ('_cumulative_bad', '_cumulative_total', '_times_ms')

    def __init__(self, *, increments: Iterable[Increment]) -> None:
        ordered = sorted(increments, key=_time_ms)
        self._times_ms = [increment.ts_ms for increment in ordered]
        self._cumulative_total = list(
            accumulate((event.total for event in ordered), initial=0)
        )
        self._cumulative_bad = list(
            accumulate((event.bad for event in ordered), initial=0)
        )

    def total(self, end_ms: int, window_ms: int) -> float:
        """Events in the window that ends at ``end_ms``."""
        return self._sum(self._cumulative_total, end_ms, window_ms)

    def bad(self, end_ms: int, window_ms: int) -> float:
        """Bad events in the window that ends at ``end_ms``."""
        return self._sum(self._cumulative_bad, end_ms, window_ms)

    def burn_rate(self, end_ms: int, window_ms: int, objective: float) -> float:
        """Share of bad events relative to the share that is allowed.

        Args:
            end_ms: End of the window, inclusive.
            window_ms: Length of the window; its start is exclusive.
            objective: Objective as a share of good events.

        Returns:
            1 if the error budget lasts exactly as long as its period; 0 for
            a window without events.
        """
        total = self.total(end_ms, window_ms)
        if not total:
            return 0
        return self.bad(end_ms, window_ms) / total / (1 - objective)

    def _sum(
        self, cumulative: Sequence[float], end_ms: int, window_ms: int
    ) -> float:
        last = bisect_right(self._times_ms, end_ms)
        first = bisect_right(self._times_ms, end_ms - window_ms)
        return cumulative[last] - cumulative[first]


def _time_ms(increment: Increment) -> int:
    return increment.ts_ms
