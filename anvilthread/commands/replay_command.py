"""The command that replays a trace."""

from collections.abc import Sequence
from pathlib import Path
from typing import Annotated, Final

import typer
from msgspec import Struct

from anvilthread.commands.command_failure import require
from anvilthread.commands.exit_code import ExitCode
from anvilthread.commands.options import JsonOption
from anvilthread.commands.output import print_json, print_table
from anvilthread.reports.expected_outcomes import ExpectedOutcomes
from anvilthread.reports.replay import ALL_GUARANTEES, replay
from anvilthread.reports.trace_file import read_trace
from anvilthread.reports.verdict import Verdict

REPLAY_HELP: Final = """Decide a recorded trace again against the guarantees.

Prints a verdict per guarantee with its first violating line, and exits with
code 1 on a violation. With --outcomes it exits with code 1 if the verdicts
differ from the stated ones.

\b
Examples:
  anvilthread replay trace.jsonl
  anvilthread replay trace.jsonl --outcomes outcomes.toml
  anvilthread replay trace.jsonl --json
"""


class _VerdictOutput(Struct, frozen=True, kw_only=True):
    guarantee: str
    verdict: str
    evidence: int
    violations: int
    first_line: int | None
    reason: str


def replay_trace(
    trace: Annotated[
        Path,
        typer.Argument(
            metavar='TRACE',
            help='Trace of JSON lines (docs/traces.md).',
            show_default=False,
        ),
    ],
    *,
    outcomes: Annotated[
        Path | None,
        typer.Option(
            '--outcomes', metavar='FILE', help='Stated outcomes in TOML.'
        ),
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Replays a trace and prints a verdict per guarantee."""
    verdicts = replay(require(read_trace(trace)), ALL_GUARANTEES)
    if as_json:
        print_json([_output(verdict) for verdict in verdicts])
    else:
        print_table(
            ('guarantee', 'verdict', 'events', 'first violation'),
            (_row(verdict) for verdict in verdicts),
        )
    if _differs(verdicts, outcomes):
        raise typer.Exit(ExitCode.PROBLEM_FOUND)


def _differs(verdicts: Sequence[Verdict], outcomes: Path | None) -> bool:
    if outcomes is None:
        return any(verdict.violations for verdict in verdicts)
    expected = require(ExpectedOutcomes.read(outcomes))
    differences = list(expected.differences(verdicts))
    for difference in differences:
        typer.echo(f'{outcomes}: {difference}', err=True)
    return bool(differences)


def _row(verdict: Verdict) -> tuple[object, ...]:
    output = _output(verdict)
    first = ''
    if output.first_line is not None:
        first = f'line {output.first_line}: {output.reason}'
    return verdict.name, output.verdict, output.evidence, first


def _output(verdict: Verdict) -> _VerdictOutput:
    first = verdict.violations[0] if verdict.violations else None
    return _VerdictOutput(
        guarantee=verdict.name,
        verdict=verdict.text,
        evidence=verdict.evidence,
        violations=len(verdict.violations),
        first_line=None if first is None else first.line,
        reason='' if first is None else first.reason,
    )
