"""Wait of requests by the way in which balancers choose a target.

A plain loop in virtual time around the product's rosters and placement; the
targets and the refusals are models. The cost is processor time of this run.
"""

import heapq
import itertools
import time
import zlib
from collections import Counter, deque
from collections.abc import Callable
from enum import Enum
from functools import partial
from random import Random
from typing import Final

from anvilthread.clock import ManualClock
from anvilthread.flows.flow_key import FlowKey
from anvilthread.flows.flow_placement import CANDIDATES, FlowPlacement
from anvilthread.flows.known_node import KnownNode
from anvilthread.flows.node_messages import LoadReport
from anvilthread.flows.node_record import NodeRecord, NodeRole
from anvilthread.flows.roster import Roster
from anvilthread.flows.service_room import refused_share
from anvilthread.flows.work_meter import WorkMeter
from anvilthread.routing.rendezvous import score
from anvilthread.telemetry.memory_log import MemoryLog
from benchmarks.table import print_table

_SEED: Final = 1
_SERVICE: Final = 'heating'
_TARGETS: Final = 52
_BALANCERS: Final = 25
_RUN_MS: Final = 30
#: Each request takes between half and one and a half of the mean.
_SPREAD: Final = (0.5, 1.5)
_LOADS: Final = (0.5, 0.8, 0.95, 1.2)
_SPEEDS: Final = (0.6, 1.0, 1.6)
#: Requests that wait at a target before it refuses further ones.
_QUEUE: Final = 8
#: A report is 100 ms old when a balancer first uses it, and 500 ms when the
#: next one replaces it.
_REPORT_DELAY_MS: Final = 100
_REPORT_PERIOD_MS: Final = 400
#: Wait above which an agent refuses a flow, and time that a refusal takes.
_MAX_WAIT_MS: Final = 20
_REFUSAL_MS: Final = 2
_WARM_UP_MS: Final = 2000
_DURATION_MS: Final = 12_000
_COST_SIZES: Final = (7, 50, 840)
_COST_FLOWS: Final = 2000
_COST_ROUNDS: Final = 5


#: Shedding: demands with the share of the lower class, and its objective;
#: requests that all targets complete per step.
_SHED_DEMANDS: Final = ((1.3, 0.6), (1.8, 1.0))
_SHED_OBJECTIVE_MS: Final = 303
_SHED_STEP_MS: Final = 10
_SHED_FLOWS_PER_STEP: Final = _TARGETS * _SHED_STEP_MS / _RUN_MS
_SHED_MS: Final = 60_000
_SHED_AGES_MS: Final = (100, 500, 1500)
_SHED_BALANCERS: Final = (25, 300, 6500)


class _Choice(Enum):
    """How the target of a request is chosen."""

    LEAST_LOAD = 'least requests of 3 (today)'
    EXPECTED_WAIT = 'expected wait of 3'
    REFUSALS = 'the same, 3 busy refusals'
    MORE_REFUSALS = 'the same, 6 busy refusals'
    SHARED = 'one shared queue'


_MAX_REFUSALS: Final = {_Choice.REFUSALS: 3, _Choice.MORE_REFUSALS: 6}


class _Target:
    """A target of one slot with a first-in, first-out queue."""

    def __init__(self, number: int, speed: float, clock: ManualClock) -> None:
        self.host = f'10.0.1.{number}'
        self.speed = speed
        self.requests: deque[tuple[float, float]] = deque()
        self.meter = WorkMeter(clock=clock)
        self._sequence = itertools.count(1)

    @property
    def wait_ms(self) -> int:
        """Expected wait as the agent tells it."""
        return round(len(self.requests) * _RUN_MS / self.speed)

    def report(self, *, tells_wait: bool) -> LoadReport:
        """Returns the agent's report."""
        return LoadReport(
            node=NodeRecord(self.host, NodeRole.AGENT, 'a', _SERVICE, 1),
            sequence=next(self._sequence),
            accepts=True,
            working=len(self.requests),
            busy=self.meter.mean,
            flows=0,
            period_ms=_REPORT_PERIOD_MS,
            slots=1,
            cold_ms=0,
            version=1,
            check_age_ms=0,
            run_ms=_RUN_MS / self.speed if tells_wait else 0,
            wait_ms=self.wait_ms if tells_wait else 0,
            waiting=0,
            limit=2 if tells_wait else 0,
        )


