"""Runs of a trace by request and by execution key."""

from collections import defaultdict
from collections.abc import Sequence

from anvilthread.reports.request_events import RequestStarted, RunStarted
from anvilthread.reports.trace import Trace, TraceLine


class RunIndex:
    """Finds the runs that belong to a request.

    Args:
        trace: The trace.
    """

    __slots__ = ('_by_key', '_by_request', '_requests')

    def __init__(self, *, trace: Trace) -> None:
        self._by_request = defaultdict[str, list[TraceLine[RunStarted]]](list)
        self._by_key = defaultdict[str, list[TraceLine[RunStarted]]](list)
        for run in trace.of_type(RunStarted):
            self._by_request[run.event.request].append(run)
            if run.event.key is not None:
                self._by_key[run.event.key].append(run)
        self._requests = {
            line.event.request: line.event
            for line in trace.of_type(RequestStarted)
        }

    def request_start(self, request: str) -> RequestStarted | None:
        """The start event of a request, if the trace has it."""
        return self._requests.get(request)

    def runs_of_request(self, request: str) -> Sequence[TraceLine[RunStarted]]:
        """The runs that this attempt caused."""
        return self._by_request.get(request, ())

    def runs_with_key_of(self, request: str) -> Sequence[TraceLine[RunStarted]]:
        """The runs of every attempt with the execution key of a request."""
        started = self._requests.get(request)
        if started is None or started.key is None:
            return ()
        return self._by_key.get(started.key, ())
