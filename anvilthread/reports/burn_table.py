"""A burn report for the terminal."""

from collections.abc import Iterable
from datetime import UTC, datetime
from itertools import groupby
from typing import Final

from rich.box import SIMPLE_HEAD
from rich.console import Console
from rich.markup import escape
from rich.table import Table

from anvilthread.reports.burn_report import BurnReport
from anvilthread.reports.burn_row import BurnRow
from anvilthread.reports.burn_window import Alert, BurnWindow

_STYLES: Final = {
    Alert.PAGE: 'bold red',
    Alert.TICKET: 'yellow',
    Alert.NONE: '',
}
#: Column widths in characters; the table fits into 80 columns.
_OBJECTIVE_WIDTH: Final = 16
_COUNT_WIDTH: Final = 13
_RATE_WIDTH: Final = 5
_ALERT_WIDTH: Final = 6
_MS_PER_SECOND: Final = 1000
_MS_PER_HOUR: Final = 3_600_000


def print_report(report: BurnReport, console: Console) -> None:
    """Prints a table per service.

    Args:
        report: The report.
        console: Console to print to; one without colours omits the styles.
    """
    for service, rows in groupby(report.rows, key=_service):
        console.print(_table(service, rows))
        console.print()
    console.print(summary(report), highlight=False)


def _table(service: str, rows: Iterable[BurnRow]) -> Table:
    table = Table(
        title=escape(service),
        title_justify='left',
        box=SIMPLE_HEAD,
        padding=(0, 1, 0, 0),
        show_edge=False,
    )
    table.add_column('alert', min_width=_ALERT_WIDTH)
    table.add_column('objective', min_width=_OBJECTIVE_WIDTH)
    table.add_column('bad / events', justify='right', min_width=_COUNT_WIDTH)
    for window in BurnWindow:
        table.add_column(window.label, justify='right', min_width=_RATE_WIDTH)
    for row in rows:
        table.add_row(*row_cells(row), style=_STYLES[row.alert])
    return table


def row_cells(row: BurnRow) -> tuple[str, ...]:
    """The cells of a row, without the service."""
    return (
        row.alert,
        f'{row.indicator.replace("_", " ")} {row.objective:.6g}',
        f'{row.bad:.0f} / {row.total:.0f}',
        *(f'{rate:.3g}' for rate in row.rates.values()),
    )


def _service(row: BurnRow) -> str:
    return row.service


def summary(report: BurnReport) -> str:
    """States the time that the report covers and how to read its rates."""
    end = datetime.fromtimestamp(report.end_ms // _MS_PER_SECOND, UTC)
    hours = report.span_ms / _MS_PER_HOUR
    return (
        f'Windows end at {end:%Y-%m-%d %H:%M:%S} UTC; events cover'
        f' {hours:.1f} h, and longer windows are not full. At a rate of 1 a'
        ' budget for 30 days lasts 30 days.'
    )
