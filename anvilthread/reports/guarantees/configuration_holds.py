"""Guarantee 8: a configuration is soon in force and never reverts."""

from collections.abc import Iterator
from itertools import chain
from typing import Final

from anvilthread.reports.guarantees.violation import Violation
from anvilthread.reports.node_events import (
    ConfigurationAccepted,
    ConfigurationInForce,
    NodeStarted,
    NodeStopped,
)
from anvilthread.reports.trace import Trace, TraceLine

_LIMIT_MS: Final = 3000


class ConfigurationHolds:
    """Every node has each accepted revision in force within the limit.

    Args:
        limit_ms: Time since the acceptance, or since the start of a node that
            starts after it.
    """

    __slots__ = ('_limit_ms',)

    name: Final = 'configuration_holds'
    statement: Final = 'a configuration is soon in force and never reverts'

    def __init__(self, *, limit_ms: int = _LIMIT_MS) -> None:
        self._limit_ms = limit_ms

    def evidence(self, trace: Trace) -> int:
        """Number of revisions accepted and put in force."""
        return sum(1 for _ in trace.of_type(ConfigurationAccepted)) + sum(
            1 for _ in trace.of_type(ConfigurationInForce)
        )

    def violations(self, trace: Trace) -> Iterator[Violation]:
        """Yields reverts and revisions that were late at a node."""
        return chain(_reverts(trace), self._late_revisions(trace))

    def _late_revisions(self, trace: Trace) -> Iterator[Violation]:
        nodes = _lifetimes(trace)
        for line in trace.of_type(ConfigurationAccepted):
            for node, lifetime in nodes.items():
                if self._is_late(line, lifetime, trace.end_ms):
                    yield Violation(
                        line=line.number,
                        reason=f'revision {line.event.revision} was not in'
                        f' force at {node} after {self._limit_ms} ms',
                    )

    def _is_late(
        self,
        line: TraceLine[ConfigurationAccepted],
        lifetime: '_Lifetime',
        end_ms: int,
    ) -> bool:
        due_ms = max(line.event.ts_ms, lifetime.start_ms) + self._limit_ms
        if due_ms > min(lifetime.end_ms, end_ms):
            return False
        return not any(
            ts_ms <= due_ms and revision >= line.event.revision
            for ts_ms, revision in lifetime.in_force
        )


class _Lifetime:
    """Start and end of a node, and its revisions by time."""

    __slots__ = ('end_ms', 'in_force', 'start_ms')

    def __init__(self, *, start_ms: int, end_ms: int) -> None:
        self.start_ms = start_ms
        self.end_ms = end_ms
        self.in_force: list[tuple[int, int]] = []


def _lifetimes(trace: Trace) -> dict[str, _Lifetime]:
    nodes: dict[str, _Lifetime] = {}
    for line in trace.lines:
        event = line.event
        if isinstance(event, NodeStarted):
            nodes[event.node] = _Lifetime(
                start_ms=event.ts_ms, end_ms=trace.end_ms
            )
        elif isinstance(event, ConfigurationInForce):
            # A node that started before the trace has no start event.
            node = nodes.setdefault(
                event.node, _Lifetime(start_ms=0, end_ms=trace.end_ms)
            )
            node.in_force.append((event.ts_ms, event.revision))
        elif isinstance(event, NodeStopped) and event.node in nodes:
            nodes[event.node].end_ms = event.ts_ms
    return nodes


def _reverts(trace: Trace) -> Iterator[Violation]:
    highest: dict[str, int] = {}
    for line in trace.lines:
        event = line.event
        if isinstance(event, NodeStarted):
            highest.pop(event.node, None)
        elif isinstance(event, ConfigurationInForce):
            before = highest.get(event.node, event.revision)
            highest[event.node] = max(before, event.revision)
            if event.revision < before:
                yield Violation(
                    line=line.number,
                    reason=f'{event.node} went back from revision {before}'
                    f' to {event.revision}',
                )
