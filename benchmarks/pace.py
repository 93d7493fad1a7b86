"""Limits on the requests at a target: published methods, and PaceLimit.

One agent queues requests in front of one target. 20 requests per slot wait at
the start, as after a loss of power, and 80% of the capacity arrive afterwards.
Each method meets the same requests. The reference is a limit of twice the real
number of slots, which is what the methods have to find out.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from statistics import mean, quantiles
from typing import Final

from anvilthread.clock import Clock, ManualClock
from anvilthread.flows.heartbeat import Heartbeat
from anvilthread.flows.pace_limit import PaceLimit
from anvilthread.flows.target_watch import TargetWatch
from anvilthread.flows.work_limit import WorkLimit
from anvilthread.telemetry.memory_log import MemoryLog
from benchmarks.pace_methods import (
    Aimd,
    AimdBySlowAnswer,
    FixedLimit,
    LatencyGradient,
    SojournTime,
    TimedSlowStart,
)
from benchmarks.pace_scenario import (
    DURATION_MS,
    SCENARIOS,
    START_MS,
    PaceScenario,
)
from benchmarks.table import print_table
from standins.paced_target import PacedRequest, PacedTarget

_SEEDS: Final = 5
#: Start, in which the backlog is served and a method has to open.
_OPENING_MS: Final = 1500
_BACKLOG: Final = 20
_LOAD: Final = 0.8
#: Window in which throughput is compared, and the share that is full.
_WINDOW_MS: Final = 500
_FULL_SHARE: Final = 0.95

_METHODS: Final[dict[str, Callable[..., WorkLimit]]] = {
    'fixed': FixedLimit,
    'by time': TimedSlowStart,
    'AIMD': Aimd,
    'each slow': AimdBySlowAnswer,
    'gradient': LatencyGradient,
    'sojourn': SojournTime,
    'PaceLimit': PaceLimit,
}


@dataclass(frozen=True, kw_only=True)
class _Figures:
    """Figures of one method in one scenario, means over the seeds.

    Attributes:
        full_ms: Time after which the throughput equals the reference's.
        first_ms: Mean response time above the reference's, for requests of the
            start.
        later_ms: The same for all later requests.
        queued_ms: 99th percentile of the wait in the target's own queue.
        refusals: Requests that the target refused as full, of all seeds.
        given_up: Requests whose clients gave up in the agent's queue.
    """

    full_ms: float
    first_ms: float
    later_ms: float
    queued_ms: float
    refusals: int
    given_up: int


_TABLES: Final[dict[str, Callable[[_Figures], str]]] = {
    'Time to full throughput, ms': lambda one: f'{one.full_ms:.0f}',
    'Excess response time at the start / later, ms': lambda one: (
        f'{round(one.first_ms)}/{round(one.later_ms)}'
    ),
    'Wait in the queue of the target, 99th percentile, ms': lambda one: (
        f'{one.queued_ms:.0f}'
    ),
    'Refusals by the target, 5 runs': lambda one: f'{one.refusals}',
    'Requests given up in the agent, 5 runs': lambda one: f'{one.given_up}',
}

_ZEROS: Final = frozenset(('0', '0/0'))


def run() -> None:
    """Prints a table per metric, without rows of zeros."""
    results = {
        f'{name}, {slots}': [
            _compare(create, scenario, slots) for create in _METHODS.values()
        ]
        for name, scenario in SCENARIOS.items()
        for slots in (1, 2)
    }
    for title, show in _TABLES.items():
        rows = [
            [name, *(show(one) for one in figures)]
            for name, figures in results.items()
            if any(show(one) not in _ZEROS for one in figures)
        ]
        print_table(title, ('requests, slots', *_METHODS), rows)


def _compare(
    create: Callable[..., WorkLimit], scenario: PaceScenario, slots: int
) -> _Figures:
    runs = [
        (
            _play(create, scenario, slots, slots * scenario.said, seed),
            _play(FixedLimit, scenario, slots, slots, seed),
        )
        for seed in range(_SEEDS)
    ]
    return _Figures(
        full_ms=mean(_find_full(played, ideal) for played, ideal in runs),
        first_ms=mean(
            _mean_response(played, 0, _OPENING_MS)
            - _mean_response(ideal, 0, _OPENING_MS)
            for played, ideal in runs
        ),
        later_ms=mean(
            _mean_response(played, _OPENING_MS, DURATION_MS)
            - _mean_response(ideal, _OPENING_MS, DURATION_MS)
            for played, ideal in runs
        ),
        queued_ms=mean(_wait_at_target(played) for played, _ in runs),
        refusals=sum(played.refusals for played, _ in runs),
        given_up=sum(played.given_up for played, _ in runs),
    )


def _play(
    create: Callable[..., WorkLimit],
    scenario: PaceScenario,
    slots: int,
    said: int,
    seed: int,
) -> PacedTarget:
    clock = ManualClock(start_ms=START_MS)
    limit = create(clock=clock, target=_make_watch(clock, said))
    target = PacedTarget(clock=clock, limit=limit, slots=slots)
    # Requests and arrivals are drawn apart, so that methods meet the same.
    random = Random(seed)
    offered = [scenario.draw(random, 0) for _ in range(_BACKLOG * slots)]
    if scenario.per_s:
        offered.clear()
    for at_ms in range(DURATION_MS):
        rate = scenario.per_s / 1000
        rate = rate or _LOAD * slots / scenario.mean_ms(at_ms)
        if random.random() < rate:
            offered.append(scenario.draw(random, at_ms))
        target.step(offered)
        offered = []
    return target


def _make_watch(clock: Clock, slots: int) -> TargetWatch:
    watch = TargetWatch(clock=clock, interval_ms=1200, log=MemoryLog())
    watch.on_heartbeat(
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
    return watch


def _find_full(played: PacedTarget, ideal: PacedTarget) -> int:
    """Returns when the throughput first equals that of the reference."""
    for since_ms in range(0, DURATION_MS - _WINDOW_MS, 20):
        wanted = _count(ideal, since_ms) * _FULL_SHARE
        if _count(played, since_ms) >= wanted:
            return since_ms
    return DURATION_MS


def _count(target: PacedTarget, since_ms: int) -> int:
    return sum(
        since_ms <= _answered_ms(request) - START_MS < since_ms + _WINDOW_MS
        for request in target.answered
    )


def _mean_response(target: PacedTarget, since_ms: int, until_ms: int) -> float:
    times = [
        _answered_ms(request) - request.offered_ms
        for request in target.answered
        if since_ms <= request.offered_ms - START_MS < until_ms
    ]
    return mean(times) if times else 0


def _wait_at_target(target: PacedTarget) -> float:
    """Returns the 99th percentile of the wait in the target's own queue."""
    waits = [
        _answered_ms(request) - request.reached_ms - request.service_ms
        for request in target.answered
    ]
    return quantiles(waits, n=100)[-1] if len(waits) > 1 else 0


def _answered_ms(request: PacedRequest) -> int:
    return request.answered_ms or 0
