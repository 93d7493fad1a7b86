"""Guarantee 7: a planned stop interrupts no request in progress."""

from collections.abc import Iterator
from typing import Final

from anvilthread.reports.guarantees.violation import Violation
from anvilthread.reports.node_events import NodeStopped, StopStarted
from anvilthread.reports.request_events import (
    RequestEnded,
    RequestStarted,
    RunEnded,
    RunStarted,
)
from anvilthread.reports.trace import Trace
from anvilthread.reports.trace_event import TraceEvent


class StopInterruptsNothing:
    """At a planned stop no work is in progress, and no run was cut off."""

    __slots__ = ()

    name: Final = 'stop_interrupts_nothing'
    statement: Final = 'a planned stop interrupts no request in progress'

    def evidence(self, trace: Trace) -> int:
        """Number of planned stops."""
        return sum(line.event.planned for line in trace.of_type(NodeStopped))

    def violations(self, trace: Trace) -> Iterator[Violation]:
        """Yields interrupted runs, and stops with work in progress."""
        work = _WorkInProgress()
        for line in trace.lines:
            reason = work.violation_reason(line.event)
            if reason:
                yield Violation(line=line.number, reason=reason)
            work.apply(line.event)


class _WorkInProgress:
    """Requests and runs in progress while a trace is read."""

    __slots__ = ('_node_by_work', '_stopping')

    def __init__(self) -> None:
        self._node_by_work: dict[str, str] = {}
        self._stopping: set[str] = set()

    def violation_reason(self, event: TraceEvent) -> str:
        """Why the event is a violation; empty if it is none."""
        match event:
            case RunEnded(run=run, node=node, interrupted=True):
                if node in self._stopping:
                    return f'run {run} was interrupted by the stop of {node}'
            case NodeStopped(node=node, planned=True):
                return self._unfinished(node)
        return ''

    def apply(self, event: TraceEvent) -> None:
        """Updates the work in progress from an event."""
        match event:
            case RunStarted(run=run, node=node):
                self._node_by_work[f'run {run}'] = node
            case RequestStarted(request=request, node=node):
                self._node_by_work[f'request {request}'] = node
            case RunEnded(run=run):
                self._node_by_work.pop(f'run {run}', None)
            case RequestEnded(request=request):
                self._node_by_work.pop(f'request {request}', None)
            case StopStarted(node=node):
                self._stopping.add(node)

    def _unfinished(self, node: str) -> str:
        for work, owner in self._node_by_work.items():
            if owner == node:
                return f'{node} stopped while {work} was in progress'
        return ''
