"""Burn rates over time as inline SVG."""

from collections.abc import Iterator
from html import escape
from math import log10
from typing import Final

from anvilthread.reports.burn_report import BurnReport
from anvilthread.reports.burn_row import BurnRow

#: Size and margins of the plot in SVG user units.
_WIDTH: Final = 900
_HEIGHT: Final = 320
_LEFT: Final = 60
_RIGHT: Final = 20
_TOP: Final = 20
_BOTTOM: Final = 40
#: Rates outside this range are drawn at the edge of the plot.
_MIN_RATE: Final = 0.01
_MAX_RATE: Final = 1000
_GRID_RATES: Final = (0.01, 0.1, 1, 10, 100, 1000)
_MS_PER_MINUTE: Final = 60_000
_MS_PER_HOUR: Final = 3_600_000
_TIME_TICKS: Final = 6
#: Eight colours that differ for colour-blind readers (Okabe and Ito, 2008);
#: later series repeat them with dashes.
_COLOURS: Final = (
    '#0072b2',
    '#d55e00',
    '#009e73',
    '#cc79a7',
    '#e69f00',
    '#56b4e9',
    '#8c6d00',
    '#777777',
)
_DASHES: Final = ('none', '6 3', '2 3')


def plot(report: BurnReport) -> str:
    """Draws the 1 h burn rate of every row on a logarithmic scale."""
    parts = [
        f'<svg viewBox="0 0 {_WIDTH} {_HEIGHT}" role="img"'
        ' aria-label="Burn rate over a window of one hour">',
        *_rate_lines(),
        *_time_labels(report.span_ms),
        *(_curve(row, index) for index, row in enumerate(report.rows)),
        '</svg>',
    ]
    return '\n'.join(parts)


def stroke(index: int) -> str:
    """The SVG stroke attributes of the curve of a row."""
    colour = _COLOURS[index % len(_COLOURS)]
    dashes = _DASHES[index // len(_COLOURS) % len(_DASHES)]
    return f'stroke="{colour}" stroke-dasharray="{dashes}"'


def _curve(row: BurnRow, index: int) -> str:
    steps = max(len(row.history) - 1, 1)
    points = ' '.join(
        f'{_x(step / steps):.1f},{_y(rate):.1f}'
        for step, rate in enumerate(row.history)
    )
    title = escape(f'{row.service} {row.indicator}')
    return (
        f'<polyline fill="none" stroke-width="2" {stroke(index)}'
        f' points="{points}"><title>{title}</title></polyline>'
    )


def _rate_lines() -> Iterator[str]:
    for rate in _GRID_RATES:
        height = _y(rate)
        style = 'budget' if rate == 1 else 'grid'
        yield (
            f'<line class="{style}" x1="{_LEFT}" x2="{_WIDTH - _RIGHT}"'
            f' y1="{height:.1f}" y2="{height:.1f}"/>'
            f'<text x="{_LEFT - 8}" y="{height + 4:.1f}"'
            f' text-anchor="end">{rate:g}</text>'
        )


def _time_labels(span_ms: int) -> Iterator[str]:
    for tick in range(_TIME_TICKS + 1):
        share = tick / _TIME_TICKS
        label = 'end'
        if tick < _TIME_TICKS:
            label = _age_label(span_ms * (1 - share), span_ms)
        yield (
            f'<text x="{_x(share):.1f}" y="{_HEIGHT - _BOTTOM + 22}"'
            f' text-anchor="middle">{label}</text>'
        )


def _x(share: float) -> float:
    return _LEFT + share * (_WIDTH - _LEFT - _RIGHT)


def _y(rate: float) -> float:
    shown = min(max(rate, _MIN_RATE), _MAX_RATE)
    share = log10(shown / _MIN_RATE) / log10(_MAX_RATE / _MIN_RATE)
    return _HEIGHT - _BOTTOM - share * (_HEIGHT - _TOP - _BOTTOM)


def _age_label(age_ms: float, span_ms: float) -> str:
    if span_ms < _MS_PER_HOUR:
        return f'-{age_ms / _MS_PER_MINUTE:.2g} min'
    return f'-{age_ms / _MS_PER_HOUR:.2g} h'
