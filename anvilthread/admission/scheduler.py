"""Scheduling of waiting requests on the slots."""

from collections.abc import Callable
from functools import partial

from result import Err, Ok, Result

from anvilthread.admission import refusals
from anvilthread.admission.deadline_queue import DeadlineQueue
from anvilthread.admission.limits import Limits
from anvilthread.admission.slot import Slot
from anvilthread.admission.slot_pool import SlotPool
from anvilthread.admission.target_state import TargetState
from anvilthread.admission.wait_estimator import WaitEstimator
from anvilthread.admission.waiter import Waiter
from anvilthread.clock import Clock
from anvilthread.outcomes import Outcome


class Scheduler:
    """Grants free slots by earliest deadline first.

    Args:
        clock: Clock for the deadlines.
        limits: Limits of the target.
        state: State of the target.
    """

    def __init__(
        self, *, clock: Clock, limits: Limits, state: TargetState
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._state = state
        self._queue = DeadlineQueue(limit=limits.queue)
        self._pool = SlotPool(slots=limits.slots, on_release=self.grant)
        self._estimator = WaitEstimator(clock=clock, slots=limits.slots)

    @property
    def pool(self) -> SlotPool:
        """The slots of the target."""
        return self._pool

    @property
    def estimator(self) -> WaitEstimator:
        """Estimator of waiting times."""
        return self._estimator

    @property
    def waiting(self) -> int:
        """Number of waiting requests of this agent's clients."""
        return self._queue.local_count

    def use_limits(self, limits: Limits) -> None:
        """Replaces the limits of the queue; the slots do not change."""
        self._limits = limits
        self._queue.use_limit(limits.queue)

    def enter(self, waiter: Waiter) -> Result[Waiter, Outcome]:
        """Grants a free slot to a waiter or queues it.

        A waiter that would probably miss its deadline is refused.
        """
        if not len(self._queue):
            slot = self._take()
            if slot is not None:
                waiter.grant(slot)
                return Ok(waiter)
        overload = self._overload(waiter)
        if overload is not None:
            return Err(overload)
        if not self._queue.push(waiter):
            return Err(refusals.queue_full(self._limits.queue))
        self.grant()
        return Ok(waiter)

    def leave(self, waiter: Waiter) -> None:
        """Removes a waiter and releases its slot if it has one."""
        self._queue.remove(waiter)
        if waiter.slot is not None:
            waiter.slot.release()

    def refuse(
        self, condition: Callable[[Waiter], bool], refusal: Outcome
    ) -> None:
        """Refuses the queued waiters that satisfy a condition."""
        for waiter in self._queue.remove_if(condition):
            waiter.refuse(refusal)

    def grant(self) -> None:
        """Refuses expired waiters and grants the free slots to the others."""
        now_ms = self._clock.now_ms()
        self.refuse(
            lambda waiter: waiter.deadline_ms <= now_ms,
            refusals.deadline_passed(),
        )
        while len(self._queue) and not self._state.closed(now_ms):
            slot = self._take()
            if slot is None:
                return
            self._queue.pop().grant(slot)

    def grant_after(self, delay_ms: int) -> None:
        """Grants the free slots after a delay; runs in a separate task."""
        self._clock.sleep_ms(delay_ms)
        self.grant()

    def _overload(self, waiter: Waiter) -> Outcome | None:
        if not waiter.is_local:
            return None
        ahead = self._queue.local_before(waiter.deadline_ms)
        wait_ms = self._estimator.wait_ms(ahead)
        left_ms: float = waiter.deadline_ms - self._clock.now_ms()
        # At most half of the time is reserved for the run; otherwise long runs
        # would cause every request with an early deadline to be shed.
        left_ms = max(left_ms - self._estimator.run_ms, left_ms / 2)
        if wait_ms <= left_ms * self._limits.shed_ratio:
            return None
        return refusals.overloaded(int(wait_ms))

    def _take(self) -> Slot | None:
        slot = self._pool.take(None if self._state.is_confirmed else 1)
        if slot is None:
            return None
        started_ms = self._clock.now_ms()
        return Slot(
            on_release=partial(self._on_slot_released, slot, started_ms)
        )

    def _on_slot_released(self, slot: Slot, started_ms: int) -> None:
        self._estimator.record_run(self._clock.now_ms() - started_ms)
        slot.release()
