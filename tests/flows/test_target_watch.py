"""Liveness of the target of an agent by its heartbeats."""

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
        # Before the first heartbeat is due, opening packets test the target.
        ([], True),
        ([_heartbeat(1)], True),
        ([_heartbeat(1), _heartbeat(2, is_draining=True)], False),
        # An earlier heartbeat arrives later.
        ([_heartbeat(3, is_draining=True), _heartbeat(2)], False),
        # A draining target does not accept again.
        ([_heartbeat(1, is_draining=True), _heartbeat(2)], False),
        # A new incarnation accepts, with the same name or another one.
        ([_heartbeat(4, is_draining=True), _heartbeat(1, born_ms=200)], True),
        (
            [
                _heartbeat(4, is_draining=True),
                _heartbeat(1, target='t-2', born_ms=200),
            ],
            True,
        ),
        # A delayed heartbeat of the earlier incarnation changes nothing.
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
    """Guards against new flows at a stopping target, and none at a new one."""
    watch, _ = _watch()
    for heartbeat in heartbeats:
        watch.on_heartbeat(heartbeat)
    assert watch.accepts == accepts


@pytest.mark.parametrize('has_heartbeat', [True, False])
@pytest.mark.parametrize(
    ('silence_ms', 'accepts'), [(1200, True), (2900, True), (3100, False)]
)
def test_silent_target(
    has_heartbeat: bool, silence_ms: int, accepts: bool
) -> None:
    """Guards against new flows at a silent target.

    It counts as silent whether it has stopped sending or never sent anything.
    """
    watch, clock = _watch()
    if has_heartbeat:
        watch.on_heartbeat(_heartbeat(1))
    clock.advance(silence_ms)
    assert watch.accepts == accepts


def test_restart_is_reported_once() -> None:
    """Guards against flows kept that a restarted target has lost."""
    watch, _ = _watch()
    assert not watch.on_heartbeat(_heartbeat(5))
    assert watch.on_heartbeat(_heartbeat(1, born_ms=300))
    assert not watch.on_heartbeat(_heartbeat(2, born_ms=300))
    assert not watch.on_heartbeat(_heartbeat(6))


def test_departed_target_is_not_alive() -> None:
    """Guards against flows recovered for a target that has just stopped."""
    watch, _ = _watch()
    watch.on_heartbeat(_heartbeat(1))
    assert watch.is_alive
    watch.on_departure('t-1')
    assert not watch.is_alive
    assert not watch.accepts
