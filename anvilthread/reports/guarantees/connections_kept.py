"""Guarantee 1: connections stay up through planned changes."""

from collections import defaultdict
from collections.abc import Iterator
from typing import Final

from anvilthread.reports.connection_events import (
    ConnectionClosed,
    ConnectionOpened,
)
from anvilthread.reports.guarantees.violation import Violation
from anvilthread.reports.node_events import NodeStarted, NodeStopped
from anvilthread.reports.trace import Trace


class ConnectionsKept:
    """Only connections of an agent that was killed may break."""

    __slots__ = ()

    name: Final = 'connections_kept'
    statement: Final = 'connections stay up through planned changes'

    def evidence(self, trace: Trace) -> int:
        """Number of connections that ended."""
        return sum(1 for _ in trace.of_type(ConnectionClosed))

    def violations(self, trace: Trace) -> Iterator[Violation]:
        """Yields the broken connections of agents that were not killed."""
        kills = _kills(trace)
        opened_ms = {
            line.event.connection: line.event.ts_ms
            for line in trace.of_type(ConnectionOpened)
        }
        starts = _starts(trace)
        for line in trace.of_type(ConnectionClosed):
            closed = line.event
            if not closed.reason.is_broken:
                continue
            start_ms = opened_ms.get(closed.connection, 0)
            is_excused = any(
                killed_ms <= closed.ts_ms
                and _belonged_to_killed(
                    start_ms, killed_ms, starts[closed.node]
                )
                for killed_ms in kills[closed.node]
            )
            if not is_excused:
                yield Violation(
                    line=line.number,
                    reason=f'connection {closed.connection} of'
                    f' {closed.service} broke: {closed.reason}',
                )


def _belonged_to_killed(
    start_ms: int, killed_ms: int, starts: list[int]
) -> bool:
    """Whether a connection belonged to the process that was killed.

    A busy client may record the end of a handshake after the kill. A process
    that has started since may reuse the name of the node; without start
    events in the trace, this cannot be ruled out.
    """
    if start_ms <= killed_ms:
        return True
    has_restarted = any(killed_ms < started <= start_ms for started in starts)
    return bool(starts) and not has_restarted


def _starts(trace: Trace) -> dict[str, list[int]]:
    starts = defaultdict[str, list[int]](list)
    for line in trace.of_type(NodeStarted):
        starts[line.event.node].append(line.event.ts_ms)
    return starts


def _kills(trace: Trace) -> dict[str, list[int]]:
    kills = defaultdict[str, list[int]](list)
    for line in trace.of_type(NodeStopped):
        if not line.event.planned:
            kills[line.event.node].append(line.event.ts_ms)
    return kills
