"""What an agent concludes from the heartbeats of its target."""

import pytest

from anvilthread.clock import ManualClock
from anvilthread.flows.target_watch import Heartbeat, TargetWatch
from anvilthread.telemetry.memory_log import MemoryLog

_INTERVAL_MS = 1200


def _heartbeat(
    sequence: int,
    *,
    target: str = 't-1',
    born_ms: int = 100,
    is_draining: bool = False,
) -> Heartbeat:
    return Heartbeat(
        target=target,
        born_ms=born_ms,
        service='bookings',
        sequence=sequence,
        is_draining=is_draining,
        slots=2,
        cold_ms=0,
    )


def _watch() -> tuple[TargetWatch, ManualClock]:
    clock = ManualClock(start_ms=1000)
    watch = TargetWatch(clock=clock, interval_ms=_INTERVAL_MS, log=MemoryLog())
    return watch, clock


@pytest.mark.parametrize(
    ('heartbeats', 'accepts'),
    [
        # Before the first heartbeat is due, opening packets try the target.
        ([], True),
        ([_heartbeat(1)], True),
        ([_heartbeat(1), _heartbeat(2, is_draining=True)], False),
        # A heartbeat that was sent earlier arrives later.
        ([_heartbeat(3, is_draining=True), _heartbeat(2)], False),
        # A draining target does not come back.
        ([_heartbeat(1, is_draining=True), _heartbeat(2)], False),
        # A new start under the same name or another one accepts again.
        ([_heartbeat(4, is_draining=True), _heartbeat(1, born_ms=200)], True),
        (
            [
                _heartbeat(4, is_draining=True),
                _heartbeat(1, target='t-2', born_ms=200),
            ],
            True,
        ),
        # A delayed heartbeat of the earlier start changes nothing.
        (
            [
                _heartbeat(1, target='t-2', born_ms=200),
                _heartbeat(9, is_draining=True),
            ],
            True,
        ),
    ],
)
def test_acceptance(heartbeats: list[Heartbeat], accepts: bool) -> None:
    """Guards against new flows at a leaving target, and none at a new one."""
    watch, _ = _watch()
    for heartbeat in heartbeats:
        watch.on_heartbeat(heartbeat)
    assert watch.accepts == accepts


@pytest.mark.parametrize('is_heard', [True, False])
@pytest.mark.parametrize(
    ('silence_ms', 'accepts'), [(1200, True), (2900, True), (3100, False)]
)
def test_silent_target(is_heard: bool, silence_ms: int, accepts: bool) -> None:
    """Guards against new flows at a target that is silent, or never spoke."""
    watch, clock = _watch()
    if is_heard:
        watch.on_heartbeat(_heartbeat(1))
    clock.advance(silence_ms)
    assert watch.accepts == accepts


def test_restart_is_told_once() -> None:
    """Guards against flows kept that a restarted target has lost."""
    watch, _ = _watch()
    assert not watch.on_heartbeat(_heartbeat(5))
    assert watch.on_heartbeat(_heartbeat(1, born_ms=300))
    assert not watch.on_heartbeat(_heartbeat(2, born_ms=300))
    assert not watch.on_heartbeat(_heartbeat(6))


def test_departed_target_is_not_heard() -> None:
    """Guards against flows taken over for a target that has just stopped."""
    watch, _ = _watch()
    watch.on_heartbeat(_heartbeat(1))
    assert watch.is_alive
    watch.on_departure('t-1')
    assert not watch.is_alive
    assert not watch.accepts
