"""Waits, balance and goodput of admission, in virtual time.

Every figure compares two runs over the same arrivals and run times.
"""

import heapq
from collections.abc import Sequence
from random import Random
from statistics import fmean, quantiles
from typing import Final

import gevent
import msgspec
from gevent.event import Event

from anvilthread.admission import Limits
from anvilthread.outcomes import BytesBody, OutcomeKind, Request
from anvilthread.outcomes.handover import HandoverSettings
from standins.collected_answer import CollectedAnswer
from standins.virtual_fleet import FleetSettings, VirtualFleet

_AGENTS: Final = 7
_MEAN_RUN_MS: Final = 50
#: Load as a share of capacity.
_STEADY_LOAD: Final = 0.8
_STEADY_MS: Final = 60_000
_REPORT_INTERVAL_MS: Final = 1000
_WINDOW_MS: Final = 1000
_SECOND_MS: Final = 1000
_WINDOWS: Final = _STEADY_MS // _WINDOW_MS
#: Loads during and outside the overload, as multiples of capacity.
_OVERLOAD_FACTOR: Final = 3
_NORMAL_LOAD: Final = 0.5
_OVERLOAD_START_MS: Final = 5000
_OVERLOAD_END_MS: Final = 20_000
_OVERLOAD_RUN_MS: Final = 35_000
_DEADLINE_MS: Final = 1000
_CLIENT_RETRIES: Final = 3

# Run time in ms by window and by agent.
RunTimes = list[list[float]]


class Arrival(msgspec.Struct, frozen=True):
    """One request of a client.

    Args:
        at_ms: Time of arrival from the start of the run.
        agent: Agent that the client is connected to.
        run_ms: Time of the run on the target.
    """

    at_ms: float
    agent: int
    run_ms: float


