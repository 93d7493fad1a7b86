"""Counts of the connections of an agent."""

from typing import cast

import pytest

from anvilthread.address import Address
from anvilthread.agent.client_connection import ClientConnection
from anvilthread.agent.connection_table import ConnectionTable

_NOW_MS = 10_000


class _Connection:
    def __init__(self, opened_ms: int, *, is_established: bool) -> None:
        self.opened_ms = opened_ms
        self.is_established = is_established


def _add(table: ConnectionTable, connection: _Connection) -> ClientConnection:
    added = cast(ClientConnection, connection)
    port = len(table) + 1
    client = Address(host='127.0.0.1', port=port)
    table.add(added, table.create_ids(client, b'chosen'))
    return added


@pytest.mark.parametrize(
    ('age_ms', 'is_established', 'active', 'half_open'),
    [(10, False, 1, 1), (5000, False, 0, 1), (5000, True, 1, 0)],
)
def test_connection_counts(
    age_ms: int, is_established: bool, active: int, half_open: int
) -> None:
    """Guards against abandoned handshakes that are counted as load."""
    table = ConnectionTable()
    connection = _Connection(_NOW_MS - age_ms, is_established=is_established)
    added = _add(table, connection)
    assert table.count_active(_NOW_MS) == active
    assert table.half_open == half_open
    table.remove(added)
    assert table.count_active(_NOW_MS) == 0
    assert table.half_open == 0


def test_handshake_that_completes_late() -> None:
    """Guards against counts that miss the end of a late handshake."""
    table = ConnectionTable()
    connection = _Connection(_NOW_MS - 5000, is_established=False)
    _add(table, connection)
    assert table.count_active(_NOW_MS) == 0
    connection.is_established = True
    assert table.count_active(_NOW_MS) == 1
    assert table.half_open == 0