class _Trial:
    """One run of all balancers and targets."""

    def __init__(
        self, choice: _Choice, load: float, speeds: tuple[float, ...]
    ) -> None:
        self.waits: list[float] = []
        self.refused = 0
        self._choice = choice
        self._random = Random(_SEED)
        self._clock = ManualClock(start_ms=1000)
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._now: float = 0
        self._targets = {
            target.host: target for target in _make_targets(speeds, self._clock)
        }
        capacity = sum(target.speed for target in self._targets.values())
        self._interval_ms = _RUN_MS / capacity / load
        self._rosters = [
            _make_roster(self._clock, number) for number in range(_BALANCERS)
        ]
        self._placements = [
            FlowPlacement(clock=self._clock, roster=roster)
            for roster in self._rosters
        ]
        self._shared: deque[tuple[float, float]] = deque()

    def run(self) -> None:
        """Runs until the end of the measurement."""
        self._schedule(0, self._arrive)
        targets = list(self._targets.values())
        for number, target in enumerate(targets):
            self._deliver(self._describe(target))
            offset_ms = number * _REPORT_PERIOD_MS / _TARGETS
            self._schedule(
                offset_ms, partial(self._report_periodically, target)
            )
        while self._now < _DURATION_MS:
            self._now, _, event = heapq.heappop(self._events)
            elapsed_ms = int(self._now) + 1000 - self._clock.now_ms()
            if elapsed_ms > 0:
                self._clock.skip(elapsed_ms)
            event()

    def quantile(self, share: float) -> float:
        """Returns a quantile of the waits in ms."""
        return sorted(self.waits)[int(len(self.waits) * share)]

    @property
    def refused_share(self) -> float:
        """Share of requests that found the queue of their target full."""
        return self.refused / (self.refused + len(self.waits))

    def _schedule(self, delay_ms: float, event: Callable[[], None]) -> None:
        due = (self._now + delay_ms, next(self._order), event)
        heapq.heappush(self._events, due)

    def _arrive(self) -> None:
        self._schedule(
            self._random.expovariate(1 / self._interval_ms), self._arrive
        )
        run_ms = _RUN_MS * self._random.uniform(*_SPREAD)
        request = (self._now, run_ms)
        if self._choice is _Choice.SHARED:
            self._share(request)
            return
        balancer = self._random.randrange(_BALANCERS)
        key = FlowKey(self._random.randbytes(12))
        self._place(request, balancer, key, {})

    def _place(
        self,
        request: tuple[float, float],
        balancer: int,
        key: FlowKey,
        told: dict[str, int],
    ) -> None:
        """Asks one agent; told has the waits of those that have refused."""
        max_refusals = _MAX_REFUSALS.get(self._choice, 0)
        if told and len(told) == max_refusals:
            host = min(told, key=lambda host: told[host])
            self._enqueue(self._targets[host], request)
            return
        node = self._placements[balancer].choose(_SERVICE, key, told)
        assert node is not None
        target = self._targets[node.host]
        is_busy = target.wait_ms > _MAX_WAIT_MS
        if max_refusals and is_busy:
            node.correct_wait(target.wait_ms)
            told = {**told, node.host: target.wait_ms}
            self._schedule(
                _REFUSAL_MS,
                lambda: self._place(request, balancer, key, told),
            )
        else:
            self._enqueue(target, request)

    def _enqueue(self, target: _Target, request: tuple[float, float]) -> None:
        if len(target.requests) > _QUEUE:
            self._refuse()
            return
        target.requests.append(request)
        target.meter.begin()
        if len(target.requests) == 1:
            self._start(target)

    def _share(self, request: tuple[float, float]) -> None:
        free = [
            target for target in self._targets.values() if not target.requests
        ]
        if free:
            fastest = max(free, key=lambda target: target.speed)
            self._enqueue(fastest, request)
        elif len(self._shared) < _QUEUE * _TARGETS:
            self._shared.append(request)
        else:
            self._refuse()

    def _start(self, target: _Target) -> None:
        arrived, run_ms = target.requests[0]
        if arrived >= _WARM_UP_MS:
            self.waits.append(self._now - arrived)
        self._schedule(run_ms / target.speed, lambda: self._finish(target))

    def _finish(self, target: _Target) -> None:
        target.requests.popleft()
        target.meter.end()
        if self._shared:
            self._enqueue(target, self._shared.popleft())
        elif target.requests:
            self._start(target)

    def _refuse(self) -> None:
        if self._now >= _WARM_UP_MS:
            self.refused += 1

    def _report_periodically(self, target: _Target) -> None:
        self._schedule(
            _REPORT_DELAY_MS, partial(self._deliver, self._describe(target))
        )
        self._schedule(
            _REPORT_PERIOD_MS, lambda: self._report_periodically(target)
        )

    def _describe(self, target: _Target) -> LoadReport:
        tells_wait = self._choice is not _Choice.LEAST_LOAD
        return target.report(tells_wait=tells_wait)

    def _deliver(self, report: LoadReport) -> None:
        for roster in self._rosters:
            roster.record_report(report)


