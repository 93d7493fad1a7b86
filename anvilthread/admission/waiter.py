"""A request or an offer that waits for a slot."""

from gevent.event import Event

from anvilthread.admission.slot import Slot
from anvilthread.outcomes import Outcome


class Waiter:
    """An entry of the queue for slots.

    Args:
        deadline_ms: Monotonic time after which the request must not start.
        is_local: Whether the request comes from a client of this agent rather
            than from another agent.
        wake: Set when the waiter is granted a slot or refused.
    """

    __slots__ = ('_deadline_ms', '_is_local', '_refusal', '_slot', '_wake')

    def __init__(
        self, *, deadline_ms: int, is_local: bool, wake: Event
    ) -> None:
        self._deadline_ms = deadline_ms
        self._is_local = is_local
        self._wake = wake
        self._slot: Slot | None = None
        self._refusal: Outcome | None = None

    @property
    def deadline_ms(self) -> int:
        """Monotonic time after which the request must not start."""
        return self._deadline_ms

    @property
    def is_local(self) -> bool:
        """Whether the request comes from a client of this agent."""
        return self._is_local

    @property
    def slot(self) -> Slot | None:
        """The granted slot; None before the grant."""
        return self._slot

    @property
    def refusal(self) -> Outcome | None:
        """The refusal; None if the waiter has not been refused."""
        return self._refusal

    def grant(self, slot: Slot) -> None:
        """Grants a slot and wakes the waiter."""
        self._slot = slot
        self._wake.set()

    def refuse(self, refusal: Outcome) -> None:
        """Refuses a slot and wakes the waiter."""
        self._refusal = refusal
        self._wake.set()
