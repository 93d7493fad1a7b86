"""Messages from the other agent, in order and without duplicates."""

from collections import deque
from typing import Final

from anvilthread.outcomes.handover.messages import AnyMessage

#: Messages that are buffered for a reader that is slower than the sender.
WINDOW_MESSAGES: Final = 16


class ReceiveWindow:
    """Restores the order of messages and drops duplicates."""

    __slots__ = ('_delivered', '_expected', '_out_of_order', '_ready')

    def __init__(self) -> None:
        self._expected = 0
        self._delivered = 0
        self._out_of_order: dict[int, AnyMessage] = {}
        self._ready: deque[AnyMessage] = deque()

    @property
    def expected(self) -> int:
        """Sequence number of the next message."""
        return self._expected

    @property
    def credit(self) -> int:
        """First sequence number that does not fit into the window."""
        return self._delivered + WINDOW_MESSAGES

    def accept(self, number: int, message: AnyMessage) -> None:
        """Adds a message unless it is a duplicate or beyond the credit.

        One message beyond the credit is accepted: a cancellation ends the
        exchange, so it is sent without credit and must always be accepted.
        """
        if not self._expected <= number <= self.credit:
            return
        self._out_of_order.setdefault(number, message)
        while self._expected in self._out_of_order:
            self._ready.append(self._out_of_order.pop(self._expected))
            self._expected += 1

    def pop_next(self) -> AnyMessage | None:
        """Returns the next message if it has arrived."""
        if not self._ready:
            return None
        self._delivered += 1
        return self._ready.popleft()
