"""Broken connections that the kill of an agent excuses."""

import json
from pathlib import Path

import pytest

from anvilthread.reports.guarantees.connections_kept import ConnectionsKept
from anvilthread.reports.trace_file import read_trace

_KILLED_MS = 1000


def _write(path: Path, events: list[dict[str, object]]) -> None:
    ordered = sorted(events, key=lambda event: int(str(event['ts_ms'])))
    path.write_text(''.join(f'{json.dumps(event)}\n' for event in ordered))


@pytest.mark.parametrize(
    ('opened_ms', 'starts_ms', 'is_excused'),
    [
        (900, [0], True),
        # A busy client records the end of the handshake after the kill.
        (1040, [0], True),
        # The connection belongs to a later process of the same name.
        (1240, [0, 1200], False),
        # Without start events, the connection may belong to a later process.
        (1040, [], False),
    ],
)
def test_break_after_a_kill(
    tmp_path: Path, opened_ms: int, starts_ms: list[int], is_excused: bool
) -> None:
    """Guards against breaks excused by the kill of an earlier process."""
    agent = {'node': 'agent-1'}
    connection = {**agent, 'connection': 'c', 'service': 's'}
    path = tmp_path / 'trace.jsonl'
    _write(
        path,
        [
            *(
                {'kind': 'node_started', 'ts_ms': ts_ms, **agent}
                for ts_ms in starts_ms
            ),
            {
                'kind': 'node_stopped',
                'ts_ms': _KILLED_MS,
                **agent,
                'planned': False,
            },
            {'kind': 'connection_opened', 'ts_ms': opened_ms, **connection},
            {
                'kind': 'connection_closed',
                'ts_ms': 2400,
                **connection,
                'reason': 'reset',
            },
        ],
    )
    violations = list(ConnectionsKept().violations(read_trace(path).unwrap()))
    assert bool(violations) != is_excused
