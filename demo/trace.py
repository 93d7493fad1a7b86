"""The trace of one cluster's run; see docs/traces.md."""

import json
import re
import time
from collections.abc import Iterable
from datetime import datetime
from pathlib import Path
from typing import Any, Final

_MS_PER_SECOND: Final = 1000
_IN_FORCE: Final = re.compile(
    r'time=(\S+) .* event=configuration_in_force node=(\S+) revision=(\d+)'
)
_STARTED: Final = re.compile(r'time=(\S+) .* event=node_started node=(\S+)')


class Trace:
    """Collects the events of a run from several sources."""

    __slots__ = ('_events',)

    def __init__(self) -> None:
        self._events: list[dict[str, Any]] = []

    def add(self, kind: str, node: str, **fields: object) -> None:
        """Records an event that happens now."""
        self._add(kind, int(time.time() * _MS_PER_SECOND), node, **fields)

    def add_clients(self, events: Iterable[dict[str, Any]]) -> None:
        """Adds events that clients recorded under the IP of an agent."""
        for event in events:
            number = event['node'].rpartition('.')[2]
            node = f'agent-{number}' if number.isdecimal() else event['node']
            self._events.append({**event, 'node': node})

    def add_ledger(self, path: Path, node: str) -> None:
        """Adds the runs of a target; converts its ledger's monotonic times."""
        if not path.exists():
            return
        offset_ms = int((time.time() - time.monotonic()) * _MS_PER_SECOND)
        lines = path.read_text().splitlines()
        for entry in map(json.loads, lines):
            service = entry['id'].rpartition('-')[0]
            run = f'{node}/{entry["id"]}/{entry["started"]}'
            if entry['outcome'] == 'started':
                self._add(
                    'run_started',
                    entry['started'] + offset_ms,
                    node,
                    run=run,
                    request=entry['id'],
                    service=service,
                    key=None,
                    idempotent=False,
                )
            else:
                self._add(
                    'run_ended',
                    entry['finished'] + offset_ms,
                    node,
                    run=run,
                    digest=entry['id'],
                    interrupted=entry['outcome'] == 'killed',
                )

    def add_log(self, path: Path) -> None:
        """Adds the start of a node and the revisions that came into force."""
        for started in _STARTED.finditer(path.read_text()):
            self._add('node_started', _wall_ms(started[1]), started[2])
        for match in _IN_FORCE.finditer(path.read_text()):
            revision = int(match[3])
            if revision:
                self._add(
                    'configuration_in_force',
                    _wall_ms(match[1]),
                    match[2],
                    revision=revision,
                )

    def count_lost(self) -> int:
        """Returns the number of connections that ended with a killed agent."""
        return len(self._lost_connections())

    def reset_delay_s(self) -> float:
        """Returns the longest time from an agent kill to a connection end."""
        kill_times_ms = self._kill_times_ms()
        delays = [
            event['ts_ms'] - kill_times_ms[event['node']]
            for event in self._lost_connections()
        ]
        return max(delays, default=0) / _MS_PER_SECOND

    def _kill_times_ms(self) -> dict[str, int]:
        return {
            event['node']: event['ts_ms']
            for event in self._events
            if event['kind'] == 'node_stopped' and not event['planned']
        }

    def _lost_connections(self) -> list[dict[str, Any]]:
        kill_times_ms = self._kill_times_ms()
        return [
            event
            for event in self._events
            if event.get('reason') not in {None, 'client_closed'}
            and event['node'] in kill_times_ms
        ]

    def write(self, path: Path) -> None:
        """Writes the events in order of time."""
        ordered = sorted(self._events, key=lambda event: event['ts_ms'])
        path.write_text(''.join(f'{json.dumps(event)}\n' for event in ordered))

    def _add(self, kind: str, ts_ms: int, node: str, **fields: object) -> None:
        self._events.append(
            {'kind': kind, 'ts_ms': ts_ms, 'node': node, **fields}
        )


def _wall_ms(text: str) -> int:
    wall_time = datetime.fromisoformat(text)
    return int(wall_time.timestamp() * _MS_PER_SECOND)
