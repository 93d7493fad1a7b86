"""Exponentially decayed totals over the load reports of one agent."""

import math
from typing import Final

from anvilthread.routing.load_report import LoadReport

_WINDOW_MS: Final = 5000
_COUNTER_MASK: Final = 0xFFFFFFFF
_MIN_SENDS: Final = 8


class ReportStatistics:
    """Arrivals and departures derived from successive reports."""

    __slots__ = (
        'connection_ms',
        'departed',
        'lost',
        'placed',
        'received',
        'sent',
    )

    def __init__(self) -> None:
        #: First packets that the agent received from all balancers.
        self.placed: float = 0
        #: First packets that the agent received from this balancer.
        self.received: float = 0
        #: Connections that ended.
        self.departed: float = 0
        #: Time in ms for which connections were open, summed over connections.
        self.connection_ms: float = 0
        #: First packets that this balancer sent.
        self.sent: float = 0
        #: Sent first packets that no report confirmed in time.
        self.lost: float = 0

    @property
    def confirms_sends(self) -> bool:
        """Whether the agent's counters include this balancer's sends."""
        return self.sent < _MIN_SENDS or self.lost < self.sent / 2

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
        """Adds the interval between two reports of the same incarnation."""
        decay = math.exp(-elapsed_ms / _WINDOW_MS)
        accepted = _counter_increase(earlier.accepted, later.accepted)
        growth = later.connections - earlier.connections
        mean = (later.connections + earlier.connections) / 2
        self.placed = self.placed * decay + _counter_increase(
            earlier.placed, later.placed
        )
        self.received = self.received * decay + _counter_increase(
            earlier.received, later.received
        )
        self.departed = self.departed * decay + max(accepted - growth, 0)
        self.connection_ms = self.connection_ms * decay + mean * elapsed_ms
        self.sent = self.sent * decay + sent
        self.lost = self.lost * decay + lost


def _counter_increase(earlier: int, later: int) -> int:
    return (later - earlier) & _COUNTER_MASK
