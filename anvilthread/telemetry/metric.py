"""A named metric and its series."""

from collections.abc import Callable
from typing import Final, Generic, TypeVar

from aioprometheus.collectors import Collector

from anvilthread.telemetry.series import Series

SeriesT = TypeVar('SeriesT', bound=Series)

_OVERFLOW_VALUE: Final = 'other'
#: Escapes of label values in the text format, which aioprometheus leaves out.
_ESCAPES: Final = str.maketrans({'\\': r'\\', '"': r'\"', '\n': r'\n'})


class Metric(Generic[SeriesT]):
    """A bounded number of series under one name.

    Series are kept here and passed to aioprometheus only for a scrape, because
    its lookup by labels is too slow for a call per packet.

    Args:
        collector: The aioprometheus collector that renders this metric.
        labels: Names of the labels of every series.
        make_series: Creates an empty series.
        max_series: Series beyond this number share one whose label values
            are all ``other``.
    """

    __slots__ = (
        '_collector',
        '_labels',
        '_make_series',
        '_max_series',
        '_overflowed',
        '_series',
    )

    def __init__(
        self,
        *,
        collector: Collector,
        labels: tuple[str, ...],
        make_series: Callable[[], SeriesT],
        max_series: int,
    ) -> None:
        self._collector = collector
        self._labels = labels
        self._make_series = make_series
        self._max_series = max_series
        self._series: dict[tuple[str, ...], SeriesT] = {}
        self._overflowed = 0
        if not labels:
            self.series()

    @property
    def overflowed(self) -> int:
        """Lookups that returned the series for ``other``."""
        return self._overflowed

    def series(self, **labels: str) -> SeriesT:
        """Returns the series of the given labels.

        Callers on the data path keep the series, to avoid a lookup per packet.

        Args:
            labels: A value for each label of the metric.

        Returns:
            The series, shared by all callers with the same labels.

        Raises:
            KeyError: If a label is missing.
            ValueError: If the number of labels is wrong.
        """
        if len(labels) != len(self._labels):
            raise ValueError(f'labels must be {self._labels}')
        key = tuple(labels[name] for name in self._labels)
        found = self._series.get(key)
        return self._add(key) if found is None else found

    def collect(self) -> None:
        """Passes every series to the collector."""
        for key, series in self._series.items():
            values = (text.translate(_ESCAPES) for text in key)
            labels = dict(zip(self._labels, values, strict=True))
            self._collector.set_value(labels, series.sample())

    def _add(self, key: tuple[str, ...]) -> SeriesT:
        if self._labels and len(self._series) >= self._max_series:
            self._overflowed += 1
            key = (_OVERFLOW_VALUE,) * len(self._labels)
        return self._series.setdefault(key, self._make_series())
