"""Opening packets at one target under load, without a network."""

import heapq
import itertools
from collections import Counter

import msgspec
import pytest

from anvilthread.clock import ManualClock
from anvilthread.flows.flow_key import FlowKey, pack_endpoint
from anvilthread.flows.opening_decision import OpeningAction
from anvilthread.flows.opening_gate import OpeningGate
from anvilthread.flows.opening_queue import MAX_WAITING, OpeningQueue
from anvilthread.flows.queued_opening import QueuedOpening
from anvilthread.flows.traffic_class import TrafficClass
from standins.flow_cluster import SERVICE_HOST, SERVICE_PORT

_HIGH = TrafficClass(priority=1, objective_ms=352)
_LOW = TrafficClass(priority=2, objective_ms=303)
_ENDPOINT = pack_endpoint(SERVICE_HOST, SERVICE_PORT)


class _Work:
    """Requests and limits of a target, as the gate reads them."""

    def __init__(self, *, slots: int = 1, limit: int = 2, run_ms: int = 0):
        self.requests = 0
        self.slots = slots
        self.limit = limit
        self.run_ms: float = run_ms
        self.has_room = True
        self.silent_ms = 0

    def is_silent(self, duration_ms: float) -> bool:
        """Whether the target has sent nothing for some time."""
        return self.silent_ms >= duration_ms

    def record(self) -> None:
        """Counts nothing: room is set by the test."""

    def on_answer(self, *, run_ms: int, working: int) -> None:
        """Learns nothing: the run time is set by the test."""

    def on_refusal(self) -> None:
        """Learns nothing."""

    def on_failure(self) -> None:
        """Learns nothing."""

    def restart(self) -> None:
        """Learns nothing."""


class _Arrival(msgspec.Struct, frozen=True):
    """An opening packet that reaches the agent."""

    at_ms: int
    traffic: TrafficClass
    age_ms: int = 0
    client: int = 0


def _gate(work: _Work, queue: OpeningQueue, clock: ManualClock) -> OpeningGate:
    return OpeningGate(
        clock=clock,
        work=work,
        queue=queue,
        work_limit=work,
        opening_limit=work,
    )


def _opening(arrival: _Arrival, number: int) -> QueuedOpening:
    client = f'100.64.{arrival.client // 250}.{arrival.client % 250 + 1}'
    return QueuedOpening(
        key=FlowKey(pack_endpoint(client, number % 60_000) + _ENDPOINT),
        content=b'',
        balancer='10.0.0.1',
        traffic=arrival.traffic,
        sent_ms=arrival.at_ms - arrival.age_ms,
        arrived_ms=arrival.at_ms,
    )


class _Target:
    """One target behind a gate, in a plain loop of one step per ms."""

    def __init__(self, *, run_ms: int, limit: int = 2) -> None:
        self.clock = ManualClock()
        self.work = _Work(limit=limit, run_ms=run_ms)
        self.queue = OpeningQueue(clock=self.clock)
        self.gate = _gate(self.work, self.queue, self.clock)
        self.outcomes: Counter[tuple[int, str]] = Counter()
        self.longest_wait_ms = 0
        self._free_ms = 0
        self._ends: list[tuple[int, int]] = []
        self._order = itertools.count()

    def share(self, traffic: TrafficClass, *outcomes: str) -> float:
        """Returns the share of the packets of a class with some outcomes."""
        total = sum(
            count
            for (priority, _), count in self.outcomes.items()
            if priority == traffic.priority
        )
        return (
            sum(self.outcomes[traffic.priority, name] for name in outcomes)
            / total
        )

    def play(self, arrivals: list[_Arrival]) -> None:
        """Plays arrivals, and waits until nothing is left."""
        pending = sorted(arrivals, key=lambda arrival: arrival.at_ms)
        pending.reverse()
        while pending or self.work.requests or len(self.queue):
            now_ms = self.clock.now_ms()
            self._end_requests(now_ms)
            while pending and pending[-1].at_ms <= now_ms:
                self._arrive(pending.pop(), next(self._order))
            if now_ms % 20 == 0:
                self._drop_hopeless(now_ms)
            self.clock.advance(1)

    def _arrive(self, arrival: _Arrival, number: int) -> None:
        opening = _opening(arrival, number)
        decision = self.gate.decide(opening, -1)
        if decision.action is OpeningAction.DELIVER:
            self._deliver(opening)
        elif decision.action is OpeningAction.QUEUE:
            self.queue.add(opening)
            displaced = self.queue.take_displaced(self.gate.answer_ms)
            if displaced is not None:
                self.outcomes[displaced.priority, 'no_room'] += 1
        else:
            self.outcomes[opening.priority, decision.reason] += 1

    def _deliver(self, opening: QueuedOpening) -> None:
        now_ms = self.clock.now_ms()
        self.longest_wait_ms = max(
            self.longest_wait_ms, now_ms - opening.sent_ms
        )
        self.work.requests += 1
        self._free_ms = max(self._free_ms, now_ms) + round(self.work.run_ms)
        heapq.heappush(self._ends, (self._free_ms, next(self._order)))
        took_ms = self._free_ms - opening.sent_ms
        outcome = 'in_time' if took_ms <= opening.objective_ms else 'late'
        self.outcomes[opening.priority, outcome] += 1

    def _end_requests(self, now_ms: int) -> None:
        while self._ends and self._ends[0][0] <= now_ms:
            heapq.heappop(self._ends)
            self.work.requests -= 1
        while self.gate.has_work_room:
            opening = self.queue.take(self.gate.answer_ms)
            if opening is None:
                return
            self._deliver(opening)

    def _drop_hopeless(self, now_ms: int) -> None:
        for opening in self.queue.take_hopeless(
            run_ms=self.gate.run_ms,
            answer_ms=self.gate.answer_ms,
            above=self.gate.requests_above_slots,
            slots=self.gate.slots,
        ):
            assert now_ms - opening.sent_ms <= 1320
            self.outcomes[opening.priority, 'no_room'] += 1


