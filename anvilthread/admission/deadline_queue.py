"""Waiting requests in order of their deadlines."""

from bisect import bisect_right, insort
from collections.abc import Callable
from operator import attrgetter

from anvilthread.admission.waiter import Waiter


class DeadlineQueue:
    """Bounded queue with the earliest deadline first.

    Equal deadlines keep their order of arrival. Requests of this agent and
    offers of other agents are bounded separately, so that offers cannot
    displace the agent's own clients.

    Args:
        limit: Most waiters of either origin.
    """

    __slots__ = ('_limit', '_own', '_waiters')

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._own = 0
        self._waiters: list[Waiter] = []

    def __len__(self) -> int:
        return len(self._waiters)

    @property
    def own(self) -> int:
        """Number of waiting requests of this agent's clients."""
        return self._own

    def use_limit(self, limit: int) -> None:
        """Replaces the limit; what waits stays."""
        self._limit = limit

    def own_before(self, deadline_ms: int) -> int:
        """Number of own waiters that are served before a new deadline."""
        end = bisect_right(self._waiters, deadline_ms, key=_deadline)
        return sum(waiter.own for waiter in self._waiters[:end])

    def push(self, waiter: Waiter) -> bool:
        """Adds a waiter; returns whether there was room."""
        others = len(self._waiters) - self._own
        if (self._own if waiter.own else others) >= self._limit:
            return False
        insort(self._waiters, waiter, key=_deadline)
        self._own += waiter.own
        return True

    def pop(self) -> Waiter:
        """Removes the waiter with the earliest deadline.

        Raises:
            IndexError: If nobody waits.
        """
        waiter = self._waiters.pop(0)
        self._own -= waiter.own
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Removes a waiter if it is still queued."""
        self.remove_if(lambda queued: queued is waiter)

    def remove_if(self, condition: Callable[[Waiter], bool]) -> list[Waiter]:
        """Removes and returns all waiters that meet a condition."""
        removed = [waiter for waiter in self._waiters if condition(waiter)]
        self._waiters = [
            waiter for waiter in self._waiters if not condition(waiter)
        ]
        self._own -= sum(waiter.own for waiter in removed)
        return removed


_deadline = attrgetter('deadline_ms')
