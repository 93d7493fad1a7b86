"""Messages that the other agent has not acknowledged."""

from typing import Final

from anvilthread.outcomes.handover.messages import AnyMessage

_INITIAL_RETRANSMISSION_TIMEOUT_MS: Final = 30
_MAX_RETRANSMISSION_TIMEOUT_MS: Final = 240


class SendWindow:
    """Numbers messages and retransmits them until they are acknowledged.

    Args:
        credit: Messages that may be sent before the other agent advertises
            its credit.
    """

    __slots__ = (
        '_acked',
        '_credit',
        '_last_sent_ms',
        '_next_number',
        '_pending',
        '_retransmission_timeout_ms',
    )

    def __init__(self, *, credit: int) -> None:
        self._credit = credit
        self._next_number = 0
        self._acked = 0
        self._retransmission_timeout_ms = _INITIAL_RETRANSMISSION_TIMEOUT_MS
        self._last_sent_ms = 0
        self._pending: dict[int, AnyMessage] = {}

    @property
    def has_credit(self) -> bool:
        """Whether the other agent accepts one more message."""
        return self._next_number < self._credit

    @property
    def empty(self) -> bool:
        """Whether every message has been acknowledged."""
        return not self._pending

    @property
    def due_ms(self) -> int | None:
        """Time of the next retransmission; None when nothing is pending."""
        return (
            self._last_sent_ms + self._retransmission_timeout_ms
            if self._pending
            else None
        )

    def add(self, message: AnyMessage, now_ms: int) -> int:
        """Numbers a message that is about to be sent."""
        number = self._next_number
        self._next_number += 1
        if not self._pending:
            self._last_sent_ms = now_ms
        self._pending[number] = message
        return number

    def acknowledge(self, ack: int, credit: int, now_ms: int) -> None:
        """Applies an acknowledgement and credit of the other agent."""
        self._credit = max(self._credit, credit)
        if ack <= self._acked:
            return
        for number in range(self._acked, ack):
            self._pending.pop(number, None)
        self._acked = ack
        self._retransmission_timeout_ms = _INITIAL_RETRANSMISSION_TIMEOUT_MS
        self._last_sent_ms = now_ms

    def retransmit(self, now_ms: int) -> list[tuple[int, AnyMessage]]:
        """Returns the pending messages and doubles the timeout up to a limit."""
        self._last_sent_ms = now_ms
        self._retransmission_timeout_ms = min(
            self._retransmission_timeout_ms * 2, _MAX_RETRANSMISSION_TIMEOUT_MS
        )
        return list(self._pending.items())
