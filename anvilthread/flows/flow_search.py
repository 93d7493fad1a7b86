"""The search for the holder of one flow."""

from collections.abc import Iterable
from typing import Final

from anvilthread.flows.flow_key import FlowKey
from anvilthread.flows.flow_packet import FlowPacket

#: Packets queued until the holder is found; further ones are dropped and
#: retransmitted by their sender.
_MAX_QUEUED_PACKETS: Final = 8

#: Agents that may offer the packet to their targets in the first round.
_FIRST_OFFERS: Final = 4

#: Time before a silent agent is asked again, and its maximum after doublings.
_FIRST_PAUSE_MS: Final = 200
_MAX_PAUSE_MS: Final = 1600


class FlowSearch:
    """What a balancer has asked about a flow, and the answers.

    A denial is final: the holder of an open flow never changes.

    Args:
        packet: The packet that started the search.
        service: Service that the route of the flow has now.
        now_ms: Start of the search.
    """

    __slots__ = (
        '_acknowledged',
        '_ask_again_ms',
        '_denied',
        '_key',
        '_last_packet_ms',
        '_packets',
        '_pauses_ms',
        '_received_packet',
        '_service',
        '_started_ms',
        '_unknown',
        'has_candidates',
        'is_absent',
        'is_asking_candidates',
        'offer_limit',
        'offers',
        'questions',
        'waits_until_ms',
    )

    def __init__(
        self, *, packet: FlowPacket, service: str, now_ms: int
    ) -> None:
        self._key = packet.key
        self._acknowledged = packet.acknowledged
        self._packets = [packet.content]
        self._service = service
        self._started_ms = now_ms
        self._last_packet_ms = now_ms
        self._denied: set[str] = set()
        self._unknown: set[str] = set()
        self._received_packet: set[str] = set()
        self._ask_again_ms: dict[str, int] = {}
        self._pauses_ms: dict[str, int] = {}
        #: Whether candidates may be left that have not been asked.
        self.has_candidates = True
        #: Whether only candidates have been asked so far.
        self.is_asking_candidates = True
        #: Agents that may offer the packet in the next round.
        self.offer_limit = _FIRST_OFFERS
        #: Whether the flow is known to have no holder.
        self.is_absent = False
        #: Number of questions that allowed an offer to the target.
        self.offers = 0
        #: Number of agents asked so far, repetitions included.
        self.questions = 0
        #: Time until which the answers of the last candidates are awaited.
        self.waits_until_ms = now_ms

    @property
    def key(self) -> FlowKey:
        """The flow."""
        return self._key

    @property
    def service(self) -> str:
        """Service that the route of the flow had at the start."""
        return self._service

    @property
    def acknowledged(self) -> int:
        """Last stream position that the client has acknowledged."""
        return self._acknowledged

    @property
    def started_ms(self) -> int:
        """Start of the search."""
        return self._started_ms

    @property
    def last_packet_ms(self) -> int:
        """Time of the last packet of the client."""
        return self._last_packet_ms

    @property
    def first_packet(self) -> bytes:
        """The packet that is sent with a question."""
        return self._packets[0]

    @property
    def is_unanswered(self) -> bool:
        """Whether an agent was asked and has not answered."""
        return bool(self._ask_again_ms)

    def queue_packet(self, packet: FlowPacket, now_ms: int) -> None:
        """Queues a packet for the holder; drops it if the queue is full."""
        self._last_packet_ms = now_ms
        self._acknowledged = packet.acknowledged
        if len(self._packets) < _MAX_QUEUED_PACKETS:
            self._packets.append(packet.content)

    def packets_for(self, host: str) -> list[bytes]:
        """Returns the queued packets that the holder has not received."""
        has_first = host in self._received_packet
        return self._packets[1:] if has_first else list(self._packets)

    def pending(self, hosts: Iterable[str]) -> list[str]:
        """Returns the hosts that have not denied the flow."""
        return [host for host in hosts if host not in self._denied]

    def was_asked(self, host: str) -> bool:
        """Whether an agent was asked before."""
        return host in self._pauses_ms or host in self._denied

    def is_unknown_to(self, host: str) -> bool:
        """Whether an agent has answered that it does not know."""
        return host in self._unknown

    def is_due(self, host: str, now_ms: int) -> bool:
        """Whether a host may be asked, for the first time or again."""
        return self._ask_again_ms.get(host, 0) <= now_ms

    def record_question(
        self, host: str, now_ms: int, *, with_packet: bool
    ) -> None:
        """Records that a host is asked, and doubles the pause until the next.

        Args:
            host: The agent.
            now_ms: Time of the question.
            with_packet: Whether the first packet is part of the question.
        """
        pause_ms = self._pauses_ms.get(host, _FIRST_PAUSE_MS)
        self._pauses_ms[host] = min(2 * pause_ms, _MAX_PAUSE_MS)
        self._ask_again_ms[host] = now_ms + pause_ms
        self.questions += 1
        if with_packet:
            self._received_packet.add(host)

    def record_denial(self, host: str) -> None:
        """Records the answer of an agent that is not the holder."""
        self._denied.add(host)
        self._unknown.discard(host)
        self._ask_again_ms.pop(host, None)

    def record_unknown(self, host: str) -> None:
        """Records the answer of an agent that does not know.

        It has not delivered the packet that was sent with the question.
        """
        self._unknown.add(host)
        self._received_packet.discard(host)
        self._ask_again_ms.pop(host, None)
        self._pauses_ms[host] = _FIRST_PAUSE_MS

    def forget_pause(self, host: str) -> None:
        """Lets an agent that has not answered be asked again at once."""
        if host in self._ask_again_ms:
            self._ask_again_ms[host] = 0
