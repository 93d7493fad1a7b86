"""The opening packets that wait for the target of an agent."""

from typing import Final

from anvilthread.flows.agent_condition import AgentCondition
from anvilthread.flows.opening_delivery import OpeningDelivery
from anvilthread.flows.opening_gate import OpeningGate
from anvilthread.flows.opening_queue import OpeningQueue
from anvilthread.flows.opening_refusals import OpeningRefusals
from anvilthread.flows.queued_opening import QueuedOpening

#: Packets above its limit that a silent target gets. Two that stay unanswered
#: for 100 ms eject it.
_MAX_TRIALS: Final = 2


class WaitingOpenings:
    """Delivers waiting packets, or returns them to their balancers.

    Args:
        condition: Acceptance of new flows.
        queue: Packets that wait.
        gate: Tells whether the target has capacity.
        delivery: Hands packets to the target.
        refusals: Returns packets to their balancers.
    """

    __slots__ = (
        '_condition',
        '_delivery',
        '_gate',
        '_queue',
        '_refusals',
        '_trials_left',
        '_was_failing',
    )

    def __init__(
        self,
        *,
        condition: AgentCondition,
        queue: OpeningQueue,
        gate: OpeningGate,
        delivery: OpeningDelivery,
        refusals: OpeningRefusals,
    ) -> None:
        self._condition = condition
        self._queue = queue
        self._gate = gate
        self._delivery = delivery
        self._refusals = refusals
        self._was_failing = False
        #: Packets that a silent target may get above its limit.
        self._trials_left = _MAX_TRIALS

    def deliver_waiting(self) -> None:
        """Delivers waiting packets while the target has capacity."""
        while len(self._queue) and self._gate.has_work_room:
            self._deliver_next()

    def return_all(self, reason: str) -> None:
        """Returns every waiting packet to its balancer.

        Args:
            reason: Why this agent cannot serve them.
        """
        for opening in self._queue.take_all():
            self.return_one(opening, reason)

    def tick(self) -> None:
        """Delivers or returns waiting packets; called every 20 ms."""
        is_failing = self._condition.health.is_failing
        is_ejected = is_failing and not self._was_failing
        self._was_failing = is_failing
        if not len(self._queue):
            self._trials_left = _MAX_TRIALS
            return
        reason = self._condition.refusal
        if not reason and is_ejected:
            reason = 'target_failing'
        if reason:
            self.return_all(reason)
            return
        self.deliver_waiting()
        self._try_silent_target()
        for opening in self._queue.take_hopeless(
            run_ms=self._gate.run_ms,
            answer_ms=self._gate.answer_ms,
            above=self._gate.requests_above_slots,
            slots=self._gate.slots,
        ):
            self.return_one(opening, 'no_room')

    def return_one(self, opening: QueuedOpening, reason: str) -> None:
        """Returns a packet, which no longer waits, to its balancer."""
        self._refusals.send(
            opening.balancer,
            opening.key,
            opening.content,
            reason,
            self._gate.expected_wait_ms(opening.priority),
        )

    def _try_silent_target(self) -> None:
        """Delivers packets to a silent target although its limit is used up.

        If they stay unanswered, the target is ejected.
        """
        if not self._gate.is_target_silent:
            self._trials_left = _MAX_TRIALS
        elif (
            self._trials_left and self._gate.requests_above_limit < _MAX_TRIALS
        ):
            self._trials_left -= 1
            self._deliver_next()

    def _deliver_next(self) -> None:
        """Delivers the first waiting packet, if any."""
        opening = self._queue.take(self._gate.answer_ms)
        if opening is None:
            return
        if self._gate.has_warmup_room:
            self._delivery.deliver_queued(opening, len(self._queue))
        else:
            self.return_one(opening, 'warming_up')
