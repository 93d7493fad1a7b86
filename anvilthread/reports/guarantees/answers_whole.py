"""Guarantee 3: every client gets the whole answer to its own request."""

from collections.abc import Iterator
from typing import Final

from anvilthread.reports.guarantees.run_index import RunIndex
from anvilthread.reports.guarantees.violation import Violation
from anvilthread.reports.request_events import (
    RecordedOutcome,
    RequestEnded,
    RunEnded,
)
from anvilthread.reports.trace import Trace, TraceLine


class AnswersWhole:
    """An answer equals one that a run of the request, or of its key, sent."""

    __slots__ = ()

    name: Final = 'answers_whole'
    statement: Final = 'clients get the whole answer to their own request'

    def evidence(self, trace: Trace) -> int:
        """Number of answered requests."""
        return sum(1 for _ in _answered_requests(trace))

    def violations(self, trace: Trace) -> Iterator[Violation]:
        """Yields the answers that no run of the request sent."""
        index = RunIndex(trace=trace)
        digests = {
            line.event.run: line.event.digest
            for line in trace.of_type(RunEnded)
        }
        for line in _answered_requests(trace):
            request = line.event.request
            runs = (
                *index.runs_of_request(request),
                *index.runs_with_key_of(request),
            )
            sent = {digests.get(run.event.run) for run in runs}
            if line.event.digest is None or line.event.digest not in sent:
                yield Violation(
                    line=line.number,
                    reason=f'the answer to request {request} is not one'
                    ' that a run of it sent',
                )


def _answered_requests(trace: Trace) -> Iterator[TraceLine[RequestEnded]]:
    for line in trace.of_type(RequestEnded):
        if line.event.outcome is RecordedOutcome.ANSWERED:
            yield line
