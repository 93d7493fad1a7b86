"""A request or an offer that waits for a slot."""

from gevent.event import Event

from anvilthread.admission.slot import Slot
from anvilthread.outcomes import Outcome


class Waiter:
    """One entry of the queue for slots.

    Args:
        deadline_ms: Monotonic time after which the slot is of no use.
        own: Whether a client of this agent waits; otherwise another agent.
        wake: Set when the waiter has got a slot or has been refused.
    """

    __slots__ = ('_deadline_ms', '_own', '_refusal', '_slot', '_wake')

    def __init__(self, *, deadline_ms: int, own: bool, wake: Event) -> None:
        self._deadline_ms = deadline_ms
        self._own = own
        self._wake = wake
        self._slot: Slot | None = None
        self._refusal: Outcome | None = None

    @property
    def deadline_ms(self) -> int:
        """Monotonic time after which the slot is of no use."""
        return self._deadline_ms

    @property
    def own(self) -> bool:
        """Whether a client of this agent waits."""
        return self._own

    @property
    def slot(self) -> Slot | None:
        """The slot, once granted."""
        return self._slot

    @property
    def refusal(self) -> Outcome | None:
        """Why no slot will be granted, once that is decided."""
        return self._refusal

    def grant(self, slot: Slot) -> None:
        """Gives the waiter its slot."""
        self._slot = slot
        self._wake.set()

    def refuse(self, refusal: Outcome) -> None:
        """Tells the waiter that it gets no slot."""
        self._refusal = refusal
        self._wake.set()
