"""Outlier detection for the target of an agent."""

import pytest

from anvilthread.clock import ManualClock
from anvilthread.flows.target_health import TargetHealth
from anvilthread.telemetry.memory_log import MemoryLog

_STEP_MS = 50


#: Long enough after the start for refusals to count.
_SETTLED_MS = 3500


def _health(
    uptime_ms: int = _SETTLED_MS,
) -> tuple[TargetHealth, ManualClock]:
    clock = ManualClock(start_ms=1000)
    health = TargetHealth(clock=clock, log=MemoryLog())
    clock.advance(uptime_ms)
    return health, clock


def _record_answers(
    health: TargetHealth,
    clock: ManualClock,
    statuses: tuple[int, ...],
    *,
    working: int = 1,
) -> None:
    for status in statuses:
        clock.advance(_STEP_MS)
        health.record_answer(status=status, working=working, slots=1)


@pytest.mark.parametrize(
    ('statuses', 'working', 'is_failing'),
    [
        ((200,) * 20, 1, False),
        # Client errors do not count against the target.
        ((404,) * 20, 1, False),
        ((500,), 1, False),
        ((500,) * 3, 1, True),
        # Single failures among many successes.
        ((200,) * 20 + (500,) + (200,) * 5 + (500,), 1, False),
        # Two of five fail.
        ((200, 500, 200, 500, 200) * 4, 1, True),
        # It refuses although it has capacity.
        ((503,) * 6, 1, True),
        # It refuses because it is overloaded, which is no outlier.
        ((503,) * 6, 8, False),
    ],
)
def test_outcomes(
    statuses: tuple[int, ...], working: int, is_failing: bool
) -> None:
    """Guards against failing targets that are missed, and false ejections."""
    health, clock = _health()
    _record_answers(health, clock, statuses, working=working)
    assert health.is_failing == is_failing


@pytest.mark.parametrize(('status', 'is_failing'), [(503, False), (500, True)])
def test_refusals_after_the_start_of_an_agent(
    status: int, is_failing: bool
) -> None:
    """Guards against ejection of full targets when their agents restart.

    Pattern: all agents are killed under load; their targets continue, and
    refuse what exceeds their capacity beside requests that no agent knows.
    """
    health, clock = _health(uptime_ms=0)
    _record_answers(health, clock, (status,) * 6)
    assert health.is_failing == is_failing


def test_ejection_doubles_and_starts_over() -> None:
    """Guards against a failing target that receives requests every second.

    Each ejection is at least as long as the previous one, up to a maximum;
    after a longer time without failures, the first duration applies again.
    """
    health, clock = _health()
    ejections_ms = []
    for _ in range(5):
        _record_answers(health, clock, (500,) * 4)
        ejection_ms = 0
        while health.is_failing:
            clock.advance(_STEP_MS)
            ejection_ms += _STEP_MS
        ejections_ms.append(ejection_ms)
    assert ejections_ms[0] <= 1000
    assert ejections_ms == sorted(ejections_ms)
    assert 4000 < ejections_ms[-1] <= 8000
    clock.advance(11_000)
    _record_answers(health, clock, (500,) * 4)
    clock.advance(1000)
    assert not health.is_failing


@pytest.mark.parametrize(
    ('gaps_ms', 'is_failing'),
    [([], False), ([1100], True), ([1100, 3000], True), ([20_000], False)],
)
def test_crashes(gaps_ms: list[int], is_failing: bool) -> None:
    """Guards against full load on a target that crashes repeatedly."""
    health, clock = _health()
    health.record_crash()
    for gap_ms in gaps_ms:
        clock.advance(gap_ms)
        health.record_crash()
    assert health.is_failing == is_failing
