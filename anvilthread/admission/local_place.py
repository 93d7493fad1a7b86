"""A place on this agent's target."""

from typing import ClassVar

from anvilthread.address import Address
from anvilthread.admission import refusals
from anvilthread.admission.admission import Admission
from anvilthread.admission.edge import Edge
from anvilthread.admission.slot import Slot
from anvilthread.clock import Clock
from anvilthread.outcomes import (
    Outcome,
    OutcomeKind,
    Reason,
    Request,
    SingleAnswer,
)


class LocalPlace:
    """Runs one request on this agent's target.

    Args:
        clock: Clock for the deadlines.
        admission: Owner of the slot.
        edge: The target.
        slot: A granted slot.
    """

    __slots__ = ('_admission', '_clock', '_edge', '_slot')

    _agent: ClassVar[Address | None] = None

    def __init__(
        self, *, clock: Clock, admission: Admission, edge: Edge, slot: Slot
    ) -> None:
        self._clock = clock
        self._admission = admission
        self._edge = edge
        self._slot = slot

    @property
    def agent(self) -> Address | None:
        """None, which stands for this agent."""
        return self._agent

    def give_up(self) -> None:
        """Releases the slot."""
        self._slot.release()

    def run(self, request: Request, answer: SingleAnswer) -> Outcome:
        """Runs the request unless its deadline has passed.

        It may have passed while the process was frozen.
        """
        self._admission.wait_for_delay()
        if request.deadline_ms <= self._clock.now_ms():
            self._slot.release()
            return refusals.deadline_passed()
        outcome = self._edge.run(request, answer, self._slot)
        self._update_admission(outcome)
        return outcome

    def _update_admission(self, outcome: Outcome) -> None:
        if outcome.reason is Reason.TARGET_UNAVAILABLE:
            self._admission.pause()
        if outcome.reason is Reason.ANSWER_LOST:
            self._admission.delay_starts()
        if outcome.kind is OutcomeKind.ANSWERED:
            self._admission.confirm()
