"""Guarantee 6: a draining target gets no new work."""

from collections.abc import Iterator
from typing import Final

from anvilthread.reports.connection_events import ConnectionOpened
from anvilthread.reports.guarantees.violation import Violation
from anvilthread.reports.node_events import (
    DrainStarted,
    NodeStarted,
    WorkStarted,
)
from anvilthread.reports.request_events import RunStarted
from anvilthread.reports.trace import Trace, TraceLine
from anvilthread.reports.trace_event import TraceEvent

_LIMIT_MS: Final = 2000
_WORK_EVENTS: Final = (ConnectionOpened, RunStarted, WorkStarted)


class DrainTakesEffect:
    """No connection, run or other work starts 2 s after a drain.

    Args:
        limit_ms: Time that a drain may take to reach every node.
    """

    __slots__ = ('_limit_ms',)

    name: Final = 'drain_takes_effect'
    statement: Final = 'a draining target gets no new work after 2 s'

    def __init__(self, *, limit_ms: int = _LIMIT_MS) -> None:
        self._limit_ms = limit_ms

    def evidence(self, trace: Trace) -> int:
        """Number of drains whose limit expires within the trace."""
        return sum(
            line.event.ts_ms + self._limit_ms <= trace.end_ms
            for line in trace.of_type(DrainStarted)
        )

    def violations(self, trace: Trace) -> Iterator[Violation]:
        """Yields the work that started after the limit."""
        drain_started_ms: dict[str, int] = {}
        for line in trace.lines:
            event = line.event
            if isinstance(event, DrainStarted):
                drain_started_ms.setdefault(event.node, event.ts_ms)
            elif isinstance(event, NodeStarted):
                # A new process may reuse the name of the drained one.
                drain_started_ms.pop(event.node, None)
            elif (
                isinstance(event, _WORK_EVENTS)
                and event.node in drain_started_ms
            ):
                elapsed_ms = event.ts_ms - drain_started_ms[event.node]
                yield from self._check(line, elapsed_ms)

    def _check(
        self, line: TraceLine[TraceEvent], elapsed_ms: int
    ) -> Iterator[Violation]:
        if elapsed_ms > self._limit_ms:
            yield Violation(
                line=line.number,
                reason=f'{line.event.node} got new work {elapsed_ms} ms after'
                ' the start of its drain',
            )
