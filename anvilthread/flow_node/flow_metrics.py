"""Metrics of a process that balances flows."""

from collections.abc import Callable, Mapping

from anvilthread.flows.flow_counters import FlowCounters
from anvilthread.flows.latency_buckets import BOUNDS_MS, LatencyBuckets
from anvilthread.telemetry.metrics import Counter, Gauge, Metrics

_MS_PER_SECOND = 1000


class FlowMetrics:
    """Renders counters, latencies and gauges in the Prometheus text format.

    Imported on the first scrape: loading the metrics library would delay
    the first packets of a starting process.

    Args:
        counters: Counts of decisions by name.
        latencies: Latencies by the name of the metric.
        gauges: Functions that read a current value, by the name of the metric.
    """

    __slots__ = (
        '_counters',
        '_event_counter',
        '_gauge_readers',
        '_gauges',
        '_latencies',
        '_metrics',
    )

    def __init__(
        self,
        *,
        counters: FlowCounters,
        latencies: Mapping[str, LatencyBuckets],
        gauges: Mapping[str, Callable[[], float]],
    ) -> None:
        self._counters = counters
        self._gauge_readers = dict(gauges)
        self._metrics = Metrics()
        self._event_counter: Counter = self._metrics.counter(
            'anvilthread_flow_events_total',
            'Decisions about flows and packets, by name.',
            labels=('event',),
        )
        self._gauges: dict[str, Gauge] = {
            name: self._metrics.gauge(name, 'See docs/OPERATIONS.md.')
            for name in gauges
        }
        bounds = tuple(bound / _MS_PER_SECOND for bound in BOUNDS_MS)
        self._latencies = [
            (
                buckets,
                self._metrics.histogram(
                    name, 'See docs/OPERATIONS.md.', bounds=bounds
                ).series(),
            )
            for name, buckets in latencies.items()
        ]

    def render(self) -> bytes:
        """Renders every metric as text."""
        for event, count in self._counters.counts.items():
            series = self._event_counter.series(event=event)
            series.add(count - series.sample())
        for name, read in self._gauge_readers.items():
            self._gauges[name].series().set(read())
        for buckets, histogram in self._latencies:
            histogram.replace(buckets.counts, buckets.total_ms / _MS_PER_SECOND)
        return self._metrics.render()
