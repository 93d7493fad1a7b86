"""Messages from the other agent, in order and once each."""

from collections import deque
from typing import Final

from anvilthread.outcomes.handover.messages import AnyMessage

#: Messages that are kept for a reader that is slower than the sender.
WINDOW: Final = 16


class ReceiveWindow:
    """Restores the order of messages and drops copies."""

    __slots__ = ('_early', '_expected', '_ready', '_taken')

    def __init__(self) -> None:
        self._expected = 0
        self._taken = 0
        self._early: dict[int, AnyMessage] = {}
        self._ready: deque[AnyMessage] = deque()

    @property
    def expected(self) -> int:
        """Sequence number of the next message."""
        return self._expected

    @property
    def credit(self) -> int:
        """First sequence number that there is no room for."""
        return self._taken + WINDOW

    def accept(self, number: int, message: AnyMessage) -> None:
        """Adds a message unless it is a copy or beyond the credit.

        A cancellation is always taken, because it ends the exchange.
        """
        if not self._expected <= number <= self.credit:
            return
        self._early.setdefault(number, message)
        while self._expected in self._early:
            self._ready.append(self._early.pop(self._expected))
            self._expected += 1

    def take(self) -> AnyMessage | None:
        """Returns the next message if it has arrived."""
        if not self._ready:
            return None
        self._taken += 1
        return self._ready.popleft()
