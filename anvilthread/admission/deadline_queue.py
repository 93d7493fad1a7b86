"""Queue of waiting requests, ordered by deadline."""

from bisect import bisect_right, insort
from collections.abc import Callable
from operator import attrgetter

from anvilthread.admission.waiter import Waiter


class DeadlineQueue:
    """Bounded queue with the earliest deadline first.

    Waiters with equal deadlines are served in order of arrival. Requests of
    this agent's clients and offers of other agents are bounded separately, so
    that offers cannot displace requests of local clients.

    Args:
        limit: Maximum number of waiters of each origin.
    """

    __slots__ = ('_limit', '_local', '_waiters')

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._local = 0
        self._waiters: list[Waiter] = []

    def __len__(self) -> int:
        return len(self._waiters)

    @property
    def local_count(self) -> int:
        """Number of waiting requests of local clients."""
        return self._local

    def use_limit(self, limit: int) -> None:
        """Replaces the limit; queued waiters stay."""
        self._limit = limit

    def local_before(self, deadline_ms: int) -> int:
        """Returns the number of local waiters served before a new deadline."""
        end = bisect_right(self._waiters, deadline_ms, key=_deadline)
        return sum(waiter.is_local for waiter in self._waiters[:end])

    def push(self, waiter: Waiter) -> bool:
        """Adds a waiter; returns False if the queue is full."""
        others = len(self._waiters) - self._local
        if (self._local if waiter.is_local else others) >= self._limit:
            return False
        insort(self._waiters, waiter, key=_deadline)
        self._local += waiter.is_local
        return True

    def pop(self) -> Waiter:
        """Removes the waiter with the earliest deadline.

        Raises:
            IndexError: If the queue is empty.
        """
        waiter = self._waiters.pop(0)
        self._local -= waiter.is_local
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Removes a waiter if it is still queued."""
        self.remove_if(lambda queued: queued is waiter)

    def remove_if(self, condition: Callable[[Waiter], bool]) -> list[Waiter]:
        """Removes and returns all waiters that satisfy a condition."""
        removed = [waiter for waiter in self._waiters if condition(waiter)]
        self._waiters = [
            waiter for waiter in self._waiters if not condition(waiter)
        ]
        self._local -= sum(waiter.is_local for waiter in removed)
        return removed


_deadline = attrgetter('deadline_ms')
