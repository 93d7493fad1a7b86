"""Guarantee 4: a request reported as not run was not run."""

from collections.abc import Iterator
from typing import Final

from anvilthread.reports.guarantees.run_index import RunIndex
from anvilthread.reports.guarantees.violation import Violation
from anvilthread.reports.request_events import (
    RecordedOutcome,
    RequestEnded,
    RunStarted,
)
from anvilthread.reports.trace import Trace, TraceLine


class NotRunIsTrue:
    """Neither the request nor an earlier one with its key was run.

    A client whose request was *not run* may retry it with the same key, so
    runs of attempts that started after the report are no violation.
    """

    __slots__ = ()

    name: Final = 'not_run_is_true'
    statement: Final = 'a request reported as not run was not run'

    def evidence(self, trace: Trace) -> int:
        """Number of requests reported as not run."""
        return sum(1 for _ in _not_run_reports(trace))

    def violations(self, trace: Trace) -> Iterator[Violation]:
        """Yields the report or the run, whichever is later in the trace."""
        index = RunIndex(trace=trace)
        for line in _not_run_reports(trace):
            for run in _contradicting_runs(index, line):
                yield Violation(
                    line=max(line.number, run.number),
                    reason=f'request {line.event.request} was reported as'
                    f' not run, but run {run.event.run} started',
                )


def _not_run_reports(trace: Trace) -> Iterator[TraceLine[RequestEnded]]:
    for line in trace.of_type(RequestEnded):
        if line.event.outcome is RecordedOutcome.NOT_RUN:
            yield line


def _contradicting_runs(
    index: RunIndex, line: TraceLine[RequestEnded]
) -> Iterator[TraceLine[RunStarted]]:
    yield from index.runs_of_request(line.event.request)
    for run in index.runs_with_key_of(line.event.request):
        attempt = index.request_start(run.event.request)
        requested_ms = run.event.ts_ms if attempt is None else attempt.ts_ms
        if requested_ms < line.event.ts_ms:
            yield run