class SteadyFigures(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of a run at constant load."""

    waits_ms: list[float]
    imbalance: float
    imbalance_p99: float
    messages: int
    traffic_kb_per_s: float


def run() -> None:
    """Prints the measurements."""
    for slots in (2, 1):
        _print_steady(slots)
    _print_overload()


def draw_arrivals(
    random: Random, slots: int, phases: Sequence[tuple[float, float]]
) -> list[Arrival]:
    """Draws Poisson arrivals with exponential run times.

    Args:
        random: Source of the draws.
        slots: Slots of the whole fleet.
        phases: End in ms and load relative to capacity of each phase.
    """
    arrivals = []
    now_ms: float = 0
    for end_ms, load in phases:
        while now_ms < end_ms:
            now_ms += random.expovariate(load * slots / _MEAN_RUN_MS)
            run_ms = random.expovariate(1 / _MEAN_RUN_MS)
            arrivals.append(Arrival(now_ms, random.randrange(_AGENTS), run_ms))
    return arrivals


def simulate_shared_queue(
    arrivals: Sequence[Arrival], slots: int
) -> tuple[list[float], RunTimes]:
    """Simulates one queue shared by the slots of all agents.

    Returns:
        The waits, and the run time of every agent in every window.
    """
    free_ms = [(float(0), slot) for slot in range(slots * _AGENTS)]
    waits_ms = []
    windows = [[float(0) for _ in range(_AGENTS)] for _ in range(_WINDOWS)]
    for arrival in arrivals:
        free_at_ms, slot = heapq.heappop(free_ms)
        start_ms = max(arrival.at_ms, free_at_ms)
        end_ms = start_ms + arrival.run_ms
        heapq.heappush(free_ms, (end_ms, slot))
        waits_ms.append(start_ms - arrival.at_ms)
        for number, work in enumerate(windows):
            first_ms = number * _WINDOW_MS
            until_ms = min(end_ms, first_ms + _WINDOW_MS)
            work[slot % _AGENTS] += max(until_ms - max(start_ms, first_ms), 0)
    return waits_ms, windows


def _print_steady(slots: int) -> None:
    arrivals = draw_arrivals(
        Random(slots), slots * _AGENTS, [(_STEADY_MS, _STEADY_LOAD)]
    )
    waits_ms, windows = simulate_shared_queue(arrivals, slots)
    ideal_ms = _p99(waits_ms)
    shared_imbalance = _p99([max(work) / fmean(work) for work in windows])
    print(f'{_AGENTS} targets with {slots} slots at {_STEADY_LOAD:.0%} load')
    print(
        f'  shared queue: p99 wait {ideal_ms:.0f} ms; busy slots, largest over '
        f'mean {shared_imbalance:.2f} at the 99th percentile of seconds'
    )
    for fanout, first in ((0, 0), (3, 3), (6, 6), (6, 2)):
        settings = HandoverSettings(fanout=fanout, first_fanout=first)
        figures = _run_steady(arrivals, slots, settings)
        wait_ms = _p99(figures.waits_ms)
        print(
            f'  offers to {fanout}, {first} at once: p99 wait {wait_ms:.0f} ms, '
            f'{wait_ms / ideal_ms:.2f} of the shared queue; busy slots, '
            f'largest over mean {figures.imbalance:.3f} over the run, '
            f'{figures.imbalance_p99:.2f} at the 99th percentile of seconds; '
            f'{figures.messages / len(arrivals):.1f} messages per request, '
            f'{figures.traffic_kb_per_s:.1f} KB/s sent per agent'
        )


def _run_steady(
    arrivals: Sequence[Arrival], slots: int, handover: HandoverSettings
) -> SteadyFigures:
    fleet = _make_fleet(Limits(slots=slots, queue=1000), handover)
    start_ms = fleet.clock.now_ms()
    for number, arrival in enumerate(arrivals):
        gevent.spawn(_run_client, fleet, number, arrival, 60_000)
    busy: list[list[int]] = []
    for _ in range(_STEADY_MS):
        fleet.clock.advance(1)
        busy.append([agent.target.busy for agent in fleet.agents])
    traffic_kb_per_s = fleet.network.bytes_sent / _STEADY_MS / _AGENTS
    fleet.clock.advance(_STEADY_MS)
    started = {
        entry.id: entry.started - start_ms
        for entry in fleet.ledger.entries
        if entry.finished is None
    }
    waits_ms = [
        max(started[str(number)] - arrival.at_ms, 0)
        for number, arrival in enumerate(arrivals)
    ]
    windows = [
        _imbalance(busy[first : first + _WINDOW_MS])
        for first in range(0, _STEADY_MS, _WINDOW_MS)
    ]
    return SteadyFigures(
        waits_ms=waits_ms,
        imbalance=_imbalance(busy),
        imbalance_p99=_p99(windows),
        messages=fleet.network.messages,
        traffic_kb_per_s=traffic_kb_per_s,
    )


def _imbalance(busy: Sequence[Sequence[int]]) -> float:
    means = [fmean(samples) for samples in zip(*busy, strict=True)]
    return max(means) / fmean(means)


def _make_fleet(limits: Limits, handover: HandoverSettings) -> VirtualFleet:
    return VirtualFleet(
        settings=FleetSettings(
            agents=_AGENTS,
            limits=limits,
            handover=handover,
            report_ms=_REPORT_INTERVAL_MS,
        )
    )


def _run_client(
    fleet: VirtualFleet, number: int, arrival: Arrival, timeout_ms: int
) -> bool:
    fleet.clock.sleep_ms(arrival.at_ms)
    for _ in range(_CLIENT_RETRIES):
        request = _make_request(fleet, number, arrival, timeout_ms)
        exchange = fleet.agents[arrival.agent].send(request, CollectedAnswer())
        exchange.task.join()
        outcome = exchange.outcome
        if outcome is None or outcome.kind is not OutcomeKind.NOT_RUN:
            return exchange.answer.whole
        fleet.clock.sleep_ms(outcome.retry_after_ms or _SECOND_MS)
    return False


def _make_request(
    fleet: VirtualFleet, number: int, arrival: Arrival, timeout_ms: int
) -> Request:
    return Request(
        method='POST',
        path=f'/run?id={number}&ms={arrival.run_ms}',
        headers=(),
        body=BytesBody(),
        service=1,
        deadline_ms=fleet.clock.now_ms() + timeout_ms,
        cancelled=Event(),
        idempotent=False,
    )


def _print_overload() -> None:
    slots = 2
    total = slots * _AGENTS
    arrivals = draw_arrivals(
        Random(3),
        total,
        [
            (_OVERLOAD_START_MS, _NORMAL_LOAD),
            (_OVERLOAD_END_MS, _OVERLOAD_FACTOR),
            (_OVERLOAD_RUN_MS, _NORMAL_LOAD),
        ],
    )
    print(
        f'{_AGENTS} targets with {slots} slots at {_OVERLOAD_FACTOR} '
        f'times capacity'
    )
    for name, completed in (
        ('limits and budget', _run_with_limits(arrivals, slots)),
        ('no limits', _run_without_limits(arrivals, slots)),
    ):
        span_ms = _OVERLOAD_END_MS - _OVERLOAD_START_MS
        useful_ms = sum(
            arrival.run_ms
            for arrival, end_ms in completed
            if _OVERLOAD_START_MS <= end_ms < _OVERLOAD_END_MS
        )
        print(
            f'  {name}: goodput {useful_ms / span_ms / total:.1%} of '
            f'capacity; normal again after '
            f'{_recovery_time(arrivals, completed)}'
        )


def _run_with_limits(
    arrivals: Sequence[Arrival], slots: int
) -> list[tuple[Arrival, float]]:
    fleet = _make_fleet(Limits(slots=slots), HandoverSettings())
    start_ms = fleet.clock.now_ms()
    tasks = [
        gevent.spawn(_run_client, fleet, number, arrival, _DEADLINE_MS)
        for number, arrival in enumerate(arrivals)
    ]
    fleet.clock.advance(_OVERLOAD_RUN_MS + 20 * _SECOND_MS)
    ends_ms = {
        entry.id: entry.finished - start_ms
        for entry in fleet.ledger.entries
        if entry.finished is not None
    }
    return [
        (arrival, ends_ms[str(number)])
        for number, arrival in enumerate(arrivals)
        if tasks[number].value
    ]


def _run_without_limits(
    arrivals: Sequence[Arrival], slots: int
) -> list[tuple[Arrival, float]]:
    """Runs everything in order of arrival; clients retry after a timeout."""
    free_ms = [[float(0) for _ in range(slots)] for _ in range(_AGENTS)]
    pending = [
        (arrival.at_ms, number, 0) for number, arrival in enumerate(arrivals)
    ]
    heapq.heapify(pending)
    completed = []
    while pending:
        sent_ms, number, retries = heapq.heappop(pending)
        arrival = arrivals[number]
        queue = free_ms[arrival.agent]
        end_ms = max(sent_ms, heapq.heappop(queue)) + arrival.run_ms
        heapq.heappush(queue, end_ms)
        if end_ms <= sent_ms + _DEADLINE_MS:
            completed.append((arrival, end_ms))
        elif retries < _CLIENT_RETRIES:
            retry = (sent_ms + _DEADLINE_MS, number, retries + 1)
            heapq.heappush(pending, retry)
    return completed


def _recovery_time(
    arrivals: Sequence[Arrival], completed: Sequence[tuple[Arrival, float]]
) -> str:
    """Returns the time until 99% of the new requests of a second succeed."""
    answered = {arrival.at_ms for arrival, _ in completed}
    last_bad_ms = _OVERLOAD_END_MS
    for first_ms in range(_OVERLOAD_END_MS, _OVERLOAD_RUN_MS, _SECOND_MS):
        number = [
            arrival.at_ms in answered
            for arrival in arrivals
            if first_ms <= arrival.at_ms < first_ms + _SECOND_MS
        ]
        if fmean(number) < 0.99:
            last_bad_ms = first_ms + _SECOND_MS
    if last_bad_ms == _OVERLOAD_RUN_MS:
        return f'more than {_OVERLOAD_RUN_MS - _OVERLOAD_END_MS} ms'
    return f'{last_bad_ms - _OVERLOAD_END_MS} ms'


def _p99(samples: Sequence[float]) -> float:
    return quantiles(samples, n=100)[-1]


if __name__ == '__main__':
    run()
