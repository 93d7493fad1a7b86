"""The metrics of one process."""

import re
from collections.abc import Callable, Sequence
from functools import partial
from math import inf
from typing import Any, Final, TypeAlias

from aioprometheus import collectors
from aioprometheus.renderer import render

from anvilthread.error import AnvilthreadError
from anvilthread.telemetry.metric import Metric, SeriesT
from anvilthread.telemetry.series import (
    CounterSeries,
    GaugeSeries,
    HistogramSeries,
)

Counter: TypeAlias = Metric[CounterSeries]
Gauge: TypeAlias = Metric[GaugeSeries]
Histogram: TypeAlias = Metric[HistogramSeries]

#: Media type of the Prometheus text format.
CONTENT_TYPE: Final = 'text/plain; version=0.0.4; charset=utf-8'
#: Upper bounds of the buckets for request latencies, in seconds.
LATENCY_BOUNDS: Final = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
)

_MAX_SERIES: Final = 200
_NAME_PREFIX: Final = 'anvilthread_'
_NAME_PATTERN: Final = re.compile('[a-z][a-z0-9]*(_[a-z0-9]+)*')
_COUNTER_SUFFIX: Final = '_total'


class MetricNameError(AnvilthreadError):
    """The name of a metric does not follow the Prometheus conventions."""


class Metrics:
    """Creates metrics and renders them in the Prometheus text format.

    Names start with ``anvilthread_``; a metric with a unit ends in it, and a
    counter ends in ``_total`` after that.
    """

    __slots__ = ('_before_render', '_metrics', '_overflow', '_registry')

    def __init__(self) -> None:
        self._registry = collectors.Registry()
        self._metrics: dict[str, Metric[Any]] = {}
        self._before_render: list[Callable[[], None]] = []
        self._overflow = self.counter(
            'anvilthread_metric_overflows_total',
            'Lookups that ended in the series for other label values.',
            labels=('metric',),
        )

    def counter(
        self,
        name: str,
        description: str,
        *,
        labels: tuple[str, ...] = (),
        unit: str = '',
        max_series: int = _MAX_SERIES,
    ) -> Counter:
        """Creates a counter.

        Args:
            name: Name, which ends in ``_total``.
            description: Help text, one sentence.
            labels: Names of its labels.
            unit: Base unit in the name, for example ``bytes``.
            max_series: Maximum number of label combinations.

        Returns:
            The counter.

        Raises:
            MetricNameError: If the name breaks a naming rule or is in use.
        """
        _check_counter_suffix(name)
        _check_unit(name.removesuffix(_COUNTER_SUFFIX), unit)
        collector = self._collector(collectors.Counter, name, description)
        return self._add(collector, labels, CounterSeries, max_series)

    def gauge(
        self,
        name: str,
        description: str,
        *,
        labels: tuple[str, ...] = (),
        unit: str = '',
        max_series: int = _MAX_SERIES,
    ) -> Gauge:
        """Creates a gauge; see :meth:`counter` for the arguments."""
        _check_unit(name, unit)
        collector = self._collector(collectors.Gauge, name, description)
        return self._add(collector, labels, GaugeSeries, max_series)

    def histogram(
        self,
        name: str,
        description: str,
        *,
        labels: tuple[str, ...] = (),
        unit: str = 'seconds',
        bounds: Sequence[float] = LATENCY_BOUNDS,
    ) -> Histogram:
        """Creates a histogram.

        Args:
            name: Name, which ends in the unit.
            description: Help text, one sentence.
            labels: Names of its labels.
            unit: Base unit of the observations.
            bounds: Upper bounds of the buckets in that unit; infinity is
                added.

        Returns:
            The histogram.

        Raises:
            MetricNameError: If the name breaks a naming rule or is in use.
        """
        _check_unit(name, unit)
        bucket_bounds = (*bounds, inf)
        collector = self._collector(
            partial(collectors.Histogram, buckets=bucket_bounds),
            name,
            description,
        )
        make_series = partial(HistogramSeries, bounds=bucket_bounds)
        return self._add(collector, labels, make_series, _MAX_SERIES)

    def before_render(self, callback: Callable[[], None]) -> None:
        """Registers a function that sets gauges before each scrape."""
        self._before_render.append(callback)

    def render(self) -> bytes:
        """Renders every metric in the Prometheus text format."""
        for callback in self._before_render:
            callback()
        for name, metric in self._metrics.items():
            self._count_overflow(name, metric)
        for metric in self._metrics.values():
            metric.collect()
        content, _ = render(self._registry, ())
        return content

    def _count_overflow(self, name: str, metric: Metric[Any]) -> None:
        if metric.overflowed:
            series = self._overflow.series(metric=name)
            series.add(metric.overflowed - series.sample())

    def _collector(
        self,
        make: Callable[..., collectors.Collector],
        name: str,
        description: str,
    ) -> collectors.Collector:
        if not name.startswith(_NAME_PREFIX) or not _NAME_PATTERN.fullmatch(
            name
        ):
            raise MetricNameError(
                reason=f'metric {name!r} is not a name in snake case',
                remedy=f'use lower case, starting with {_NAME_PREFIX}',
            )
        if name in self._metrics:
            raise MetricNameError(
                reason=f'metric {name!r} exists already',
                remedy='make each metric once and share it',
            )
        return make(name, description, registry=self._registry)

    def _add(
        self,
        collector: collectors.Collector,
        labels: tuple[str, ...],
        make_series: Callable[[], SeriesT],
        max_series: int,
    ) -> Metric[SeriesT]:
        metric = Metric(
            collector=collector,
            labels=labels,
            make_series=make_series,
            max_series=max_series,
        )
        self._metrics[collector.name] = metric
        return metric


def _check_counter_suffix(name: str) -> None:
    if not name.endswith(_COUNTER_SUFFIX):
        raise MetricNameError(
            reason=f'counter {name!r} does not end in {_COUNTER_SUFFIX}',
            remedy=f'name it {name}{_COUNTER_SUFFIX}',
        )


def _check_unit(name: str, unit: str) -> None:
    if not name.endswith(unit):
        raise MetricNameError(
            reason=f'metric {name!r} does not end in its unit',
            remedy=f'name it {name}_{unit}',
        )
