"""Bound on the connections of an agent relative to its peers."""

from statistics import median_high
from typing import Final

from anvilthread.address import Address
from anvilthread.clock import Clock
from anvilthread.routing.first_packet_action import FirstPacketAction
from anvilthread.routing.load_report import FULL_WARMTH_PERCENT, LoadReport
from anvilthread.routing.peer_load import PeerLoad

#: Largest accepted ratio of connections to the median level.
DEFAULT_RATIO: Final = 1.03

#: Connections above the median level that are always allowed.
DEFAULT_MARGIN: Final = 2

#: Maximum number of peers whose reports an agent keeps.
DEFAULT_CAPACITY: Final = 16

_REFRESH_INTERVAL_MS: Final = 50


class AdmissionBound:
    """Decides whether an agent accepts a first packet.

    The bound is relative to the median of connections per slot over this agent
    and its warm peers. With a mean, one peer that reports zero or cold peers
    that are still empty would make every agent pass on its packets. With a
    single peer there is no bound, because neither agent can determine which of
    the two reports is wrong.

    Args:
        clock: Clock for the age of the peers' reports.
        slots: Slots of this agent's target.
        ratio: Largest accepted level relative to the median level.
        margin: Connections above the median level that are always allowed.
        capacity: Maximum number of peers to keep.
    """

    __slots__ = (
        '_capacity',
        '_clock',
        '_levels',
        '_levels_updated_ms',
        '_margin',
        '_peers',
        '_ratio',
        '_slots',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        slots: int = 1,
        ratio: float = DEFAULT_RATIO,
        margin: int = DEFAULT_MARGIN,
        capacity: int = DEFAULT_CAPACITY,
    ) -> None:
        self._clock = clock
        self._slots = max(slots, 1)
        self._ratio = ratio
        self._margin = margin
        self._capacity = capacity
        self._peers: dict[Address, PeerLoad] = {}
        self._levels: list[float] = []
        self._levels_updated_ms: int | None = None

    def accept(self, report: LoadReport) -> bool:
        """Stores a load report of another agent of the service.

        Returns:
            False if the report is not newer than the last one of that peer,
            or if the peer is new and the capacity is reached.
        """
        peer = self._peers.get(report.agent)
        if peer is None:
            self._remove_stale()
            if len(self._peers) >= self._capacity:
                return False
            peer = PeerLoad()
            self._peers[report.agent] = peer
        self._levels_updated_ms = None
        return peer.accept(report, self._clock.now_ms())

    def decide(
        self,
        *,
        connections: int,
        hops: int,
        has_alternate: bool,
        draining: bool = False,
        warmth_percent: int = FULL_WARMTH_PERCENT,
    ) -> FirstPacketAction:
        """Returns what to do with one first packet.

        Args:
            connections: Open connections as counted by this agent.
            hops: Number of times the packet has been passed on.
            has_alternate: Whether the packet names an alternate.
            draining: Whether this agent refuses new connections.
            warmth_percent: Progress of the target's slow start.
        """
        can_pass_on = has_alternate and hops == 0
        if draining:
            return (
                FirstPacketAction.PASS_ON
                if can_pass_on
                else FirstPacketAction.DROP
            )
        if can_pass_on and connections >= self.limit(
            connections, warmth_percent
        ):
            return FirstPacketAction.PASS_ON
        return FirstPacketAction.ACCEPT

    def limit(
        self, connections: int, warmth_percent: int = FULL_WARMTH_PERCENT
    ) -> float:
        """Returns the bound; infinite while no warm peer reports.

        Args:
            connections: Open connections as counted by this agent.
            warmth_percent: Progress of the target's slow start.
        """
        levels = self._peer_levels()
        if not levels:
            return float('inf')
        if warmth_percent == FULL_WARMTH_PERCENT:
            levels = [*levels, connections / self._slots]
        reference = median_high(levels) * self._slots
        reference *= warmth_percent / FULL_WARMTH_PERCENT
        return max(reference * self._ratio, reference + self._margin)

    def _peer_levels(self) -> list[float]:
        now_ms = self._clock.now_ms()
        if (
            self._levels_updated_ms is None
            or now_ms - self._levels_updated_ms >= _REFRESH_INTERVAL_MS
        ):
            self._levels_updated_ms = now_ms
            self._levels = [
                peer.level(now_ms)
                for peer in self._peers.values()
                if peer.is_usable(now_ms)
            ]
        return self._levels

    def _remove_stale(self) -> None:
        now_ms = self._clock.now_ms()
        self._peers = {
            agent: peer
            for agent, peer in self._peers.items()
            if not peer.is_stale(now_ms)
        }
