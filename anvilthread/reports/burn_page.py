"""A burn report as a self-contained HTML page."""

from collections.abc import Iterator
from html import escape
from typing import Final

from anvilthread.reports.burn_plot import plot, stroke
from anvilthread.reports.burn_report import BurnReport
from anvilthread.reports.burn_row import BurnRow
from anvilthread.reports.burn_table import row_cells, summary
from anvilthread.reports.burn_window import ALERT_RULES, BurnWindow

_STYLE: Final = """
:root { color-scheme: light dark; }
body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto;
  max-width: 60rem; padding: 0 1rem; }
table { border-collapse: collapse; width: 100%; }
th, td { border-bottom: 1px solid #8886; padding: .3rem .6rem;
  text-align: right; white-space: nowrap; }
th:nth-child(-n+3), td:nth-child(-n+3) { text-align: left; }
tr.page td { background: #d55e0040; font-weight: 600; }
tr.ticket td { background: #e69f0030; }
svg { width: 100%; height: auto; margin-top: 1.5rem; }
svg text { fill: currentColor; font-size: 12px; }
svg .grid { stroke: #8886; }
svg .budget { stroke: currentColor; stroke-dasharray: 4 4; }
.legend svg { width: 2rem; margin: 0 .4rem 0 0; vertical-align: middle; }
.legend { list-style: none; padding: 0; columns: 3 14rem; }
"""


def render_page(report: BurnReport) -> str:
    """Renders a report as HTML.

    Args:
        report: The report.

    Returns:
        A complete page that loads no other files.
    """
    return '\n'.join(
        (
            '<!DOCTYPE html>',
            '<html lang="en">',
            '<head>',
            '<meta charset="utf-8">',
            '<meta name="viewport" content="width=device-width">',
            '<title>Error budget burn</title>',
            f'<style>{_STYLE}</style>',
            '</head>',
            '<body>',
            '<h1>Error budget burn</h1>',
            f'<p>{escape(summary(report))}</p>',
            *_table(report),
            '<h2>Burn rate over 1 h</h2>',
            plot(report),
            *_legend(report),
            '<h2>Alerts</h2>',
            '<ul>',
            *_alert_rules(),
            '</ul>',
            '</body>',
            '</html>',
            '',
        )
    )


def _table(report: BurnReport) -> Iterator[str]:
    windows = (window.label for window in BurnWindow)
    headings = ('service', 'alert', 'objective', 'bad / events', *windows)
    yield '<table>'
    yield '<thead><tr>'
    for heading in headings:
        yield f'<th scope="col">{escape(heading)}</th>'
    yield '</tr></thead>'
    yield '<tbody>'
    for row in report.rows:
        yield _table_row(row)
    yield '</tbody>'
    yield '</table>'


def _table_row(row: BurnRow) -> str:
    texts = (row.service, *row_cells(row))
    cells = ''.join(f'<td>{escape(text)}</td>' for text in texts)
    return f'<tr class="{row.alert}">{cells}</tr>'


def _legend(report: BurnReport) -> Iterator[str]:
    yield '<ul class="legend">'
    for index, row in enumerate(report.rows):
        line = f'<line x1="0" x2="32" y1="5" y2="5" {stroke(index)}'
        name = escape(f'{row.service} {row.indicator.replace("_", " ")}')
        yield (
            f'<li><svg viewBox="0 0 32 10" aria-hidden="true">{line}'
            f' stroke-width="3"/></svg>{name}</li>'
        )
    yield '</ul>'


def _alert_rules() -> Iterator[str]:
    for rule in ALERT_RULES:
        yield (
            f'<li>{rule.alert}: above {rule.limit:g} over both'
            f' {rule.long.label} and {rule.short.label}</li>'
        )
