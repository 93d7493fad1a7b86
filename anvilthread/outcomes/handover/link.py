"""Sequence numbers, credit and repetition of one handover."""

from collections.abc import Callable
from typing import Final

import msgspec

from anvilthread.clock import Clock
from anvilthread.outcomes.handover.messages import AnyMessage
from anvilthread.outcomes.handover.packet import Packet
from anvilthread.outcomes.handover.receive_window import (
    WINDOW,
    ReceiveWindow,
)
from anvilthread.outcomes.handover.send_window import SendWindow

#: Time without a packet after which the other agent counts as lost.
SILENCE_MS: Final = 2000

_KEEPALIVE_MS: Final = 500

#: Time for which an acknowledgement waits for a message to travel with. It
#: has to stay below the first repetition of the other agent.
_ACK_DELAY_MS: Final = 8


class Link:
    """Sends and receives messages without ever blocking.

    Args:
        clock: Clock of repetitions.
        identity: Packet without content that names the handover.
        transmit: Sends a packet to the other agent.
    """

    __slots__ = (
        '_clock',
        '_heard_ms',
        '_identity',
        '_incoming',
        '_outgoing',
        '_owed_ms',
        '_sent_ms',
        '_told',
        '_transmit',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        identity: Packet,
        transmit: Callable[[Packet], None],
    ) -> None:
        self._clock = clock
        self._identity = identity
        self._transmit = transmit
        self._outgoing = SendWindow(credit=WINDOW)
        self._incoming = ReceiveWindow()
        self._heard_ms = clock.now_ms()
        self._sent_ms = clock.now_ms()
        # When the latest acknowledgement has to be sent.
        self._owed_ms: int | None = None
        # Credit that the other agent has been told.
        self._told = WINDOW

    @property
    def token(self) -> int:
        """Token of the handover; 0 while it is unknown."""
        return self._identity.token

    @property
    def outgoing(self) -> SendWindow:
        """What has been sent."""
        return self._outgoing

    @property
    def settled(self) -> bool:
        """Whether neither agent waits for an acknowledgement."""
        return self._outgoing.empty and self._owed_ms is None

    @property
    def silent(self) -> bool:
        """Whether the other agent has not been heard for too long."""
        return self._clock.now_ms() - self._heard_ms >= SILENCE_MS

    @property
    def pause_ms(self) -> int:
        """Time until :meth:`maintain` has something to do."""
        dues = (
            self._heard_ms + SILENCE_MS,
            self._sent_ms + _KEEPALIVE_MS,
            self._outgoing.due_ms,
            self._owed_ms,
        )
        first_ms = min(due_ms for due_ms in dues if due_ms is not None)
        return max(first_ms - self._clock.now_ms(), 1)

    def send(self, message: AnyMessage) -> None:
        """Sends a message."""
        number = self._outgoing.add(message, self._clock.now_ms())
        self._packet(seq=number, message=message)

    def take(self) -> AnyMessage | None:
        """Returns the next message if it has arrived."""
        message = self._incoming.take()
        untold = self._incoming.credit - self._told
        if message is not None and untold >= WINDOW // 2:
            self._packet()
        return message

    def accept(self, packet: Packet) -> None:
        """Handles a packet of the other agent."""
        if not self.token:
            self._identity = msgspec.structs.replace(
                self._identity, token=packet.token
            )
        self.excuse()
        self._outgoing.acknowledge(
            packet.ack, packet.credit, self._clock.now_ms()
        )
        if packet.message is not None and packet.seq is not None:
            self._incoming.accept(packet.seq, packet.message)
            if self._owed_ms is None:
                self._owed_ms = self._clock.now_ms() + _ACK_DELAY_MS

    def excuse(self) -> None:
        """Starts the time of silence again."""
        self._heard_ms = self._clock.now_ms()

    def maintain(self) -> None:
        """Repeats what was not acknowledged and keeps the link alive."""
        now_ms = self._clock.now_ms()
        due_ms = self._outgoing.due_ms
        if due_ms is not None and due_ms <= now_ms:
            for number, message in self._outgoing.repeat(now_ms):
                self._packet(seq=number, message=message)
        if self._owed_ms is not None and self._owed_ms <= now_ms:
            self._packet()
        # Before the token is known there is nothing to keep alive.
        if self.token and now_ms - self._sent_ms >= _KEEPALIVE_MS:
            self._packet()

    def _packet(
        self, seq: int | None = None, message: AnyMessage | None = None
    ) -> None:
        self._sent_ms = self._clock.now_ms()
        self._told = self._incoming.credit
        self._owed_ms = None
        packet = msgspec.structs.replace(
            self._identity,
            ack=self._incoming.expected,
            credit=self._told,
            seq=seq,
            message=message,
        )
        self._transmit(packet)
