"""The order in which waiting requests get slots."""

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
    """Grants free slots to the waiters with the earliest deadlines.

    Args:
        clock: Clock of the deadlines.
        limits: Limits of the target.
        state: Whether the target may get requests.
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
        """The slots."""
        return self._pool

    @property
    def estimator(self) -> WaitEstimator:
        """Run times and rate of starts."""
        return self._estimator

    @property
    def waiting(self) -> int:
        """Number of waiting requests of this agent's clients."""
        return self._queue.own

    def use_limits(self, limits: Limits) -> None:
        """Replaces the limits of the queue; slots stay as they are."""
        self._limits = limits
        self._queue.use_limit(limits.queue)

    def enter(self, waiter: Waiter) -> Result[Waiter, Outcome]:
        """Gives a waiter a free slot or queues it, unless it is too late."""
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
        """Removes a waiter and frees the slot that it may have got."""
        self._queue.remove(waiter)
        if waiter.slot is not None:
            waiter.slot.release()

    def refuse(
        self, condition: Callable[[Waiter], bool], refusal: Outcome
    ) -> None:
        """Turns away the queued waiters that meet a condition."""
        for waiter in self._queue.remove_if(condition):
            waiter.refuse(refusal)

    def grant(self) -> None:
        """Drops expired waiters and gives the free slots to the rest."""
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
        """Grants the free slots later; runs in a task of its own."""
        self._clock.sleep_ms(delay_ms)
        self.grant()

    def _overload(self, waiter: Waiter) -> Outcome | None:
        if not waiter.own:
            return None
        ahead = self._queue.own_before(waiter.deadline_ms)
        wait_ms = self._estimator.wait_ms(ahead)
        left_ms: float = waiter.deadline_ms - self._clock.now_ms()
        # Long runs must not make every request with an early deadline look
        # hopeless, so at most half of the time is set aside for the run.
        left_ms = max(left_ms - self._estimator.run_ms, left_ms / 2)
        if wait_ms <= left_ms * self._limits.shed_ratio:
            return None
        return refusals.overloaded(int(wait_ms))

    def _take(self) -> Slot | None:
        slot = self._pool.take(None if self._state.proven else 1)
        if slot is None:
            return None
        started_ms = self._clock.now_ms()
        return Slot(on_release=partial(self._released, slot, started_ms))

    def _released(self, slot: Slot, started_ms: int) -> None:
        self._estimator.ended(self._clock.now_ms() - started_ms)
        slot.release()