def _steady(
    traffic: TrafficClass,
    load: float,
    run_ms: int,
    start_ms: int = 0,
    end_ms: int = 8000,
) -> list[_Arrival]:
    """Returns arrivals at a share of the capacity of a target."""
    count = round((end_ms - start_ms) * load / run_ms)
    return [
        _Arrival(
            at_ms=start_ms + round(number * run_ms / load),
            traffic=traffic,
            client=number % 400,
        )
        for number in range(count)
    ]


def _burst(
    traffic: TrafficClass, at_ms: int, count: int, age_ms: int = 0
) -> list[_Arrival]:
    return [
        _Arrival(at_ms=at_ms, traffic=traffic, age_ms=age_ms, client=number)
        for number in range(count)
    ]


@pytest.mark.parametrize(
    ('loads', 'high_in_time', 'low_in_time'),
    [
        # Half load: nothing is lost.
        ((0.25, 0.25), 1.0, 1.0),
        # 120% and 200% of the capacity. The low priority gets the rest, less
        # a fifth of all deliveries, which go to the oldest packet:
        # (0.4 - 0.2) / 0.6 and (0.3 - 0.2) / 1.3.
        ((0.6, 0.6), 0.99, 0.33),
        ((0.7, 1.3), 0.99, 0.07),
    ],
)
@pytest.mark.parametrize('run_ms', [13, 30, 50])
def test_two_priorities_above_capacity(
    loads: tuple[float, float],
    run_ms: int,
    high_in_time: float,
    low_in_time: float,
) -> None:
    """Guards against a higher priority that waits behind a lower one.

    Load: two priorities at 50%, 120% and 200% of capacity; run times of fast
    and of slow targets (0.6, 1.0 and 1.6 times those of requests).
    """
    target = _Target(run_ms=run_ms)
    target.play(
        _steady(_HIGH, loads[0], run_ms) + _steady(_LOW, loads[1], run_ms)
    )
    assert target.share(_HIGH, 'in_time') >= high_in_time
    assert target.share(_LOW, 'in_time') >= low_in_time


@pytest.mark.parametrize('limit', [1, 2])
def test_backlog_of_a_power_loss(limit: int) -> None:
    """Guards against new requests that are late behind second attempts.

    Load: a second of power loss, after which all attempts come at once while
    the target is still cold, and the usual load goes on.
    """
    target = _Target(run_ms=48, limit=limit)
    high = _steady(_HIGH, 0.35, 48, 1000)
    low = _steady(_LOW, 0.35, 48, 1000)
    backlog = _burst(_LOW, 1000, 30, age_ms=700)
    backlog += _burst(_HIGH, 1000, 20, age_ms=500)
    target.play(backlog + high + low)
    # All of the backlog is late already.
    assert target.outcomes[_HIGH.priority, 'in_time'] == len(high)
    assert target.outcomes[_LOW.priority, 'in_time'] >= 0.98 * len(low)
    # No client waits until it gives up: it is told before that.
    assert target.longest_wait_ms <= 1300


def test_burst_of_low_priority_during_high() -> None:
    """Guards against a burst that delays a higher priority.

    Load: 60 low-priority flows at once, three times in the peak of the high
    priority.
    """
    target = _Target(run_ms=20)
    bursts = [_burst(_LOW, at_ms, 60) for at_ms in (2000, 3000, 4000)]
    target.play(_steady(_HIGH, 0.75, 20) + list(itertools.chain(*bursts)))
    assert target.share(_HIGH, 'in_time') >= 0.99


