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
    """Grants the slots of one target in order of deadlines.

    Args:
        clock: Clock of the deadlines.
        limits: Limits of the target.
    """

    def __init__(self, *, clock: Clock, limits: Limits) -> None:
        self._clock = clock
        self._limits = limits
        self._state = TargetState()
        self._scheduler = Scheduler(
            clock=clock, limits=limits, state=self._state
        )
        # Streams do not wait, so a free stream wakes nobody.
        self._streams = SlotPool(slots=limits.streams)
        # Counts requests; it has no limit.
        self._requests = SlotPool(slots=0)
        self._stopped = Event()

    @property
    def limits(self) -> Limits:
        """Limits of the target."""
        return self._limits

    @property
    def draining(self) -> bool:
        """Whether no new request starts on the target."""
        return self._state.draining

    @property
    def stopped(self) -> Event:
        """Set when a stop interrupts what still runs."""
        return self._stopped

    @property
    def estimator(self) -> WaitEstimator:
        """Run times and rate of starts."""
        return self._scheduler.estimator

    @property
    def load(self) -> Load:
        """Load figures of this moment."""
        pool = self._scheduler.pool
        return Load(
            busy=pool.busy,
            waiting=self._scheduler.waiting,
            slots=pool.slots,
            streams=self._streams.busy,
        )

    def use_limits(self, limits: Limits) -> None:
        """Replaces the limits of queue, retries and times.

        Waiting requests stay when the queue gets shorter. The numbers of
        slots and streams do not change.
        """
        self._limits = limits
        self._scheduler.use_limits(limits)

    def enter(
        self, *, deadline_ms: int, stream: bool, own: bool, wake: Event
    ) -> Result[Waiter, Outcome]:
        """Asks for a slot, without blocking.

        Args:
            deadline_ms: Monotonic time after which a slot is of no use.
            stream: Whether the request is a stream.
            own: Whether a client of this agent asks.
            wake: Set when the waiter has got a slot or has been refused.

        Returns:
            A waiter, which has a slot already if one is free, or a refusal.
        """
        now_ms = self._clock.now_ms()
        if deadline_ms <= now_ms:
            return Err(refusals.deadline_passed())
        refusal = self._state.refusal(now_ms)
        if refusal is not None:
            return Err(refusal)
        waiter = Waiter(deadline_ms=deadline_ms, own=own, wake=wake)
        if stream and not self._limits.streams_take_slots:
            return self._enter_stream(waiter)
        return self._scheduler.enter(waiter)

    def leave(self, waiter: Waiter) -> None:
        """Gives up a waiter and the slot that it may have got."""
        self._scheduler.leave(waiter)

    def pause(self) -> None:
        """Grants no slot for a while, after the target refused connections.

        Afterwards one request at a time runs until one has been answered.
        """
        pause_ms = self._limits.pause_ms
        self._state.pause(self._clock.now_ms() + pause_ms)
        self._scheduler.refuse(
            lambda waiter: not waiter.own, refusals.target_unavailable()
        )
        gevent.spawn(self._scheduler.grant_after, pause_ms)

    def doubt(self) -> None:
        """Holds granted slots back, after the target broke a connection.

        A target that dies may still accept a connection before its sockets
        are gone, and whether a request on it ran would be unknown.
        """
        self._state.doubt(self._clock.now_ms() + self._limits.doubt_ms)

    def await_certainty(self) -> None:
        """Waits until a target that broke a connection is up or gone."""
        left_ms = self._state.doubted_until_ms - self._clock.now_ms()
        if left_ms > 0:
            self._clock.sleep_ms(left_ms)

    def confirm(self) -> None:
        """Notes that the target has answered a request."""
        if not self._state.proven:
            self._state.confirm()
            self._scheduler.grant()

    def drain(self) -> None:
        """Starts nothing more on the target; what runs continues."""
        self._state.drain()
        self._scheduler.refuse(lambda _: True, refusals.draining())

    def track(self) -> Slot:
        """Makes a stop wait for a request, here or at another agent.

        Returns:
            Released when the request has its outcome.
        """
        return self._requests.take_any()

    def stop(self) -> int:
        """Drains, waits for all requests and interrupts the rest.

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
