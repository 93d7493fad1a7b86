"""The burn of one objective."""

from collections.abc import Mapping

from msgspec import Struct

from anvilthread.reports.burn_window import ALERT_RULES, Alert, BurnWindow
from anvilthread.reports.indicator import Indicator
from anvilthread.reports.ledger import Ledger


class BurnRow(Struct, frozen=True, kw_only=True):
    """One line of a burn report.

    Attributes:
        service: The service.
        indicator: What is measured.
        objective: Share of good events that is promised.
        total: Events in the longest window.
        bad: Bad events in the longest window.
        rates: Burn rate by label of the window.
        alert: The most urgent alert.
        history: Burn rate of the 1 h window at even steps of the report.
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
    ledger: Ledger,
    times_ms: tuple[int, ...],
) -> BurnRow:
    """Computes a row.

    Args:
        service: The service.
        indicator: What is measured.
        objective: Share of good events that is promised.
        ledger: Events of the service and indicator.
        times_ms: Times of the history; the last is the end of the windows.
    """
    end_ms = times_ms[-1]
    longest_ms = BurnWindow.THREE_DAYS.value
    rates = {
        window: ledger.burn_rate(end_ms, window.value, objective)
        for window in BurnWindow
    }
    return BurnRow(
        service=service,
        indicator=indicator,
        objective=objective,
        total=ledger.total(end_ms, longest_ms),
        bad=ledger.bad(end_ms, longest_ms),
        rates={window.label: rate for window, rate in rates.items()},
        alert=_alert(rates),
        history=tuple(
            ledger.burn_rate(time_ms, BurnWindow.HOUR.value, objective)
            for time_ms in times_ms
        ),
    )


def _alert(rates: Mapping[BurnWindow, float]) -> Alert:
    for rule in ALERT_RULES:
        if min(rates[rule.long], rates[rule.short]) > rule.limit:
            return rule.alert
    return Alert.NONE
