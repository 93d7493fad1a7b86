"""The search for the holder of one flow."""

from collections.abc import Iterable

#: Packets queued until the holder is found; further ones are dropped and
#: retransmitted by their sender. A sender has at most 16 packets in flight.
_MAX_QUEUED_PACKETS = 16


class FlowSearch:
    """A query by an agent to the other agents of its service.

    Args:
        balancer: Host of the balancer that requested the search.
        asked: Hosts of the agents that are asked.
        acknowledged: Last stream position that the client has acknowledged.
        now_ms: Start of the search.
        is_complete: Whether every agent that may hold the flow is asked.
    """

    __slots__ = (
        '_acknowledged',
        '_balancer',
        '_is_complete',
        '_packets',
        '_pending_hosts',
        '_started_ms',
    )

    def __init__(
        self,
        *,
        balancer: str,
        asked: Iterable[str],
        acknowledged: int,
        now_ms: int,
        is_complete: bool,
    ) -> None:
        self._balancer = balancer
        self._pending_hosts = set(asked)
        self._acknowledged = acknowledged
        self._started_ms = now_ms
        self._is_complete = is_complete
        self._packets: list[bytes] = []

    @property
    def balancer(self) -> str:
        """Host of the balancer that requested the search."""
        return self._balancer

    @property
    def acknowledged(self) -> int:
        """Last stream position that the client has acknowledged."""
        return self._acknowledged

    @property
    def started_ms(self) -> int:
        """Start of the search."""
        return self._started_ms

    @property
    def packets(self) -> list[bytes]:
        """Packets queued for the holder, without the first one."""
        return list(self._packets)

    @property
    def is_answered(self) -> bool:
        """Whether every agent asked has answered that it is not the holder."""
        return not self._pending_hosts

    @property
    def proves_absence(self) -> bool:
        """Whether the flow is known to have no holder."""
        return self.is_answered and self._is_complete

    def queue_packet(self, packet: bytes) -> None:
        """Queues a packet for the holder; drops it if the queue is full."""
        if len(self._packets) < _MAX_QUEUED_PACKETS:
            self._packets.append(packet)

    def record_denial(self, host: str) -> None:
        """Records the answer of an agent that is not the holder."""
        self._pending_hosts.discard(host)
