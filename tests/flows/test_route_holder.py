"""The configuration in force never reverts to an older version."""

import pytest

from anvilthread.clock import ManualClock
from anvilthread.flows.route_holder import RouteHolder
from anvilthread.flows.route_table import RouteTable
from anvilthread.telemetry.memory_log import MemoryLog
from standins.flow_cluster import SERVICE, route_table


@pytest.mark.parametrize(
    ('versions', 'in_force'),
    [('12', 2), ('21', 2), ('5394', 9), ('33', 3)],
)
def test_highest_version_stays_in_force(versions: str, in_force: int) -> None:
    """Guards against a store or peer that returns an older version."""
    log = MemoryLog()
    holder = RouteHolder(clock=ManualClock(), log=log)
    for version in map(int, versions):
        holder.update(route_table(version, {80: SERVICE}), 'test')
    assert holder.table.version == in_force


@pytest.mark.parametrize(
    ('ages_ms', 'check_age_ms'),
    [
        ([100], 100),
        ([-1], -1),
        ([40, 100], 40),
        ([100, 40], 40),
        ([40, -1], 40),
    ],
)
def test_latest_check_counts(ages_ms: list[int], check_age_ms: int) -> None:
    """Guards against an older check that hides how old the last one is."""
    holder = RouteHolder(clock=ManualClock(start_ms=5000), log=MemoryLog())
    holder.update(route_table(2, {80: SERVICE}), 'test')
    for age_ms in ages_ms:
        holder.confirm(age_ms)
    assert holder.check_age_ms == check_age_ms


def test_other_document_of_the_same_version_is_logged_once() -> None:
    """Guards against two documents of one version that nobody notices."""
    log = MemoryLog()
    holder = RouteHolder(clock=ManualClock(), log=log)
    holder.update(route_table(2, {80: SERVICE}), 'store')
    other = RouteTable(version=2, routes={}, idle_ms=1, document=b'other')
    for _ in range(3):
        holder.update(other, 'store')
        holder.update(route_table(2, {80: SERVICE}), 'store')
    assert len(holder.table) == 1
    assert len(log.named('configuration_differs')) == 1
