"""Decayed totals over the load reports of one agent."""

import math
from typing import Final

from anvilthread.routing.load_report import LoadReport

_WINDOW_MS: Final = 5000
_COUNTER_MASK: Final = 0xFFFFFFFF
_FEWEST_SENDS: Final = 8


class ReportStatistics:
    """What successive reports say about arrivals and departures."""

    __slots__ = (
        'connection_ms',
        'departed',
        'lost',
        'placed',
        'received',
        'sent',
    )

    def __init__(self) -> None:
        #: First packets that the agent got from all balancers.
        self.placed: float = 0
        #: First packets that the agent got from this balancer.
        self.received: float = 0
        #: Connections that ended.
        self.departed: float = 0
        #: Time over which connections were open, summed over connections.
        self.connection_ms: float = 0
        #: First packets that this balancer sent.
        self.sent: float = 0
        #: Of these, the ones that no report confirmed in time.
        self.lost: float = 0

    @property
    def confirms_sends(self) -> bool:
        """Whether the agent's counters follow this balancer's sends."""
        return self.sent < _FEWEST_SENDS or self.lost < self.sent / 2

    @property
    def departure_rate(self) -> float | None:
        """Ended connections per open connection and millisecond."""
        if not self.connection_ms:
            return None
        return self.departed / self.connection_ms

    def add(
        self,
        earlier: LoadReport,
        later: LoadReport,
        *,
        elapsed_ms: int,
        sent: int,
        lost: int,
    ) -> None:
        """Adds the interval between two reports of one incarnation."""
        keep = math.exp(-elapsed_ms / _WINDOW_MS)
        accepted = _advance(earlier.accepted, later.accepted)
        growth = later.connections - earlier.connections
        mean = (later.connections + earlier.connections) / 2
        self.placed = self.placed * keep + _advance(
            earlier.placed, later.placed
        )
        self.received = self.received * keep + _advance(
            earlier.received, later.received
        )
        self.departed = self.departed * keep + max(accepted - growth, 0)
        self.connection_ms = self.connection_ms * keep + mean * elapsed_ms
        self.sent = self.sent * keep + sent
        self.lost = self.lost * keep + lost


def _advance(earlier: int, later: int) -> int:
    return (later - earlier) & _COUNTER_MASK