def _make_targets(
    speeds: tuple[float, ...], clock: ManualClock
) -> list[_Target]:
    return [
        _Target(number, speeds[number % len(speeds)], clock)
        for number in range(_TARGETS)
    ]


def run() -> None:
    """Prints the waits and the cost of a placement."""
    _print_waits('Wait in ms, targets of one speed', (1.0,))
    _print_waits('Wait in ms, targets of speed 0.6, 1.0 and 1.6', _SPEEDS)
    _print_cost()
    _print_shedding()


def _print_shedding() -> None:
    for load, low_share in _SHED_DEMANDS:
        rows = []
        for name, scales in (('fixed', False), ('by age', True)):
            for balancers in _SHED_BALANCERS:
                results = [
                    _shed(
                        balancers,
                        age_ms,
                        demand=(load, low_share),
                        scales_by_age=scales,
                    )
                    for age_ms in _SHED_AGES_MS
                ]
                rows.append((f'{name}, {balancers}', *results))
        print_table(
            f'Shedding at {load:.0%}, {low_share:.0%} of it of the lower class:'
            ' wait in ms / capacity unused',
            (
                'range, balancers',
                *(f'reports {age} ms old' for age in _SHED_AGES_MS),
            ),
            rows,
        )


def _shed(
    balancers: int,
    max_age_ms: int,
    *,
    demand: tuple[float, float],
    scales_by_age: bool,
) -> str:
    """Sheds the lower class of the demand at one queue for all targets.

    Balancers take over reports in random phases; between two reports, their
    age rises from half the maximum to the maximum.
    """
    load, low_share = demand
    random = Random(_SEED)
    period = max_age_ms // 2 // _SHED_STEP_MS
    phases = Counter(random.randrange(period) for _ in range(balancers))
    waits: list[float] = [0]
    unused: float = 0
    steps = _SHED_MS // _SHED_STEP_MS
    for step in range(steps):
        admitted: float = 0
        for phase, count in phases.items():
            taken = step - period - (step + phase) % period
            share = refused_share(
                wait_ms=waits[max(taken, 0)],
                age_ms=max_age_ms if scales_by_age else 0,
                objective_ms=_SHED_OBJECTIVE_MS,
                is_lowest=True,
            )
            admitted += count * (1 - low_share * share)
        mean = load * admitted / balancers * _SHED_FLOWS_PER_STEP
        work = max(random.gauss(mean, mean**0.5), 0) / _SHED_FLOWS_PER_STEP
        wait = waits[-1] + (work - 1) * _SHED_STEP_MS
        unused += max(-wait, 0) if step >= steps // 2 else 0
        waits.append(max(wait, 0))
    settled = waits[steps // 2 :]
    share = unused / (_SHED_MS / 2)
    return f'{min(settled):.0f} - {max(settled):.0f} / {share:.1%}'


def _print_waits(title: str, speeds: tuple[float, ...]) -> None:
    rows = []
    for choice in _Choice:
        row = [choice.value]
        for load in _LOADS:
            trial = _Trial(choice, load, speeds)
            trial.run()
            row.append(
                f'{trial.quantile(0.5):.0f} / {trial.quantile(0.99):.0f}'
                f' / {trial.refused_share:.1%}'
            )
        rows.append(row)
    heading = ('median / p99 / queue full', *(f'{load:.0%}' for load in _LOADS))
    print_table(title, heading, rows)


def _print_cost() -> None:
    rows = []
    for size in _COST_SIZES:
        former = _cost(size, 0, _choose_by_sorting)
        by_load = _cost(size, 0, _choose)
        by_wait = _cost(size, 2, _choose)
        rows.append((f'{size}', former, by_load, by_wait))
    print_table(
        'Microseconds of one placement, best of five rounds',
        ('targets', 'all sorted (before)', 'by load', 'by expected wait'),
        rows,
    )


def _cost(
    size: int,
    limit: int,
    choose: Callable[[FlowPlacement, Roster, int, FlowKey], KnownNode],
) -> str:
    clock = ManualClock(start_ms=1000)
    random = Random(_SEED)
    roster = _make_roster(clock, 0)
    for number in range(size):
        host = f'10.0.{1 + number // 200}.{number % 200}'
        roster.record_report(
            LoadReport(
                node=NodeRecord(host, NodeRole.AGENT, 'a', _SERVICE, 1),
                sequence=1,
                accepts=True,
                working=random.randrange(3),
                busy=random.random(),
                flows=0,
                period_ms=_REPORT_PERIOD_MS,
                slots=1,
                cold_ms=0,
                version=1,
                check_age_ms=0,
                run_ms=_RUN_MS,
                wait_ms=random.choice((0, 0, _RUN_MS)),
                limit=limit,
            )
        )
    placement = FlowPlacement(clock=clock, roster=roster)
    keys = [FlowKey(random.randbytes(12)) for _ in range(_COST_FLOWS)]
    rounds = []
    for _ in range(_COST_ROUNDS):
        start = time.perf_counter()
        for key in keys:
            choose(placement, roster, clock.now_ms(), key)
        rounds.append(time.perf_counter() - start)
    return f'{min(rounds) / _COST_FLOWS * 1e6:.0f}'


def _choose(
    placement: FlowPlacement, _roster: Roster, _now_ms: int, key: FlowKey
) -> KnownNode:
    chosen = placement.choose(_SERVICE, key, ())
    assert chosen is not None
    return chosen


def _choose_by_sorting(
    _placement: FlowPlacement, roster: Roster, now_ms: int, key: FlowKey
) -> KnownNode:
    """Places a flow as before: all agents are checked, scored and sorted."""
    agents = [
        node for node in roster.all_agents() if node.record.service == _SERVICE
    ]
    accepting = [
        node for node in agents if node.accepts and node.host not in ()
    ]
    fresh = [node for node in accepting if node.is_fresh(now_ms)]
    healthy = [node for node in fresh if not node.is_failing]
    key_hash = zlib.crc32(key)
    candidates = sorted(
        healthy,
        key=lambda node: score(key_hash, node.host_hash),
        reverse=True,
    )[:CANDIDATES]
    chosen = min(candidates, key=lambda node: node.load)
    chosen.count_send()
    return chosen


def _make_roster(clock: ManualClock, number: int) -> Roster:
    record = NodeRecord(f'10.0.0.{number}', NodeRole.BALANCER, 'a', '', 1)
    return Roster(clock=clock, local_node=record, log=MemoryLog())


if __name__ == '__main__':
    run()
