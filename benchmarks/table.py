"""Tables of benchmark results."""

from collections.abc import Sequence

from rich.console import Console
from rich.table import Table


def print_table(
    title: str, heading: Sequence[str], rows: Sequence[Sequence[str]]
) -> None:
    """Prints rows of text under a title."""
    table = Table(title=title, title_justify='left')
    for number, name in enumerate(heading):
        table.add_column(name, justify='right' if number else 'left')
    for row in rows:
        table.add_row(*row)
    Console(width=100).print(table)
