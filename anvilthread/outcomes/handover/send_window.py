"""Messages that the other agent has not acknowledged."""

from typing import Final

from anvilthread.outcomes.handover.messages import AnyMessage

_FIRST_RETRY_MS: Final = 30
_LONGEST_RETRY_MS: Final = 240


class SendWindow:
    """Numbers messages, and repeats them until they are acknowledged.

    Args:
        credit: Messages that may be sent before the other agent states its
            own credit.
    """

    __slots__ = ('_acked', '_credit', '_next', '_pending', '_retry_ms', '_sent')

    def __init__(self, *, credit: int) -> None:
        self._credit = credit
        self._next = 0
        self._acked = 0
        self._retry_ms = _FIRST_RETRY_MS
        self._sent = 0
        self._pending: dict[int, AnyMessage] = {}

    @property
    def open(self) -> bool:
        """Whether the other agent would take one more message."""
        return self._next < self._credit

    @property
    def empty(self) -> bool:
        """Whether every message has been acknowledged."""
        return not self._pending

    @property
    def due_ms(self) -> int | None:
        """Time of the next repetition; None when nothing is pending."""
        return self._sent + self._retry_ms if self._pending else None

    def add(self, message: AnyMessage, now_ms: int) -> int:
        """Numbers a message that is about to be sent."""
        number = self._next
        self._next += 1
        if not self._pending:
            self._sent = now_ms
        self._pending[number] = message
        return number

    def acknowledge(self, ack: int, credit: int, now_ms: int) -> None:
        """Notes what the other agent has and would take."""
        self._credit = max(self._credit, credit)
        if ack <= self._acked:
            return
        for number in range(self._acked, ack):
            self._pending.pop(number, None)
        self._acked = ack
        self._retry_ms = _FIRST_RETRY_MS
        self._sent = now_ms

    def repeat(self, now_ms: int) -> list[tuple[int, AnyMessage]]:
        """Returns what has to be sent again, and waits longer next time."""
        self._sent = now_ms
        self._retry_ms = min(self._retry_ms * 2, _LONGEST_RETRY_MS)
        return list(self._pending.items())
