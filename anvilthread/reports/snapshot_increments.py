"""Indicator counts from saved scrapes."""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from itertools import pairwise
from math import inf
from typing import Final, TypeAlias

from anvilthread.reports.connection_events import CloseReason
from anvilthread.reports.increment import Increment
from anvilthread.reports.indicator import Indicator
from anvilthread.reports.metrics_text import Sample
from anvilthread.reports.objectives import ServiceObjectives
from anvilthread.reports.request_events import RecordedOutcome
from anvilthread.reports.snapshot import Snapshot

#: Counter by service and reason, one of ``CloseReason``.
CONNECTIONS_CLOSED: Final = 'anvilthread_connections_closed_total'
#: Counter by service and outcome, one of ``RecordedOutcome``.
REQUESTS: Final = 'anvilthread_requests_total'
#: Histogram of answered requests by service.
LATENCY: Final = 'anvilthread_request_latency_seconds'

_MS_PER_SECOND: Final = 1000

_Key: TypeAlias = tuple[str, Indicator]
_Counts: TypeAlias = dict[_Key, tuple[float, float]]


def snapshot_increments(
    snapshots: Iterable[Snapshot], objectives: ServiceObjectives
) -> Iterator[Increment]:
    """Yields the increments between consecutive scrapes of each node.

    The first scrape of a node is the baseline and yields no increment.

    Args:
        snapshots: Scrapes in order of time.
        objectives: Gives the latency limit of each service.
    """
    by_node = defaultdict[str, list[Snapshot]](list)
    for snapshot in snapshots:
        by_node[snapshot.node].append(snapshot)
    for scrapes in by_node.values():
        for before, after in pairwise(scrapes):
            yield from _increments_between(before, after, objectives)


def _increments_between(
    before: Snapshot, after: Snapshot, objectives: ServiceObjectives
) -> Iterator[Increment]:
    earlier = _counts(before, objectives)
    for key, (total, bad) in _counts(after, objectives).items():
        total_before, bad_before = earlier.get(key, (0, 0))
        # A counter that decreased was reset by a restart of the process.
        if total < total_before or bad < bad_before:
            total_before, bad_before = 0, 0
        yield Increment(
            ts_ms=after.ts_ms,
            service=key[0],
            indicator=key[1],
            total=total - total_before,
            bad=bad - bad_before,
        )


def _counts(snapshot: Snapshot, objectives: ServiceObjectives) -> _Counts:
    counts: _Counts = {}
    for sample in snapshot.samples:
        service = sample.labels.get('service', '')
        if sample.name == CONNECTIONS_CLOSED:
            _add_count(counts, (service, Indicator.CONNECTIONS_KEPT), sample)
        elif sample.name == REQUESTS:
            _add_count(counts, (service, Indicator.REQUESTS_ANSWERED), sample)
    for service, buckets in _buckets(snapshot).items():
        total = buckets.get(inf, 0)
        good = _count_within(buckets, objectives.of(service).latency_ms)
        counts[service, Indicator.LATENCY] = (total, total - good)
    return counts


def _add_count(counts: _Counts, key: _Key, sample: Sample) -> None:
    total, bad = counts.get(key, (0, 0))
    value = sample.value
    counts[key] = (total + value, bad + (value if _is_bad(sample) else 0))


def _is_bad(sample: Sample) -> bool:
    if sample.name == REQUESTS:
        return sample.labels.get('outcome') != RecordedOutcome.ANSWERED
    reason = sample.labels.get('reason')
    # A reason that only a later version knows counts as bad.
    return reason not in set(CloseReason) or CloseReason(reason).is_broken


def _buckets(snapshot: Snapshot) -> dict[str, dict[float, float]]:
    buckets = defaultdict[str, dict[float, float]](dict)
    for sample in snapshot.samples:
        if sample.name == f'{LATENCY}_bucket':
            service = sample.labels.get('service', '')
            bound = float(sample.labels.get('le', 'inf'))
            buckets[service][bound] = sample.value
    return buckets


def _count_within(buckets: dict[float, float], limit_ms: float) -> float:
    # A limit between two bucket bounds is rounded down to the lower one:
    # answers in time may count as late, but never the other way round.
    in_time = (
        count
        for bound, count in buckets.items()
        if bound * _MS_PER_SECOND <= limit_ms
    )
    return max(in_time, default=0)
