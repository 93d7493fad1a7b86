"""A simulated flow target for tests in virtual time."""

from collections import Counter, deque
from collections.abc import Callable

import msgspec

from standins.plain_packet_codec import (
    FAILURE_PREFIX,
    REFUSAL_PREFIX,
    PlainPacket,
    decode_packet,
    encode_packet,
)


#: Runs a callback after a delay in ms.
Schedule = Callable[[int, Callable[[], None]], None]

#: Requests that wait for a slot before further ones are answered 503.
MAX_QUEUED = 8


class FlowTarget:
    """Accepts flows, answers requests and bounces packets of unknown flows.

    Args:
        name: Identity of the target.
        service: Service that it runs.
        born_ms: Start time of the target.
        max_flows: Maximum number of open flows.
    """

    def __init__(
        self, *, name: str, service: str, born_ms: int, max_flows: int = 100
    ) -> None:
        self.name = name
        self.service = service
        self.born_ms = born_ms
        self.max_flows = max_flows
        #: Whether it runs; one that is paused keeps its flows and its port.
        self.is_up = True
        #: Whether connections to its port are accepted.
        self.is_listening = True
        self.is_draining = False
        #: Whether packets of unknown flows are reset instead of bounced.
        self.resets_foreign = False
        #: Whether requests are answered; if not, they run for a long time.
        self.answers = True
        #: Whether every request fails while heartbeats continue.
        self.fails = False
        self.sequence = 0
        #: Requests that it processes at a time, and the time of each; with 0
        #: ms, every request is answered at once.
        self.slots = 2
        self.run_ms = 0
        self._running = 0
        self._queued: deque[PlainPacket] = deque()
        #: Remaining time of the slow start that heartbeats report.
        self.cold_ms = 0
        #: Number of requests received, by flow.
        self.flows: dict[bytes, int] = {}
        self._received: Counter[bytes] = Counter()
        #: Keys of opening packets, bodies of requests and keys of bounced
        #: packets, each in order of arrival.
        self.opened: list[bytes] = []
        self.served: list[bytes] = []
        self.bounced: list[bytes] = []
        #: Bodies of requests that were answered 503.
        self.refused: list[bytes] = []

    def crash(self) -> None:
        """Loses every flow, stops answering and closes its port."""
        self.is_up = False
        self.is_listening = False
        self.flows.clear()
        self._queued.clear()
        self._running = 0

    def restart(self, *, born_ms: int) -> None:
        """Starts another incarnation, which holds no flow.

        Args:
            born_ms: Start time that the incarnation reports.
        """
        self.crash()
        self._received.clear()
        self.is_up = True
        self.is_listening = True
        self.is_draining = False
        self.born_ms = born_ms
        self.sequence = 0

    def begin(self, schedule: Schedule, send: Callable[[bytes], None]) -> None:
        """Begins the requests for which there are slots.

        Args:
            schedule: Used for the time of requests.
            send: Sends an answer to the agent.
        """
        while self._queued and self._running < self.slots:
            self._running += 1
            packet = self._queued.popleft()
            born_ms = self.born_ms

            def end(packet: PlainPacket = packet) -> None:
                if not self.is_up or self.born_ms != born_ms:
                    return
                self._running -= 1
                self.served.append(packet.body)
                send(self._answer(packet))
                self.begin(schedule, send)

            schedule(self.run_ms, end)

    def handle_packet(self, content: bytes) -> bytes | None:
        """Handles a packet; returns the immediate reply, if any."""
        if not self.is_up:
            return None
        packet = decode_packet(content)
        if packet.flags == 'S':
            return self._open(packet)
        if packet.key not in self.flows:
            return self._reject_unknown(packet)
        if 'F' in packet.flags or 'R' in packet.flags:
            self.flows.pop(packet.key)
            return encode_packet(PlainPacket(key=packet.key, flags='AF'))
        if not packet.body or packet.sequence <= self._received[packet.key]:
            # A retransmission of a request that is running or was answered.
            return None
        self._received[packet.key] = packet.sequence
        self.flows[packet.key] += 1
        if self.run_ms and self.answers:
            if len(self._queued) >= MAX_QUEUED:
                self.refused.append(packet.body)
                return self._answer(packet, REFUSAL_PREFIX)
            self._queued.append(packet)
            return None
        self.served.append(packet.body)
        return self._answer(packet) if self.answers else None

    def _open(self, packet: PlainPacket) -> bytes:
        self.opened.append(packet.key)
        if packet.key not in self.flows:
            if len(self.flows) >= self.max_flows:
                return self._bounce(packet)
            self.flows[packet.key] = 0
            self._received.pop(packet.key, None)
        return encode_packet(PlainPacket(key=packet.key, flags='SA'))

    def _answer(self, packet: PlainPacket, refusal: bytes = b'') -> bytes:
        prefix = FAILURE_PREFIX if self.fails else f'{self.name}:'.encode()
        return encode_packet(
            PlainPacket(
                key=packet.key,
                flags='A',
                acknowledged=packet.sequence,
                body=(refusal or prefix) + packet.body,
            )
        )

    def _reject_unknown(self, packet: PlainPacket) -> bytes:
        if self.resets_foreign:
            return encode_packet(PlainPacket(key=packet.key, flags='R'))
        return self._bounce(packet)

    def _bounce(self, packet: PlainPacket) -> bytes:
        self.bounced.append(packet.key)
        return encode_packet(msgspec.structs.replace(packet, is_bounced=True))
