"""Sums of increments over windows of time."""

from bisect import bisect_right
from collections.abc import Iterable, Sequence
from itertools import accumulate

from anvilthread.reports.increment import Increment


class Ledger:
    """The increments of one service and indicator.

    Args:
        increments: The increments, in any order.
    """

    __slots__ = ('_bads', '_times', '_totals')

    def __init__(self, *, increments: Iterable[Increment]) -> None:
        ordered = sorted(increments, key=_time)
        self._times = [increment.ts_ms for increment in ordered]
        self._totals = list(
            accumulate((event.total for event in ordered), initial=0)
        )
        self._bads = list(
            accumulate((event.bad for event in ordered), initial=0)
        )

    def total(self, end_ms: int, window_ms: int) -> float:
        """Events in the window that ends at ``end_ms``."""
        return self._sum(self._totals, end_ms, window_ms)

    def bad(self, end_ms: int, window_ms: int) -> float:
        """Bad events in the window that ends at ``end_ms``."""
        return self._sum(self._bads, end_ms, window_ms)

    def burn_rate(self, end_ms: int, window_ms: int, objective: float) -> float:
        """Share of bad events relative to the share that is allowed.

        Args:
            end_ms: End of the window, which belongs to it.
            window_ms: Length of the window; its start does not belong to it.
            objective: Share of good events that is promised.

        Returns:
            1 if the error budget lasts exactly as long as its period; 0 for
            a window without events.
        """
        total = self.total(end_ms, window_ms)
        if not total:
            return 0
        return self.bad(end_ms, window_ms) / total / (1 - objective)

    def _sum(self, sums: Sequence[float], end_ms: int, window_ms: int) -> float:
        last = bisect_right(self._times, end_ms)
        first = bisect_right(self._times, end_ms - window_ms)
        return sums[last] - sums[first]


def _time(increment: Increment) -> int:
    return increment.ts_ms
