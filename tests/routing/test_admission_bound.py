"""Admission bound of an agent, and slow start."""

import pytest

from anvilthread.address import Address
from anvilthread.clock import ManualClock
from anvilthread.routing.admission_bound import AdmissionBound
from anvilthread.routing.first_packet_action import FirstPacketAction
from anvilthread.routing.load_report import LoadReport
from anvilthread.routing.slow_start import SlowStart

ACCEPT = FirstPacketAction.ACCEPT
PASS_ON = FirstPacketAction.PASS_ON
DROP = FirstPacketAction.DROP


def _report(
    peer: int,
    connections: int,
    *,
    sequence: int = 1,
    slots: int = 1,
    warmth_percent: int = 100,
) -> LoadReport:
    return LoadReport(
        service=1,
        agent=Address(host='10.0.2.1', port=peer),
        incarnation=1,
        sequence=sequence,
        connections=connections,
        slots=slots,
        warmth_percent=warmth_percent,
    )


def _bound(levels: tuple[int, ...], *, slots: int = 1) -> AdmissionBound:
    bound = AdmissionBound(clock=ManualClock(), slots=slots)
    for peer, connections in enumerate(levels, start=1):
        bound.accept(_report(peer, connections))
    return bound


@pytest.mark.parametrize(
    ('levels', 'connections', 'expected'),
    [
        ((), 9000, ACCEPT),
        ((2000,) * 6, 2000, ACCEPT),
        ((2000,) * 6, 2100, PASS_ON),
        # One peer that reports zero does not lower the bound.
        ((2000,) * 5 + (0,), 2000, ACCEPT),
        ((2000, 0), 2000, ACCEPT),
        ((0,), 2000, ACCEPT),
        ((2000, 2000), 2100, PASS_ON),
        # A burst to this agent is passed on although its peers lag behind.
        ((1600,) * 6, 2000, PASS_ON),
        # Small numbers: 1.03 of 10 is less than one connection.
        ((10,) * 6, 11, ACCEPT),
        ((10,) * 6, 12, PASS_ON),
    ],
)
def test_bound_relative_to_peers(
    levels: tuple[int, ...], connections: int, expected: FirstPacketAction
) -> None:
    """Guards against overload of one agent and against unnecessary hops."""
    action = _bound(levels).decide(
        connections=connections, hops=0, has_alternate=True
    )
    assert action is expected


@pytest.mark.parametrize(
    ('hops', 'has_alternate', 'draining', 'expected'),
    [
        (0, True, False, PASS_ON),
        (1, True, False, ACCEPT),
        (0, False, False, ACCEPT),
        (0, True, True, PASS_ON),
        (1, True, True, DROP),
        (0, False, True, DROP),
    ],
)
def test_packet_is_passed_on_once(
    hops: int, has_alternate: bool, draining: bool, expected: FirstPacketAction
) -> None:
    """Guards against loops and new connections at a draining agent."""
    action = _bound((10,) * 6).decide(
        connections=100,
        hops=hops,
        has_alternate=has_alternate,
        draining=draining,
    )
    assert action is expected


def test_slots_scale_the_bound() -> None:
    """Guards against a target with many slots that refuses its share."""
    bound = _bound((1000,) * 6, slots=4)
    assert 4000 < bound.limit(3900) <= 4000 * 1.05


def test_cold_agent_has_a_lower_bound() -> None:
    """Guards against a cold target that receives its full load at once."""
    assert _bound((2000,) * 6).limit(0, 20) <= 0.2 * 2000 * 1.05


def test_cold_and_silent_peers_do_not_count() -> None:
    """Guards against new, empty peers that make all others pass on packets."""
    clock = ManualClock()
    bound = AdmissionBound(clock=clock)
    for peer in range(4):
        bound.accept(_report(peer + 1, 0, warmth_percent=50))
    assert bound.limit(2000) == float('inf')
    bound.accept(_report(9, 2000))
    assert 2000 < bound.limit(2000) < 2100
    clock.skip(10_000)
    assert bound.limit(2000) == float('inf')


def test_growing_peers_are_extrapolated() -> None:
    """Guards against unnecessary hops while all agents fill evenly."""
    clock = ManualClock()
    bound = AdmissionBound(clock=clock)
    for sequence in range(1, 4):
        for peer in range(1, 7):
            report = _report(peer, 200 * sequence, sequence=sequence)
            assert bound.accept(report)
        clock.skip(1000)
    assert 800 <= bound.limit(800) <= 800 * 1.05


def test_old_reports_and_more_peers_are_refused() -> None:
    """Guards against reordered reports and against unbounded memory."""
    bound = AdmissionBound(clock=ManualClock(), capacity=2)
    assert bound.accept(_report(1, 5, sequence=2))
    assert not bound.accept(_report(1, 5, sequence=1))
    assert bound.accept(_report(2, 5))
    assert not bound.accept(_report(3, 5))


def test_slow_start_rises_to_full() -> None:
    """Guards against a target that stays cold or starts with its full load."""
    clock = ManualClock()
    slow_start = SlowStart(clock=clock, duration_ms=4000)
    percentages = []
    for _ in range(6):
        percentages.append(slow_start.warmth_percent)
        clock.skip(1000)
    assert percentages == [20, 40, 60, 80, 100, 100]
