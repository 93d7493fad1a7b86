"""Sequence numbers, flow control and retransmission of one handover."""

from collections.abc import Callable
from typing import Final

import msgspec

from anvilthread.clock import Clock
from anvilthread.outcomes.handover.messages import AnyMessage
from anvilthread.outcomes.handover.packet import Packet
from anvilthread.outcomes.handover.receive_window import (
    WINDOW_MESSAGES,
    ReceiveWindow,
)
from anvilthread.outcomes.handover.send_window import SendWindow

#: Time without a packet after which the other agent counts as lost.
PEER_TIMEOUT_MS: Final = 2000

_KEEPALIVE_INTERVAL_MS: Final = 500

#: Longest delay of an acknowledgement, so that it can be sent with a message.
#: It has to be below the initial retransmission timeout of the other agent.
_ACK_DELAY_MS: Final = 8


class Link:
    """Sends and receives messages without blocking.

    Args:
        clock: Clock of the timers.
        template: Packet without content that identifies the handover.
        transmit: Sends a packet to the other agent.
    """

    __slots__ = (
        '_ack_due_ms',
        '_advertised_credit',
        '_clock',
        '_incoming',
        '_last_sent_ms',
        '_outgoing',
        '_peer_timeout_start_ms',
        '_template',
        '_transmit',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        template: Packet,
        transmit: Callable[[Packet], None],
    ) -> None:
        self._clock = clock
        self._template = template
        self._transmit = transmit
        self._outgoing = SendWindow(credit=WINDOW_MESSAGES)
        self._incoming = ReceiveWindow()
        self._peer_timeout_start_ms = clock.now_ms()
        self._last_sent_ms = clock.now_ms()
        # Time at which a delayed acknowledgement has to be sent.
        self._ack_due_ms: int | None = None
        self._advertised_credit = WINDOW_MESSAGES

    @property
    def token(self) -> int:
        """Token of the handover; 0 while it is unknown."""
        return self._template.token

    @property
    def outgoing(self) -> SendWindow:
        """Messages that were sent."""
        return self._outgoing

    @property
    def all_acknowledged(self) -> bool:
        """Whether no acknowledgement is outstanding in either direction."""
        return self._outgoing.empty and self._ack_due_ms is None

    @property
    def timed_out(self) -> bool:
        """Whether no packet of the other agent arrived within the timeout."""
        return (
            self._clock.now_ms() - self._peer_timeout_start_ms
            >= PEER_TIMEOUT_MS
        )

    @property
    def timer_delay_ms(self) -> int:
        """Time until the next timer that :meth:`maintain` handles."""
        timers_ms = (
            self._peer_timeout_start_ms + PEER_TIMEOUT_MS,
            self._last_sent_ms + _KEEPALIVE_INTERVAL_MS,
            self._outgoing.due_ms,
            self._ack_due_ms,
        )
        first_ms = min(due_ms for due_ms in timers_ms if due_ms is not None)
        return max(first_ms - self._clock.now_ms(), 1)

    def send(self, message: AnyMessage) -> None:
        """Sends a message."""
        number = self._outgoing.add(message, self._clock.now_ms())
        self._send_packet(seq=number, message=message)

    def receive(self) -> AnyMessage | None:
        """Returns the next message if it has arrived."""
        message = self._incoming.pop_next()
        unadvertised = self._incoming.credit - self._advertised_credit
        if message is not None and unadvertised >= WINDOW_MESSAGES // 2:
            self._send_packet()
        return message

    def accept(self, packet: Packet) -> None:
        """Handles a packet of the other agent."""
        if not self.token:
            self._template = msgspec.structs.replace(
                self._template, token=packet.token
            )
        self.reset_peer_timeout()
        self._outgoing.acknowledge(
            packet.ack, packet.credit, self._clock.now_ms()
        )
        if packet.message is not None and packet.seq is not None:
            self._incoming.accept(packet.seq, packet.message)
            if self._ack_due_ms is None:
                self._ack_due_ms = self._clock.now_ms() + _ACK_DELAY_MS

    def reset_peer_timeout(self) -> None:
        """Restarts the timeout after which the other agent is lost."""
        self._peer_timeout_start_ms = self._clock.now_ms()

    def maintain(self) -> None:
        """Sends due retransmissions, acknowledgements and keepalives."""
        now_ms = self._clock.now_ms()
        due_ms = self._outgoing.due_ms
        if due_ms is not None and due_ms <= now_ms:
            for number, message in self._outgoing.retransmit(now_ms):
                self._send_packet(seq=number, message=message)
        if self._ack_due_ms is not None and self._ack_due_ms <= now_ms:
            self._send_packet()
        # No keepalive is needed before the token is known.
        if self.token and now_ms - self._last_sent_ms >= _KEEPALIVE_INTERVAL_MS:
            self._send_packet()

    def _send_packet(
        self, seq: int | None = None, message: AnyMessage | None = None
    ) -> None:
        self._last_sent_ms = self._clock.now_ms()
        self._advertised_credit = self._incoming.credit
        self._ack_due_ms = None
        packet = msgspec.structs.replace(
            self._template,
            ack=self._incoming.expected,
            credit=self._advertised_credit,
            seq=seq,
            message=message,
        )
        self._transmit(packet)
