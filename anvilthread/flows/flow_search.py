"""The search for the holder of one flow."""

from collections.abc import Iterable

#: Packets kept until the holder is found; further ones are retransmitted by
#: their sender. An end has at most 16 packets in flight.
_MAX_PACKETS = 16


class FlowSearch:
    """An agent's question to the other agents of its service.

    Args:
        balancer: Host of the balancer that looks for the holder.
        asked: Hosts of the agents asked.
        acknowledged: Last position that the client has acknowledged.
        now_ms: Start of the search.
        is_complete: Whether the agents asked are all that may hold the flow.
    """

    __slots__ = (
        '_acknowledged',
        '_balancer',
        '_is_complete',
        '_packets',
        '_started_ms',
        '_waiting',
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
        self._waiting = set(asked)
        self._acknowledged = acknowledged
        self._started_ms = now_ms
        self._is_complete = is_complete
        self._packets: list[bytes] = []

    @property
    def balancer(self) -> str:
        """Host of the balancer that looks for the holder."""
        return self._balancer

    @property
    def acknowledged(self) -> int:
        """Last position that the client has acknowledged."""
        return self._acknowledged

    @property
    def started_ms(self) -> int:
        """Start of the search."""
        return self._started_ms

    @property
    def packets(self) -> list[bytes]:
        """Packets that wait for the holder, without the first one."""
        return list(self._packets)

    @property
    def is_answered(self) -> bool:
        """Whether every agent asked has said that it is not the holder."""
        return not self._waiting

    @property
    def proves_absence(self) -> bool:
        """Whether the flow is known to have no holder."""
        return self.is_answered and self._is_complete

    def keep(self, packet: bytes) -> None:
        """Keeps a packet for the holder."""
        if len(self._packets) < _MAX_PACKETS:
            self._packets.append(packet)

    def deny(self, host: str) -> None:
        """Notes that an agent is not the holder."""
        self._waiting.discard(host)
