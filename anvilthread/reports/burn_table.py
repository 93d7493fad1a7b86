"""A burn report for the terminal."""

from datetime import UTC, datetime
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
_MS_PER_SECOND: Final = 1000
_MS_PER_HOUR: Final = 3_600_000


def print_report(report: BurnReport, console: Console) -> None:
    """Prints a report as a table.

    Args:
        report: The report.
        console: Where to print; styles are left out if it has no colours.
    """
    table = Table(
        title='Error budget burn', title_justify='left', box=SIMPLE_HEAD
    )
    table.add_column('service')
    table.add_column('objective')
    table.add_column('bad / events', justify='right')
    for window in BurnWindow:
        table.add_column(window.label, justify='right')
    table.add_column('alert')
    for row in report.rows:
        cells = (escape(cell) for cell in row_cells(row))
        table.add_row(*cells, style=_STYLES[row.alert])
    console.print(table)
    console.print(summary(report), highlight=False)


def row_cells(row: BurnRow) -> tuple[str, ...]:
    """The cells of a row as text."""
    return (
        row.service,
        f'{row.indicator.replace("_", " ")} {row.objective:.6g}',
        f'{row.bad:.0f} / {row.total:.0f}',
        *(f'{rate:.2f}' for rate in row.rates.values()),
        row.alert,
    )


def summary(report: BurnReport) -> str:
    """Says which time the report covers and how to read it."""
    end = datetime.fromtimestamp(report.end_ms // _MS_PER_SECOND, UTC)
    hours = report.span_ms / _MS_PER_HOUR
    return (
        f'Windows end at {end:%Y-%m-%d %H:%M:%S} UTC; events cover'
        f' {hours:.1f} h, and longer windows are not full. At a rate of 1 a budget for 30 days lasts 30 days.'
    )
