"""Packet counts as metrics."""

from collections import Counter

from anvilthread.routing.packet_counters import PacketCounters
from anvilthread.routing.packet_fate import PacketFate
from anvilthread.telemetry.metrics import Metrics


class PacketMetrics:
    """Adds packet counts by fate to the metrics of a process.

    Args:
        metrics: Registry of the process.
        counters: Packet counts of the data path.
    """

    __slots__ = ('_counter', '_counters', '_exported')

    def __init__(self, *, metrics: Metrics, counters: PacketCounters) -> None:
        self._counters = counters
        self._exported: Counter[PacketFate] = Counter()
        self._counter = metrics.counter(
            'anvilthread_packets_total',
            'Packets by what happened to them.',
            labels=('fate',),
        )
        metrics.before_render(self._export)

    def _export(self) -> None:
        counts = self._counters.by_fate()
        for fate, count in counts.items():
            increase = count - self._exported[fate]
            self._counter.series(fate=fate).add(increase)
        self._exported = Counter(counts)
