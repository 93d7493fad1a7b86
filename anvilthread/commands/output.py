"""Output formats shared by the commands."""

from collections.abc import Iterable, Sequence

import msgspec
import typer
from rich.box import SIMPLE_HEAD
from rich.console import Console
from rich.markup import escape
from rich.table import Table


def print_json(content: object) -> None:
    """Prints one JSON document with indentation."""
    encoded = msgspec.json.format(msgspec.json.encode(content))
    typer.echo(encoded.decode())


def print_table(
    columns: Sequence[str], rows: Iterable[Iterable[object]]
) -> None:
    """Prints a table that fits the width of the terminal."""
    table = Table(box=SIMPLE_HEAD, padding=(0, 1, 0, 0), show_edge=False)
    for index, column in enumerate(columns):
        # The first column is an argument of other commands: never wrapped.
        table.add_column(column, no_wrap=index == 0, overflow='fold')
    for row in rows:
        table.add_row(*(escape(str(cell)) for cell in row))
    Console(highlight=False).print(table)


def print_pairs(pairs: Iterable[tuple[str, object]]) -> None:
    """Prints aligned names and values, one pair per line."""
    listed = [(name, str(text)) for name, text in pairs if str(text)]
    width = max((len(name) for name, _ in listed), default=0)
    for name, text in listed:
        typer.echo(f'{name:<{width}}  {text}')
