"""The value of a metric for one set of labels."""

import itertools
from collections.abc import Sequence
from typing import Protocol

from aioprometheus.histogram import Histogram


class Series(Protocol):
    """One time series of a metric."""

    def sample(self) -> object:
        """The value in the form that aioprometheus stores."""


class CounterSeries:
    """A number that never decreases."""

    __slots__ = ('_count',)

    def __init__(self) -> None:
        self._count: float = 0

    def add(self, amount: float = 1) -> None:
        """Adds an amount, which must not be negative."""
        self._count += amount

    def sample(self) -> float:
        """The sum of all amounts."""
        return self._count


class GaugeSeries:
    """A number that may increase and decrease."""

    __slots__ = ('_value',)

    def __init__(self) -> None:
        self._value: float = 0

    def set(self, value: float) -> None:
        """Sets the value."""
        self._value = value

    def add(self, amount: float) -> None:
        """Adds an amount, negative to subtract."""
        self._value += amount

    def sample(self) -> float:
        """The value."""
        return self._value


class HistogramSeries:
    """Observations counted in buckets.

    Args:
        bounds: Upper bounds of the buckets, ending in infinity.
    """

    __slots__ = ('_buckets',)

    def __init__(self, *, bounds: Sequence[float]) -> None:
        self._buckets = Histogram(*bounds)

    def observe(self, amount: float) -> None:
        """Counts one observation."""
        self._buckets.observe(float(amount))

    def replace(self, counts: Sequence[int], total: float) -> None:
        """Replaces all observations by counts collected elsewhere.

        Args:
            counts: Observations in each bucket, not cumulative.
            total: Sum of all observations.
        """
        cumulative = itertools.accumulate(counts)
        buckets = zip(self._buckets.buckets, cumulative, strict=True)
        self._buckets.buckets.update(buckets)
        self._buckets.observations = sum(counts)
        self._buckets.sum = total

    def sample(self) -> Histogram:
        """The buckets, their sum and their count."""
        return self._buckets
