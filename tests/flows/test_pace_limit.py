"""The limit on the requests at a target, learned from its answers."""

from collections.abc import Callable
from random import Random
from statistics import mean
from typing import Final, TypeAlias

import pytest

from anvilthread.clock import ManualClock
from anvilthread.flows.heartbeat import Heartbeat
from anvilthread.flows.pace_limit import PaceLimit
from anvilthread.flows.target_watch import TargetWatch
from anvilthread.telemetry.memory_log import MemoryLog
from standins.paced_target import PacedRequest, PacedTarget

_START_MS: Final = 1000
#: Time for which the load of a case lasts.
_LOAD_MS: Final = 4000
#: Requests that wait at the agent when the target is never to be idle.
_BACKLOG: Final = 20

_Service: TypeAlias = Callable[[Random, int], PacedRequest]


def _limit(slots: int) -> tuple[PaceLimit, ManualClock]:
    clock = ManualClock(start_ms=_START_MS)
    target = TargetWatch(clock=clock, interval_ms=1200, log=MemoryLog())
    target.on_heartbeat(
        Heartbeat(
            target='t-1',
            born_ms=1,
            service='heat',
            sequence=1,
            is_draining=False,
            slots=slots,
            cold_ms=0,
        )
    )
    return PaceLimit(clock=clock, target=target), clock


def _request(now_ms: int, service_ms: float, **fields: int) -> PacedRequest:
    return PacedRequest(
        offered_ms=now_ms, service_ms=max(round(service_ms), 1), **fields
    )


def _constant(service_ms: float) -> _Service:
    return lambda _random, now_ms: _request(now_ms, service_ms)


def _tailed(service_ms: float) -> _Service:
    def draw(random: Random, now_ms: int) -> PacedRequest:
        factor = 7 if random.random() < 0.03 else 1
        return _request(now_ms, service_ms * factor)

    return draw


def _mixed(random: Random, now_ms: int) -> PacedRequest:
    return _request(now_ms, random.uniform(5, 70))


def _changing(before_ms: float, after_ms: float) -> _Service:
    def draw(_random: Random, now_ms: int) -> PacedRequest:
        has_changed = now_ms > _START_MS + _LOAD_MS / 2
        return _request(now_ms, after_ms if has_changed else before_ms)

    return draw


def _large(_random: Random, now_ms: int) -> PacedRequest:
    return _request(now_ms, 10, hold_ms=30)


