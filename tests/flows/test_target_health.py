"""When an agent takes its target for an outlier."""

import pytest

from anvilthread.clock import ManualClock
from anvilthread.flows.target_health import TargetHealth
from anvilthread.telemetry.memory_log import MemoryLog

_GAP_MS = 50


#: Long enough for an agent to know what its target works on.
_SETTLED_MS = 3500


def _health(
    uptime_ms: int = _SETTLED_MS,
) -> tuple[TargetHealth, ManualClock]:
    clock = ManualClock(start_ms=1000)
    health = TargetHealth(clock=clock, log=MemoryLog())
    clock.advance(uptime_ms)
    return health, clock


def _play(
    health: TargetHealth,
    clock: ManualClock,
    statuses: tuple[int, ...],
    *,
    working: int = 1,
) -> None:
    for status in statuses:
        clock.advance(_GAP_MS)
        health.record_answer(status=status, working=working, slots=1)


@pytest.mark.parametrize(
    ('statuses', 'working', 'is_failing'),
    [
        ((200,) * 20, 1, False),
        # A client's own fault says nothing about the target.
        ((404,) * 20, 1, False),
        ((500,), 1, False),
        ((500,) * 3, 1, True),
        # One slip among many successes.
        ((200,) * 20 + (500,) + (200,) * 5 + (500,), 1, False),
        # Two of five fail.
        ((200, 500, 200, 500, 200) * 4, 1, True),
        # It refuses though it has room, as a target that lies does.
        ((503,) * 6, 1, True),
        # It refuses because it is full: an overload, not an outlier.
        ((503,) * 6, 8, False),
    ],
)
def test_outcomes(
    statuses: tuple[int, ...], working: int, is_failing: bool
) -> None:
    """Guards against failing targets that pass, and sound ones that do not."""
    health, clock = _health()
    _play(health, clock, statuses, working=working)
    assert health.is_failing == is_failing


@pytest.mark.parametrize(('status', 'is_failing'), [(503, False), (500, True)])
def test_agent_that_has_just_started(status: int, is_failing: bool) -> None:
    """Guards against full targets that rest after a restart of their agents.

    Pattern: all agents are killed under load; their targets work on, and
    refuse what does not fit beside the requests that no agent knows.
    """
    health, clock = _health(uptime_ms=0)
    _play(health, clock, (status,) * 6)
    assert health.is_failing == is_failing


def test_rest_doubles_and_is_forgiven() -> None:
    """Guards against a target that gets every second's requests to fail."""
    health, clock = _health()
    rests = []
    for _ in range(5):
        _play(health, clock, (500,) * 4)
        rest_ms = 0
        while health.is_failing:
            clock.advance(_GAP_MS)
            rest_ms += _GAP_MS
        rests.append(rest_ms)
    assert rests[0] <= 1000
    assert rests == sorted(rests)
    assert 4000 < rests[-1] <= 8000
    clock.advance(11_000)
    _play(health, clock, (500,) * 4)
    clock.advance(1000)
    assert not health.is_failing


@pytest.mark.parametrize(
    ('gaps_ms', 'is_failing'),
    [([], False), ([1100], True), ([1100, 3000], True), ([20_000], False)],
)
def test_crashes(gaps_ms: list[int], is_failing: bool) -> None:
    """Guards against full load for a target that goes down and up by turns."""
    health, clock = _health()
    health.record_crash()
    for gap_ms in gaps_ms:
        clock.advance(gap_ms)
        health.record_crash()
    assert health.is_failing == is_failing
