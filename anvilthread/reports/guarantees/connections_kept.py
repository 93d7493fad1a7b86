"""Guarantee 1: connections stay up through planned changes."""

from collections import defaultdict
from collections.abc import Iterator
from typing import Final

from anvilthread.reports.connection_events import (
    ConnectionClosed,
    ConnectionOpened,
)
from anvilthread.reports.guarantees.violation import Violation
from anvilthread.reports.node_events import NodeStopped
from anvilthread.reports.trace import Trace


class ConnectionsKept:
    """No connection breaks but those of an agent that was killed."""

    __slots__ = ()

    name: Final = 'connections_kept'
    statement: Final = 'connections stay up through planned changes'

    def evidence(self, trace: Trace) -> int:
        """Number of connections that ended."""
        return sum(1 for _ in trace.only(ConnectionClosed))

    def violations(self, trace: Trace) -> Iterator[Violation]:
        """Yields the broken connections of agents that were not killed."""
        kills = _kills(trace)
        opened_ms = {
            line.event.connection: line.event.ts_ms
            for line in trace.only(ConnectionOpened)
        }
        for line in trace.only(ConnectionClosed):
            closed = line.event
            if not closed.reason.is_broken:
                continue
            start_ms = opened_ms.get(closed.connection, 0)
            # A process started after a kill may reuse the name of its node.
            is_excused = any(
                start_ms <= killed_ms <= closed.ts_ms
                for killed_ms in kills[closed.node]
            )
            if not is_excused:
                yield Violation(
                    line=line.number,
                    reason=f'connection {closed.connection} of'
                    f' {closed.service} broke: {closed.reason}',
                )


def _kills(trace: Trace) -> dict[str, list[int]]:
    kills = defaultdict[str, list[int]](list)
    for line in trace.only(NodeStopped):
        if not line.event.planned:
            kills[line.event.node].append(line.event.ts_ms)
    return kills