def _load(
    draw: _Service, *, said: int, slots: int
) -> tuple[PaceLimit, list[int], PacedTarget]:
    """Keeps a target busy; returns the limits over the last half."""
    random = Random(1)
    limit, clock = _limit(said)
    target = PacedTarget(clock=clock, limit=limit, slots=slots)
    limits = []
    target.step([draw(random, clock.now_ms()) for _ in range(_BACKLOG)])
    answered = 0
    for _ in range(_LOAD_MS):
        ended = len(target.answered) - answered
        answered += ended
        target.step([draw(random, clock.now_ms()) for _ in range(ended)])
        limits.append(limit.limit)
    return limit, limits[_LOAD_MS // 2 :], target


def _is_within(value: float, bounds: tuple[float, float]) -> bool:
    return bounds[0] <= value <= bounds[1]


@pytest.mark.parametrize(
    ('draw', 'said', 'slots', 'run_ms', 'mean_limit'),
    [
        (_constant(30), 1, 1, (29, 31), (2, 2)),
        (_constant(30), 2, 2, (29, 31), (4, 4)),
        (_constant(5), 1, 1, (4, 6), (2, 2)),
        (_constant(70), 2, 2, (69, 71), (4, 4)),
        # Targets of uneven speeds.
        (_constant(50), 1, 1, (49, 51), (2, 2)),
        (_constant(19), 2, 2, (18, 20), (4, 4)),
        # A few requests of many are long; the followers wait behind them.
        (_tailed(13), 1, 1, (12, 15), (1.9, 2)),
        (_tailed(13), 2, 2, (12, 15), (3.7, 4)),
        (_tailed(30), 8, 8, (29, 31), (15, 16)),
        (_mixed, 1, 1, (25, 50), (1.8, 2)),
        (_mixed, 2, 2, (25, 50), (3.4, 4)),
        # It has fewer slots than it says.
        (_constant(30), 4, 1, (25, 125), (1, 2.8)),
        (_constant(30), 8, 2, (25, 125), (1, 4.5)),
        # It has always been slow, which is no overload.
        (_constant(200), 1, 1, (198, 202), (2, 2)),
        # It turns slow, and stays so.
        (_changing(20, 120), 1, 1, (118, 122), (1.6, 2)),
        (_changing(120, 20), 1, 1, (19, 21), (2, 2)),
        # The slot stays occupied by the transfer of the answer.
        (_large, 1, 1, (38, 41), (2, 2)),
    ],
)
def test_busy_target(
    draw: _Service,
    said: int,
    slots: int,
    run_ms: tuple[float, float],
    mean_limit: tuple[float, float],
) -> None:
    """Guards against an idle slot, a queue at the target, a wrong estimate."""
    limit, limits, target = _load(draw, said=said, slots=slots)
    assert _is_within(limit.run_ms, run_ms)
    assert _is_within(mean(limits), mean_limit)
    assert target.refusals == 0


def _answer(limit: PaceLimit, clock: ManualClock, times: int) -> None:
    for _ in range(times):
        clock.advance(30)
        limit.on_answer(run_ms=30, working=1)


#: Events by name; a number is that many quick answers.
_Event: TypeAlias = str | int


@pytest.mark.parametrize(
    ('slots', 'events', 'expected'),
    [
        (1, [], 1),
        (4, [], 4),
        # One more for as many answers as the limit.
        (4, [3], 4),
        (4, [4], 5),
        (4, [8], 5),
        (4, [9], 6),
        (1, [50], 2),
        (4, [200], 8),
        # The target is full.
        (4, [200, 'refusal'], 4),
        (4, [200, 'refusal', 'refusal'], 4),
        (4, [200, 'refusal', 'pause', 'refusal'], 2),
        (4, [200, 'failure'], 4),
        (1, ['refusal', 'pause', 'refusal', 'failure'], 1),
        # It has become slow: a few long requests do not show that, and each
        # decrease needs answers to requests that came after the last one.
        (8, [200, *('slow',) * 4], 16),
        (8, [200, *('slow',) * 5], 8),
        (8, [200, *('slow',) * 9], 8),
        (8, [200, *('slow',) * 10], 4),
        # An ejection takes several failures; the target returns with 1.
        (8, [200, 'failure', 'failure', 'failure'], 1),
        (8, [200, 'failure', 2, 'failure', 1, 'failure'], 1),
        # Partly failing: single failures with answers between.
        (8, [200, 'failure', 30, 'failure'], 6),
        # It flaps, and recovers.
        (2, [20, 'failure', 'failure', 'failure', 1], 2),
        (2, [20, 'failure', 'failure', 'failure', 20], 4),
        (4, [200, 'restart'], 4),
        (4, ['failure', 'failure', 'restart'], 4),
        (4, [200, 'failure', 'restart', 'failure'], 2),
    ],
)
def test_events(slots: int, events: list[_Event], expected: int) -> None:
    """Guards against a limit that does not open, close or start over."""
    limit, clock = _limit(slots)
    calls = {
        'refusal': limit.on_refusal,
        'failure': limit.on_failure,
        'restart': limit.restart,
        'slow': lambda: limit.on_answer(run_ms=300, working=2),
        'pause': lambda: clock.advance(100),
    }
    for event in events:
        if isinstance(event, int):
            _answer(limit, clock, event)
        else:
            calls[event]()
    assert limit.limit == expected


def test_restart_discards_the_service_time() -> None:
    """Guards against a new target judged by the speed of the earlier one."""
    limit, clock = _limit(2)
    _answer(limit, clock, 40)
    assert limit.run_ms == 30
    limit.restart()
    assert limit.run_ms == 0
    for _ in range(20):
        clock.advance(100)
        limit.on_answer(run_ms=100, working=1)
    assert limit.limit == 4


@pytest.mark.parametrize(
    ('run_ms', 'working'),
    [(-50, 1), (1_000_000, 1), (30, 0), (30, 1_000_000)],
)
def test_impossible_answers(run_ms: int, working: int) -> None:
    """Guards against one wrong measurement that closes the limit."""
    limit, clock = _limit(1)
    _answer(limit, clock, 40)
    limit.on_answer(run_ms=run_ms, working=working)
    _answer(limit, clock, 1)
    assert (limit.limit, limit.run_ms) == (2, 30)
