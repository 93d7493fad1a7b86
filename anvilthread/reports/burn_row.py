"""The burn rates of one objective."""

from collections.abc import Mapping

from msgspec import Struct

from anvilthread.reports.burn_window import ALERT_RULES, Alert, BurnWindow
from anvilthread.reports.cumulative_counts import CumulativeCounts
from anvilthread.reports.indicator import Indicator


class BurnRow(Struct, frozen=True, kw_only=True):
    """One line of a burn report.

    Attributes:
        service: The service.
        indicator: The indicator that the objective applies to.
        objective: Objective as a share of good events.
        total: Events in the longest window.
        bad: Bad events in the longest window.
        rates: Burn rate by label of the window.
        alert: The most urgent alert.
        history: Burn rate of the 1 h window at evenly spaced times.
    """

    service: str
    indicator: Indicator
    objective: float
    total: float
    bad: float
    rates: dict[str, float]
    alert: Alert
    history: tuple[float, ...]


def make_row(
    *,
    service: str,
    indicator: Indicator,
    objective: float,
    counts: CumulativeCounts,
    times_ms: tuple[int, ...],
) -> BurnRow:
    """Computes a row.

    Args:
        service: The service.
        indicator: The indicator that the objective applies to.
        objective: Objective as a share of good events.
        counts: Events of the service and indicator.
        times_ms: Times of the history; the windows end at the last one.
    """
    end_ms = times_ms[-1]
    longest_ms = BurnWindow.THREE_DAYS.value
    rates = {
        window: counts.burn_rate(end_ms, window.value, objective)
        for window in BurnWindow
    }
    return BurnRow(
        service=service,
        indicator=indicator,
        objective=objective,
        total=counts.total(end_ms, longest_ms),
        bad=counts.bad(end_ms, longest_ms),
        rates={window.label: rate for window, rate in rates.items()},
        alert=_alert(rates),
        history=tuple(
            counts.burn_rate(time_ms, BurnWindow.HOUR.value, objective)
            for time_ms in times_ms
        ),
    )


def _alert(rates: Mapping[BurnWindow, float]) -> Alert:
    for rule in ALERT_RULES:
        if min(rates[rule.long], rates[rule.short]) > rule.limit:
            return rule.alert
    return Alert.NONE
