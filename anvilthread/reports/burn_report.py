"""Burn rates of every objective of every service."""

from collections import defaultdict
from collections.abc import Iterable
from typing import Final

from msgspec import Struct
from result import Err, Ok, Result

from anvilthread.reports.burn_row import BurnRow, make_row
from anvilthread.reports.burn_window import Alert, BurnWindow
from anvilthread.reports.cumulative_counts import CumulativeCounts
from anvilthread.reports.increment import Increment
from anvilthread.reports.indicator import Indicator
from anvilthread.reports.objectives import ServiceObjectives
from anvilthread.reports.trace_error import TraceError

_HISTORY_STEPS: Final = 120
_INDICATORS: Final = tuple(Indicator)


class BurnReport(Struct, frozen=True, kw_only=True):
    """Burn rates of services at one time.

    Attributes:
        start_ms: Time of the first event, at most 3 d before the end.
        end_ms: Time of the last event, at which the windows end.
        rows: One row per service and indicator with events.
    """

    start_ms: int
    end_ms: int
    rows: tuple[BurnRow, ...]

    @property
    def has_alert(self) -> bool:
        """Whether any row has an alert."""
        return any(row.alert is not Alert.NONE for row in self.rows)

    @property
    def span_ms(self) -> int:
        """Time that the events cover; longer windows are not full."""
        return self.end_ms - self.start_ms


def make_report(
    increments: Iterable[Increment], objectives: ServiceObjectives
) -> Result[BurnReport, TraceError]:
    """Computes a report that ends at the latest increment.

    Args:
        increments: Events of any services, in any order.
        objectives: Objectives of each service.

    Returns:
        The report, or an error if there are no events.
    """
    counted = [increment for increment in increments if increment.total > 0]
    if not counted:
        return Err(
            TraceError(
                reason='there are no events to report on',
                remedy='give a longer trace or at least two scrapes per node',
            )
        )
    times_ms = _history_times([increment.ts_ms for increment in counted])
    groups = defaultdict[tuple[str, Indicator], list[Increment]](list)
    for increment in counted:
        groups[increment.service, increment.indicator].append(increment)
    rows = tuple(
        make_row(
            service=service,
            indicator=indicator,
            objective=objectives.of(service).share(indicator),
            counts=CumulativeCounts(increments=groups[service, indicator]),
            times_ms=times_ms,
        )
        for service, indicator in sorted(groups, key=_sort_key)
    )
    return Ok(BurnReport(start_ms=times_ms[0], end_ms=times_ms[-1], rows=rows))


def _history_times(times_ms: list[int]) -> tuple[int, ...]:
    end_ms = max(times_ms)
    start_ms = max(min(times_ms), end_ms - BurnWindow.THREE_DAYS.value)
    span_ms = end_ms - start_ms
    return tuple(
        start_ms + span_ms * step // _HISTORY_STEPS
        for step in range(_HISTORY_STEPS + 1)
    )


def _sort_key(group: tuple[str, Indicator]) -> tuple[str, int]:
    service, indicator = group
    return service, _INDICATORS.index(indicator)
