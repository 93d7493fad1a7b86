"""Guarantee 5: a non-idempotent request runs at most once."""

from collections.abc import Iterator
from typing import Final

from anvilthread.reports.guarantees.violation import Violation
from anvilthread.reports.request_events import RunStarted
from anvilthread.reports.trace import Trace, TraceLine


class RunsAtMostOnce:
    """One run per execution key, or per request without a key."""

    __slots__ = ()

    name: Final = 'runs_at_most_once'
    statement: Final = 'a non-idempotent request runs at most once'

    def evidence(self, trace: Trace) -> int:
        """Number of runs that are not idempotent."""
        return sum(1 for _ in _non_idempotent_runs(trace))

    def violations(self, trace: Trace) -> Iterator[Violation]:
        """Yields every run after the first."""
        first_runs: dict[str, str] = {}
        for line in _non_idempotent_runs(trace):
            run = line.event
            # The prefix distinguishes a request from a key of the same text.
            execution = f'request {run.request}' if run.key is None else run.key
            first = first_runs.setdefault(execution, run.run)
            if first != run.run:
                yield Violation(
                    line=line.number,
                    reason=f'run {run.run} repeats run {first} of {execution}',
                )


def _non_idempotent_runs(trace: Trace) -> Iterator[TraceLine[RunStarted]]:
    for line in trace.of_type(RunStarted):
        if not line.event.idempotent:
            yield line
