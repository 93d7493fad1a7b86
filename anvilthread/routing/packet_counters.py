"""Packet counts by result."""

from collections import Counter

from anvilthread.routing.packet_fate import PacketFate


class PacketCounters:
    """Packet counts of one process."""

    __slots__ = ('_counts',)

    def __init__(self) -> None:
        self._counts: Counter[PacketFate] = Counter()

    def add(self, fate: PacketFate) -> None:
        """Counts one packet."""
        self._counts[fate] += 1

    def count(self, fate: PacketFate) -> int:
        """Returns the number of packets with this result."""
        return self._counts[fate]

    def by_fate(self) -> dict[PacketFate, int]:
        """Returns the counts of all results that have occurred."""
        return dict(self._counts)
