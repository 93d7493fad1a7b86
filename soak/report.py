"""Report of several soaks as tables and a bar chart."""

from collections import Counter
from pathlib import Path
from typing import Final

from rich.console import Console
from rich.table import Table

from soak.invariant_checker import INVARIANTS
from soak.soak import SoakResult

_BAR_HEIGHT: Final = 22
_LABEL_WIDTH: Final = 190
_BAR_WIDTH: Final = 420


def print_report(results: list[SoakResult]) -> None:
    """Prints the checks, the faults and the results of all soaks."""
    console = Console()
    checked, violated, injected = _totals(results)
    invariants = Table('promise', 'checks', 'violations', title='Promises')
    for name in INVARIANTS:
        invariants.add_row(name, str(checked[name]), str(violated[name]))
    faults = Table('fault', 'injected', title='Faults')
    for fault, count in injected.most_common():
        faults.add_row(fault, str(count))
    console.print(invariants, faults, _runs_table(results))
    _print_violations(console, results)


def _print_violations(console: Console, results: list[SoakResult]) -> None:
    for result in results:
        for invariant, detail in result.violations:
            console.print(f'seed={result.seed} promise={invariant} {detail}')


def _runs_table(results: list[SoakResult]) -> Table:
    table = Table(
        'seed', 'answered', 'failed', 'recovery s', 'violations', title='Runs'
    )
    for result in results:
        table.add_row(
            str(result.seed),
            str(result.answered),
            str(result.failed),
            f'{result.recovery_s:.2f}',
            str(len(result.violations)),
        )
    return table


def write_bar_chart(results: list[SoakResult], path: Path) -> None:
    """Writes the number of faults of each kind as a bar chart in SVG."""
    _, _, injected = _totals(results)
    max_count = max(injected.values(), default=1)
    rows = [
        _bar(index * _BAR_HEIGHT, name, count, count * _BAR_WIDTH // max_count)
        for index, (name, count) in enumerate(injected.most_common())
    ]
    height = len(rows) * _BAR_HEIGHT + 6
    width = _LABEL_WIDTH + _BAR_WIDTH + 60
    path.write_text(
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" '
        f'height="{height}" font-family="sans-serif" font-size="13">'
        f'{"".join(rows)}</svg>\n'
    )


def _bar(top: int, name: str, count: int, width: int) -> str:
    right = _LABEL_WIDTH + width + 5
    return (
        f'<text x="4" y="{top + 15}">{name}</text>'
        f'<rect x="{_LABEL_WIDTH}" y="{top + 3}" width="{width}" '
        f'height="16" fill="#4477aa"/>'
        f'<text x="{right}" y="{top + 15}">{count}</text>'
    )


def _totals(
    results: list[SoakResult],
) -> tuple[Counter[str], Counter[str], Counter[str]]:
    checked: Counter[str] = Counter()
    violated: Counter[str] = Counter()
    injected: Counter[str] = Counter()
    for result in results:
        checked.update(result.checked)
        injected.update(result.injected)
        violated.update(invariant for invariant, _ in result.violations)
    return checked, violated, injected
