"""Load table: old reports, unconfirmed sends and capacity."""

import pytest

from anvilthread.address import Address
from anvilthread.clock import ManualClock
from anvilthread.routing.load_report import LoadReport
from anvilthread.routing.load_table import LoadTable

AGENT = Address(host='10.0.2.1', port=1)


def _report(
    *,
    incarnation: int = 1,
    sequence: int = 1,
    received: int = 0,
    agent: Address = AGENT,
) -> LoadReport:
    return LoadReport(
        service=1,
        agent=agent,
        incarnation=incarnation,
        sequence=sequence,
        connections=sequence,
        received=received,
    )


@pytest.mark.parametrize(
    ('incarnation', 'sequence', 'accepted'),
    [
        (5, 9, False),
        (5, 10, False),
        (5, 11, True),
        (4, 99, False),
        (6, 1, True),
    ],
)
def test_older_reports_are_ignored(
    incarnation: int, sequence: int, accepted: bool
) -> None:
    """Guards against a delayed report that overwrites a newer one."""
    table = LoadTable(clock=ManualClock())
    table.accept(_report(incarnation=5, sequence=10))
    late = _report(incarnation=incarnation, sequence=sequence)
    assert table.accept(late) is accepted
    report = table.load(AGENT).report
    assert report is not None
    assert report.connections == (sequence if accepted else 10)


def test_new_incarnation_forgets_own_sends() -> None:
    """Guards against sends that count as load of a replaced target."""
    table = LoadTable(clock=ManualClock())
    table.accept(_report())
    for _ in range(100):
        table.load(AGENT).record_send(3)
    table.accept(_report(incarnation=2))
    assert table.load(AGENT).pending == 0
    assert table.load(AGENT).expected == 0


def test_pending_sends_follow_the_agents_count() -> None:
    """Guards against a connection counted twice or not at all.

    A delayed report does not include the sends made before its arrival.
    """
    clock = ManualClock(start_ms=1)
    table = LoadTable(clock=clock)
    table.accept(_report(sequence=1, received=40))
    for _ in range(10):
        table.load(AGENT).record_send(1)
    clock.skip(1000)
    table.accept(_report(sequence=2, received=43))
    assert table.load(AGENT).pending == 7
    clock.skip(1000)
    table.accept(_report(sequence=3, received=50))
    assert table.load(AGENT).pending == 0


def test_lost_first_packets_expire() -> None:
    """Guards against lost packets that count as load indefinitely."""
    clock = ManualClock(start_ms=1)
    table = LoadTable(clock=clock)
    for sequence in range(1, 10):
        table.accept(_report(sequence=sequence))
        clock.skip(1000)
        if sequence == 2:
            for _ in range(20):
                table.load(AGENT).record_send(1)
    assert table.load(AGENT).pending == 0


@pytest.mark.parametrize('counted', [0, 20])
def test_counters_that_ignore_sends(counted: int) -> None:
    """Guards against trust in an agent that does not count its packets."""
    clock = ManualClock(start_ms=1)
    table = LoadTable(clock=clock)
    for sequence in range(1, 12):
        table.accept(_report(sequence=sequence, received=counted * sequence))
        for _ in range(20):
            table.load(AGENT).record_send(1)
        clock.skip(1000)
    assert table.load(AGENT).statistics.confirms_sends is bool(counted)


def test_restarted_balancer_ignores_former_count() -> None:
    """Guards against an offset by packets from before a restart.

    The agent's counter includes the sends of the previous process.
    """
    table = LoadTable(clock=ManualClock())
    table.load(AGENT).record_send(1)
    table.accept(_report(sequence=1, received=90_000))
    table.load(AGENT).record_send(1)
    assert table.load(AGENT).pending == 1


def test_duplicated_packets_do_not_hide_sends() -> None:
    """Guards against sends that count as confirmed before their arrival."""
    table = LoadTable(clock=ManualClock())
    table.accept(_report(sequence=1, received=40))
    table.load(AGENT).record_send(1)
    table.accept(_report(sequence=2, received=45))
    assert table.load(AGENT).pending == 0
    table.load(AGENT).record_send(1)
    assert table.load(AGENT).pending == 1


def test_counters_wrap() -> None:
    """Guards against a jump of the load when a counter wraps around."""
    clock = ManualClock()
    table = LoadTable(clock=clock)
    table.accept(_report(sequence=1, received=2**32 - 2))
    for _ in range(5):
        table.load(AGENT).record_send(1)
    clock.skip(1000)
    table.accept(_report(sequence=2, received=2))
    assert table.load(AGENT).pending == 1
    assert table.load(AGENT).statistics.received == 4


def test_table_is_bounded() -> None:
    """Guards against memory that grows with reports of unknown agents."""
    table = LoadTable(clock=ManualClock(), capacity=3)
    agents = [Address(host='10.0.2.1', port=port) for port in range(1, 10)]
    accepted = [table.accept(_report(agent=agent)) for agent in agents]
    assert accepted.count(True) == 3
    table.retain(agents[:1])
    assert len(table) == 1
