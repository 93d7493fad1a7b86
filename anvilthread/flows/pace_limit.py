"""An adaptive limit on the requests at a target, from its answers."""

from typing import Final

from anvilthread.clock import Clock
from anvilthread.flows.service_time import ServiceTime
from anvilthread.flows.target_watch import TargetWatch

#: Requests per slot: one that is processed, and one in transit from its client,
#: without which the slot would be idle for a round trip.
_MAX_PER_SLOT: Final = 2

#: Factor on the undisturbed time above which a target is overloaded.
_SLOW_FACTOR: Final = 2

#: Minimum time between two decreases for refusals. Requests that were sent
#: before the first decrease are refused for the same cause; they are in transit
#: for at most a round trip (2 to 10 ms), or delayed by one tick.
_DECREASE_MS: Final = 20


class PaceLimit:
    """Additive increase, multiplicative decrease (AIMD) of the requests.

    The limit starts at the number of slots, grows by one with as many quick
    answers as the limit, and is halved if the target is full, if a request
    fails, or if the target takes more than twice its undisturbed time. Another
    failure before that many quick answers sets it to 1; so it is 1 after an
    ejection. Halves are rounded up: with a limit of 1, the slot is idle until
    the next request has come from its client.

    Args:
        clock: Source of time.
        target: State of the target, with its slots.
    """

    __slots__ = (
        '_clock',
        '_decreased_ms',
        '_has_failed',
        '_limit',
        '_quick_answers',
        '_service_time',
        '_target',
    )

    def __init__(self, *, clock: Clock, target: TargetWatch) -> None:
        self._clock = clock
        self._target = target
        self._service_time = ServiceTime()
        #: None until something has been learned; slots may not be known yet.
        self._limit: int | None = None
        self._quick_answers = 0
        self._has_failed = False
        self._decreased_ms: int | None = None

    @property
    def limit(self) -> int:
        """Requests that may be at the target; at least 1."""
        slots = max(self._target.slots, 1)
        limit = slots if self._limit is None else self._limit
        return min(limit, slots * _MAX_PER_SLOT)

    @property
    def run_ms(self) -> float:
        """Time for which a request occupies a slot; 0 if unknown."""
        return self._service_time.run_ms

    def on_answer(self, *, run_ms: int, working: int) -> None:
        """Records an answer of the target.

        Args:
            run_ms: Time from the request to the answer.
            working: Requests at the target when the answered one began,
                itself included.
        """
        service_ms = self._service_time.record(
            now_ms=self._clock.now_ms(),
            run_ms=max(run_ms, 0),
            working=working,
            slots=max(self._target.slots, 1),
        )
        slow_ms = self._service_time.alone_ms * _SLOW_FACTOR
        if slow_ms and self._service_time.latest_ms > slow_ms:
            self._halve()
        elif not slow_ms or service_ms <= slow_ms:
            self._count_quick_answer()

    def on_refusal(self) -> None:
        """Records that the target was full."""
        now_ms = self._clock.now_ms()
        self._service_time.record_departure(now_ms)
        decreased_ms = self._decreased_ms
        if decreased_ms is None or now_ms - decreased_ms > _DECREASE_MS:
            self._decreased_ms = now_ms
            self._halve()

    def on_failure(self) -> None:
        """Records a failed or unanswered request."""
        self._service_time.record_departure(self._clock.now_ms())
        if self._has_failed:
            self._limit = 1
        self._halve()
        self._has_failed = True

    def restart(self) -> None:
        """Discards what was learned, for another incarnation of the target."""
        self._service_time.reset()
        self._limit = None
        self._quick_answers = 0
        self._has_failed = False
        self._decreased_ms = None

    def _count_quick_answer(self) -> None:
        self._quick_answers += 1
        limit = self.limit
        if self._quick_answers >= limit:
            self._quick_answers = 0
            self._has_failed = False
            self._limit = limit + 1

    def _halve(self) -> None:
        self._limit = (self.limit + 1) // 2
        self._quick_answers = 0
        self._service_time.forget_latest()
