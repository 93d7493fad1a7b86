"""Admission of requests to the slots of one target."""

import gevent
from gevent.event import Event
from result import Err, Ok, Result

from anvilthread.admission import refusals
from anvilthread.admission.limits import Limits
from anvilthread.admission.load import Load
from anvilthread.admission.scheduler import Scheduler
from anvilthread.admission.slot import Slot
from anvilthread.admission.slot_pool import SlotPool
from anvilthread.admission.target_state import TargetState
from anvilthread.admission.wait_estimator import WaitEstimator
from anvilthread.admission.waiter import Waiter
from anvilthread.clock import Clock
from anvilthread.outcomes import Outcome


class Admission:
    """Grants the slots of one target by earliest deadline first.

    Args:
        clock: Clock for the deadlines.
        limits: Limits of the target.
    """

    def __init__(self, *, clock: Clock, limits: Limits) -> None:
        self._clock = clock
        self._limits = limits
        self._state = TargetState()
        self._scheduler = Scheduler(
            clock=clock, limits=limits, state=self._state
        )
        # Streams are not queued, so a released stream slot wakes no waiter.
        self._streams = SlotPool(slots=limits.streams)
        # Counts requests, without a limit.
        self._requests = SlotPool(slots=0)
        self._stopped = Event()

    @property
    def limits(self) -> Limits:
        """Limits of the target."""
        return self._limits

    @property
    def draining(self) -> bool:
        """Whether the target accepts no new requests."""
        return self._state.draining

    @property
    def stopped(self) -> Event:
        """Set when a stop interrupts the requests that are still running."""
        return self._stopped

    @property
    def estimator(self) -> WaitEstimator:
        """Estimator of waiting times."""
        return self._scheduler.estimator

    @property
    def load(self) -> Load:
        """Current load figures."""
        pool = self._scheduler.pool
        return Load(
            busy=pool.busy,
            waiting=self._scheduler.waiting,
            slots=pool.slots,
            streams=self._streams.busy,
        )

    def use_limits(self, limits: Limits) -> None:
        """Replaces the limits of queue, retries and times.

        Queued requests stay in the queue if its limit becomes smaller. The
        numbers of slots and streams do not change.
        """
        self._limits = limits
        self._scheduler.use_limits(limits)

    def enter(
        self, *, deadline_ms: int, stream: bool, is_local: bool, wake: Event
    ) -> Result[Waiter, Outcome]:
        """Requests a slot without blocking.

        Args:
            deadline_ms: Monotonic time after which the request must not start.
            stream: Whether the request is a stream.
            is_local: Whether the request comes from a client of this agent
                rather than from another agent.
            wake: Set when the waiter is granted a slot or refused.

        Returns:
            A waiter, which already has a slot if one is free, or a refusal.
        """
        now_ms = self._clock.now_ms()
        if deadline_ms <= now_ms:
            return Err(refusals.deadline_passed())
        refusal = self._state.refusal(now_ms)
        if refusal is not None:
            return Err(refusal)
        waiter = Waiter(deadline_ms=deadline_ms, is_local=is_local, wake=wake)
        if stream and not self._limits.streams_take_slots:
            return self._enter_stream(waiter)
        return self._scheduler.enter(waiter)

    def leave(self, waiter: Waiter) -> None:
        """Removes a waiter and releases its slot if it has one."""
        self._scheduler.leave(waiter)

    def pause(self) -> None:
        """Pauses the grant of slots after the target refused a connection.

        After the pause, one request runs at a time until one is answered.
        """
        pause_ms = self._limits.pause_ms
        self._state.pause(self._clock.now_ms() + pause_ms)
        self._scheduler.refuse(
            lambda waiter: not waiter.is_local, refusals.target_unavailable()
        )
        gevent.spawn(self._scheduler.grant_after, pause_ms)

    def delay_starts(self) -> None:
        """Delays the start of requests after the target broke a connection.

        A target process that terminates may still accept a connection before
        its sockets are closed; it would then be unknown whether a request on
        that connection ran.
        """
        self._state.delay_starts(self._clock.now_ms() + self._limits.doubt_ms)

    def wait_for_delay(self) -> None:
        """Waits until starts are no longer delayed by a broken connection.

        By then, a target that is terminating refuses connections.
        """
        left_ms = self._state.delayed_until_ms - self._clock.now_ms()
        if left_ms > 0:
            self._clock.sleep_ms(left_ms)

    def confirm(self) -> None:
        """Records that the target has answered a request."""
        if not self._state.is_confirmed:
            self._state.confirm()
            self._scheduler.grant()

    def drain(self) -> None:
        """Refuses new requests; running requests continue."""
        self._state.drain()
        self._scheduler.refuse(lambda _: True, refusals.draining())

    def track(self) -> Slot:
        """Registers a request that a stop waits for, on any agent.

        Returns:
            A slot to release when the request has its outcome.
        """
        return self._requests.take_any()

    def stop(self) -> int:
        """Drains, waits for all requests and interrupts those still running.

        Returns:
            Number of requests and streams that were interrupted.
        """
        self.drain()
        self._clock.wait(self._requests.idle, self._limits.stop_ms)
        interrupted = self._requests.busy
        self._stopped.set()
        return interrupted

    def _enter_stream(self, waiter: Waiter) -> Result[Waiter, Outcome]:
        slot = self._streams.take()
        if slot is None:
            return Err(refusals.too_many_streams(self._limits.streams))
        waiter.grant(slot)
        return Ok(waiter)
