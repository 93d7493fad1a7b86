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
    """At a planned end nothing is in progress, and no run was cut off."""

    __slots__ = ()

    name: Final = 'stop_interrupts_nothing'
    statement: Final = 'a planned stop interrupts no request in progress'

    def evidence(self, trace: Trace) -> int:
        """Number of planned ends."""
        return sum(line.event.planned for line in trace.only(NodeStopped))

    def violations(self, trace: Trace) -> Iterator[Violation]:
        """Yields interrupted runs, and ends with work in progress."""
        progress = _Progress()
        for line in trace.lines:
            reason = progress.fault_of(line.event)
            if reason:
                yield Violation(line=line.number, reason=reason)
            progress.apply(line.event)


class _Progress:
    """Work in progress while a trace is read."""

    __slots__ = ('_open', '_stopping')

    def __init__(self) -> None:
        self._open: dict[str, str] = {}
        self._stopping: set[str] = set()

    def fault_of(self, event: TraceEvent) -> str:
        """Returns why the event is a violation, or an empty text."""
        match event:
            case RunEnded(run=run, node=node, interrupted=True):
                if node in self._stopping:
                    return f'run {run} was interrupted by the stop of {node}'
            case NodeStopped(node=node, planned=True):
                return self._unfinished(node)
        return ''

    def apply(self, event: TraceEvent) -> None:
        """Takes note of an event."""
        match event:
            case RunStarted(run=run, node=node):
                self._open[f'run {run}'] = node
            case RequestStarted(request=request, node=node):
                self._open[f'request {request}'] = node
            case RunEnded(run=run):
                self._open.pop(f'run {run}', None)
            case RequestEnded(request=request):
                self._open.pop(f'request {request}', None)
            case StopStarted(node=node):
                self._stopping.add(node)

    def _unfinished(self, node: str) -> str:
        for work, owner in self._open.items():
            if owner == node:
                return f'{node} stopped while {work} was in progress'
        return ''
