"""The commands that write reports."""

from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Final

import typer
from rich.console import Console

from anvilthread.commands.command_failure import (
    CommandFailure,
    require,
    write_failure,
)
from anvilthread.commands.exit_code import ExitCode
from anvilthread.commands.options import JsonOption
from anvilthread.commands.output import print_json
from anvilthread.error import AnvilthreadError
from anvilthread.reports.burn_page import render_page
from anvilthread.reports.burn_report import BurnReport, make_report
from anvilthread.reports.burn_table import print_report
from anvilthread.reports.increment import Increment
from anvilthread.reports.objectives import ServiceObjectives
from anvilthread.reports.snapshot import read_snapshots
from anvilthread.reports.snapshot_increments import snapshot_increments
from anvilthread.reports.trace_file import read_trace
from anvilthread.reports.trace_increments import trace_increments

report_app: Final = typer.Typer(
    help='Write reports for operators.',
    no_args_is_help=True,
    rich_markup_mode=None,
)

_BURN_HELP: Final = """Report how fast each service burns its error budget.

The events come from a recorded trace or from a directory of saved scrapes
of /metrics, named NODE@TS_MS.prom.

\b
Examples:
  anvilthread report burn --trace trace.jsonl
  anvilthread report burn --snapshots scrapes --objectives objectives.toml
  anvilthread report burn --snapshots scrapes --html burn.html
  anvilthread report burn --trace trace.jsonl --json --fail-on-alert
"""


@report_app.callback()
def reports() -> None:
    """Keeps ``report burn`` a command of its own group."""


@report_app.command('burn', help=_BURN_HELP)
def burn(
    *,
    trace: Annotated[
        Path | None,
        typer.Option('--trace', metavar='FILE', help='Trace of JSON lines.'),
    ] = None,
    snapshots: Annotated[
        Path | None,
        typer.Option('--snapshots', metavar='DIRECTORY', help='Saved scrapes.'),
    ] = None,
    objectives: Annotated[
        Path | None,
        typer.Option(
            '--objectives', metavar='FILE', help='Objectives in TOML.'
        ),
    ] = None,
    html: Annotated[
        Path | None,
        typer.Option('--html', metavar='FILE', help='Write a page as well.'),
    ] = None,
    fail_on_alert: Annotated[
        bool, typer.Option('--fail-on-alert', help='Exit with 1 on an alert.')
    ] = False,
    as_json: JsonOption = False,
) -> None:
    """Computes burn rates and prints them."""
    objectives_file = _read_objectives(objectives)
    increments = _increments(trace, snapshots, objectives_file)
    report = require(make_report(increments, objectives_file))
    if html is not None:
        _write(html, render_page(report))
    _print(report, as_json=as_json)
    if fail_on_alert and report.has_alert:
        raise typer.Exit(ExitCode.PROBLEM_FOUND)


def _read_objectives(path: Path | None) -> ServiceObjectives:
    if path is None:
        return ServiceObjectives(services={})
    return require(ServiceObjectives.read(path))


def _increments(
    trace: Path | None, snapshots: Path | None, objectives: ServiceObjectives
) -> Iterator[Increment]:
    if trace is not None and snapshots is None:
        return trace_increments(require(read_trace(trace)), objectives)
    if snapshots is not None and trace is None:
        scrapes = require(read_snapshots(snapshots))
        return snapshot_increments(scrapes, objectives)
    raise CommandFailure(
        error=AnvilthreadError(
            reason='the events of a report come from one source',
            remedy='give either --trace or --snapshots',
        ),
        exit_code=ExitCode.USAGE,
    )


def _write(path: Path, page: str) -> None:
    try:
        path.write_text(page, encoding='utf-8')
    except OSError as error:
        raise write_failure(path, error) from None


def _print(report: BurnReport, *, as_json: bool) -> None:
    if as_json:
        print_json(report)
    else:
        print_report(report, Console())
