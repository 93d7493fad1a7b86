"""Liveness of the target of an agent by its heartbeats."""

import pytest

from anvilthread.clock import ManualClock
from anvilthread.flows.heartbeat import Heartbeat, HeartbeatEffect
from anvilthread.flows.target_watch import TargetWatch
from anvilthread.telemetry.memory_log import MemoryLog

_INTERVAL_MS = 1200


def _heartbeat(
    sequence: int,
    *,
    target: str = 't-1',
    born_ms: int = 100,
    is_draining: bool = False,
    cold_ms: int = 0,
) -> Heartbeat:
    return Heartbeat(
        target=target,
        born_ms=born_ms,
        service='bookings',
        sequence=sequence,
        is_draining=is_draining,
        slots=2,
        cold_ms=cold_ms,
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


@pytest.mark.parametrize('target', ['t-1', 't-2'])
@pytest.mark.parametrize('is_draining', [True, False])
def test_restart_is_reported_once(target: str, is_draining: bool) -> None:
    """Guards against flows kept that a restarted target has lost.

    A new incarnation accepts flows, with the same name or another one.
    """
    watch, clock = _watch()
    assert watch.on_heartbeat(_heartbeat(5, is_draining=is_draining)) == (
        HeartbeatEffect(is_accepted=True)
    )
    for _ in range(100):
        clock.advance(20)
        watch.tick()
    first_heard_ms = clock.now_ms()
    effects = []
    for sequence in range(1, 4):
        heartbeat = _heartbeat(sequence, target=target, born_ms=300)
        effects.append(watch.on_heartbeat(heartbeat))
        clock.advance(40)
    assert [effect.is_accepted for effect in effects] == [False, True, True]
    assert effects[1].replaced == _heartbeat(5, is_draining=is_draining)
    lost_before_ms = effects[1].lost_before_ms
    assert lost_before_ms is not None
    # Between the last packet of the one and the first one of the other.
    assert 1000 < lost_before_ms <= first_heard_ms
    assert effects[2].lost_before_ms is None
    assert watch.accepts
    assert not watch.on_heartbeat(_heartbeat(6)).is_accepted
    assert watch.accepts


def test_restarted_target_is_cold_before_it_is_followed() -> None:
    """Guards against more flows than a target that has restarted bears.

    Its heartbeats are ignored until the earlier incarnation has been silent.
    """
    watch, _ = _watch()
    watch.on_heartbeat(_heartbeat(5))
    effect = watch.on_heartbeat(_heartbeat(1, born_ms=900, cold_ms=2000))
    assert not effect.is_accepted
    assert watch.cold_ms == 2000


def test_departed_target_is_not_alive() -> None:
    """Guards against flows recovered for a target that has just stopped."""
    watch, _ = _watch()
    watch.on_heartbeat(_heartbeat(1))
    assert watch.is_alive
    watch.on_departure('t-1')
    assert not watch.is_alive
    assert not watch.accepts


@pytest.mark.parametrize(
    ('is_draining', 'silence_ms', 'departs', 'has_departed'),
    [
        (False, 0, False, False),
        (True, 0, False, False),
        (False, 10_000, False, False),
        (True, 10_000, False, True),
        (True, 0, True, True),
        (False, 0, True, True),
    ],
)
def test_departure_shows_that_flows_have_ended(
    is_draining: bool, silence_ms: int, departs: bool, has_departed: bool
) -> None:
    """Guards against flows given up while a draining target still serves."""
    watch, clock = _watch()
    watch.on_heartbeat(_heartbeat(1, is_draining=is_draining))
    clock.advance(silence_ms)
    if departs:
        watch.on_departure('t-1')
    assert watch.has_departed == has_departed


@pytest.mark.parametrize(
    ('sequence', 'born_ms', 'cold_ms', 'saw_start'),
    [
        (1, 0, 0, True),
        # An earlier process may have received the first one, and flows since.
        (2, 0, 0, False),
        (2, 1100, 0, False),
        # The clocks were at 1000 ms when the agent started, 200 ms ago.
        (5, 1100, 1900, True),
        (5, 800, 1600, True),
        (5, 600, 1400, False),
        # It has sent no more heartbeats than if they had been acknowledged.
        (2, 200, 400, False),
        (3, -1700, 400, False),
        # The time of day has jumped back by about the age of the target.
        (50, 1100, 0, False),
        # The target's start lies in the future, or is not given.
        (5, 1300, 1900, False),
        (5, 0, 1900, False),
    ],
)
def test_target_that_started_with_its_agent(
    sequence: int, born_ms: int, cold_ms: int, saw_start: bool
) -> None:
    """Guards against agents that do not know that their target is new.

    Pattern: a VM loses power; its target starts 0.2 s before its agent and
    sends heartbeats until one is received. An agent that takes it for an old
    one offers it a packet of every lost flow.
    """
    watch, clock = _watch()
    clock.advance(200)
    watch.on_heartbeat(_heartbeat(sequence, born_ms=born_ms, cold_ms=cold_ms))
    assert watch.saw_target_start == saw_start


@pytest.mark.parametrize(
    ('sign', 'is_listening', 'is_absent'),
    [
        (None, False, True),
        (None, True, False),
        ('heartbeat', False, False),
        ('packet', False, False),
    ],
)
def test_probe_shows_an_absent_target(
    sign: str | None, is_listening: bool, is_absent: bool
) -> None:
    """Guards against agents that wait for a target that does not return.

    Pattern: a power loss; the targets of some agents had been drained before.
    """
    watch, _ = _watch()
    if sign == 'heartbeat':
        watch.on_heartbeat(_heartbeat(1))
    elif sign == 'packet':
        watch.on_packet()
    watch.on_probe(is_listening=is_listening)
    assert watch.is_absent == is_absent
    assert watch.has_departed == is_absent
    assert watch.accepts != is_absent
    # A target that starts later ends the absence.
    watch.on_heartbeat(_heartbeat(2))
    assert not watch.is_absent
    assert watch.accepts