@pytest.mark.parametrize(
    ('traffic', 'outcomes'),
    [(_HIGH, ('in_time',)), (_LOW, ('in_time', 'late'))],
)
def test_flood_from_one_client(
    traffic: TrafficClass, outcomes: tuple[str, ...]
) -> None:
    """Guards against clients that are refused because one fills the queue.

    Load: one client opens 100 flows per second of the lower priority, which
    is three times the capacity.
    """
    target = _Target(run_ms=30)
    flood = [
        _Arrival(at_ms=at_ms, traffic=_LOW, client=999)
        for at_ms in range(0, 8000, 10)
    ]
    others = _steady(traffic, 0.15, 30)
    target.play(flood + others)
    served = sum(target.outcomes[traffic.priority, name] for name in outcomes)
    assert served >= len(others)


@pytest.mark.parametrize(
    ('waiting', 'requests', 'priority', 'max_wait_ms', 'age_ms', 'expected'),
    [
        # Below the limit: delivered, whatever the wait.
        (0, 1, 1, 20, 0, ('deliver', '', 0)),
        # One of two requests waits: (1 + 1) x 30 ms.
        (0, 2, 1, 20, 0, ('refuse', 'busy', 60)),
        (0, 2, 1, 60, 0, ('queue', '', 60)),
        (0, 2, 1, -1, 0, ('queue', '', 60)),
        # Ten of priority 2 wait: they delay their own and lower ones only.
        (10, 2, 1, -1, 0, ('queue', '', 60)),
        (10, 2, 2, -1, 0, ('queue', '', 360)),
        (10, 2, 2, 20, 0, ('refuse', 'busy', 360)),
        # It would begin at an age of 1.26 s, or 1.31 s; clients give up.
        (10, 2, 2, -1, 900, ('queue', '', 360)),
        (10, 2, 2, -1, 950, ('refuse', 'no_room', 360)),
        # A full queue: a higher priority takes the place of a lower one.
        (MAX_WAITING, 2, 1, -1, 0, ('queue', '', 60)),
        (MAX_WAITING, 2, 2, -1, 0, ('refuse', 'no_room', 1980)),
    ],
)
def test_decision(
    waiting: int,
    requests: int,
    priority: int,
    max_wait_ms: int,
    age_ms: int,
    expected: tuple[str, str, int],
) -> None:
    """Guards against a wait or a reason that misleads the balancer."""
    clock = ManualClock(start_ms=10_000)
    work = _Work(run_ms=30)
    work.requests = requests
    queue = OpeningQueue(clock=clock)
    for number in range(waiting):
        arrival = _Arrival(at_ms=10_000, traffic=_LOW, client=number)
        queue.add(_opening(arrival, number))
    traffic = TrafficClass(priority=priority, objective_ms=300)
    arrival = _Arrival(
        at_ms=10_000, traffic=traffic, age_ms=age_ms, client=1000
    )
    gate = _gate(work, queue, clock)
    decision = gate.decide(_opening(arrival, 5000), max_wait_ms)
    found = (decision.action.value, decision.reason, decision.wait_ms)
    assert found == expected


@pytest.mark.parametrize('requests', [0, 2])
def test_cold_target_refuses_at_once(requests: int) -> None:
    """Guards against packets that are queued beyond the warm-up limit.

    Load: a third of the targets are cold, the others have room.
    """
    clock = ManualClock(start_ms=10_000)
    work = _Work(run_ms=30)
    work.requests = requests
    work.has_room = False
    gate = _gate(work, OpeningQueue(clock=clock), clock)
    opening = _opening(_Arrival(at_ms=10_000, traffic=_HIGH), 1)
    decision = gate.decide(opening, -1)
    assert decision.action is OpeningAction.REFUSE
    assert decision.reason == 'warming_up'


@pytest.mark.parametrize(
    ('run_ms', 'requests', 'silent_ms', 'expected'),
    [
        (30, 2, 119, False),
        (30, 2, 120, True),
        (30, 3, 120, True),
        # Two packets that stay unanswered eject the target.
        (30, 4, 500, False),
        (13, 2, 99, False),
        # Long requests are no silence.
        (400, 2, 1500, False),
    ],
)
def test_silent_target_is_tried(
    run_ms: int, requests: int, silent_ms: int, expected: bool
) -> None:
    """Guards against a dead target that is not noticed because it is full."""
    clock = ManualClock(start_ms=10_000)
    work = _Work(run_ms=run_ms)
    work.requests = requests
    work.silent_ms = silent_ms
    gate = _gate(work, OpeningQueue(clock=clock), clock)
    assert gate.may_try_silent_target == expected


def test_target_of_unknown_speed_is_not_free() -> None:
    """Guards against a queue at a target that has answered nothing yet.

    Load: all targets start at once, and some are paused.
    """
    clock = ManualClock(start_ms=10_000)
    work = _Work(limit=1)
    work.requests = 1
    gate = _gate(work, OpeningQueue(clock=clock), clock)
    opening = _opening(_Arrival(at_ms=10_000, traffic=_HIGH), 1)
    assert gate.decide(opening, 20).reason == 'busy'
