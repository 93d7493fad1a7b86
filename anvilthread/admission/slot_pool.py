"""A fixed number of slots."""

from collections.abc import Callable

from gevent.event import Event

from anvilthread.admission.slot import Slot


class SlotPool:
    """Counts the slots in use and limits their number.

    Args:
        slots: Number of slots.
        on_release: Called after a slot has been released.
    """

    __slots__ = ('_busy', '_idle', '_on_release', '_slots')

    def __init__(
        self, *, slots: int, on_release: Callable[[], None] | None = None
    ) -> None:
        self._slots = slots
        self._busy = 0
        self._on_release = on_release
        self._idle = Event()
        self._idle.set()

    @property
    def slots(self) -> int:
        """Number of slots."""
        return self._slots

    @property
    def busy(self) -> int:
        """Number of slots in use."""
        return self._busy

    @property
    def idle(self) -> Event:
        """Set while no slot is in use."""
        return self._idle

    def take(self, limit: int | None = None) -> Slot | None:
        """Takes a slot if one is free.

        Args:
            limit: Maximum number of slots in use afterwards, if lower than the
                number of slots in the pool.

        Returns:
            The slot, or None if the limit is reached.
        """
        allowed = self._slots if limit is None else min(limit, self._slots)
        if self._busy >= allowed:
            return None
        return self.take_any()

    def take_any(self) -> Slot:
        """Takes a slot regardless of the limit, only to count it."""
        self._busy += 1
        self._idle.clear()
        return Slot(on_release=self._release)

    def _release(self) -> None:
        self._busy -= 1
        if self._busy == 0:
            self._idle.set()
        if self._on_release is not None:
            self._on_release()
