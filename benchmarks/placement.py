"""Evenness and cost of placement, compared with the baselines.

Evenness is the worst ratio of largest to mean connections per slot in
virtual time; cost is a ratio of speeds within this run.
"""

import time
from random import Random
from typing import Final

from anvilthread.address import Address
from anvilthread.clock import ManualClock
from anvilthread.routing.candidate import Candidate
from anvilthread.routing.load_aware_placement import LoadAwarePlacement
from anvilthread.routing.load_report import LoadReport
from anvilthread.routing.load_table import LoadTable
from anvilthread.routing.placement import Placement
from anvilthread.routing.rendezvous_placement import RendezvousPlacement
from anvilthread.routing.subset import Subset
from benchmarks.table import print_table
from standins.placement_scenario import SCENARIOS
from standins.placement_trial import PlacementTrial
from standins.trial_policy import BASELINES, LOAD_AWARE, TrialPolicy

_SEED: Final = 1
_SERVICE: Final = 1
_BALANCER: Final = Address(host='10.0.1.1', port=1)
_POLICIES: Final = (LOAD_AWARE, *BASELINES)
_LARGE_SIZE: Final = 200
_LARGE_CONNECTIONS: Final = 300
_LARGE_LIFETIME_S: Final = 120
#: Number of balancers and policies of each run; the results of the baselines
#: do not depend on the number of balancers.
_LARGE_RUNS: Final = (
    (10, _POLICIES),
    (30, _POLICIES[:1]),
)
_DECISIONS: Final = 2000
_DECISIONS_PER_REFRESH: Final = 100
_REFRESH_MS: Final = 50
_ROUNDS: Final = 10


def run() -> None:
    """Prints both tables."""
    _print_evenness()
    _print_cost()


def _print_evenness() -> None:
    rows = []
    for scenario in SCENARIOS:
        ratios = [scenario.measure(policy, seed=_SEED) for policy in _POLICIES]
        rows.append((scenario.name, *_format(ratios)))
    for balancers, policies in _LARGE_RUNS:
        ratios = [
            _measure_replacement(policy, balancers) for policy in policies
        ]
        name = f'{_LARGE_SIZE} targets, 20 replaced, {balancers} balancers'
        blank = ('',) * (len(_POLICIES) - len(policies))
        rows.append((name, *_format(ratios), *blank))
    heading = ('scenario', *(policy.name for policy in _POLICIES))
    print_table('Largest to mean connections per slot', heading, rows)


def _measure_replacement(policy: TrialPolicy, balancers: int) -> float:
    """Replaces a tenth of the targets of a large, evenly loaded service."""
    trial = PlacementTrial(
        policy=policy.build,
        bounded=policy.bounded,
        seed=_SEED,
        lifetime_s=_LARGE_LIFETIME_S,
    )
    trial.add_agents((1,) * _LARGE_SIZE)
    trial.open_evenly(_LARGE_CONNECTIONS)
    trial.add_balancers(balancers)
    trial.set_arrivals(_LARGE_SIZE * _LARGE_CONNECTIONS / _LARGE_LIFETIME_S)
    trial.run(3)
    replaced = trial.agents[:20]
    trial.add_agents((1,) * len(replaced))
    trial.drain(replaced, spread_s=5)
    trial.run(8)
    return trial.run(4)


def _format(ratios: list[float]) -> list[str]:
    return [f'{ratio:.3f}' for ratio in ratios]


def _print_cost() -> None:
    rows = []
    for size in (3, 7, 30, _LARGE_SIZE):
        rows.append((f'{size}', f'{_relative_speed(size):.2f}'))
    print_table(
        'Decisions per second relative to plain rendezvous hashing',
        ('candidates', 'load-aware'),
        rows,
    )


def _relative_speed(size: int) -> float:
    """Returns the ratio of the best rounds of both policies.

    The virtual clock advances as if the balancer placed 2,000 connections
    per second.
    """
    random = Random(_SEED)
    agents = [
        Address(host='10.0.2.1', port=port) for port in range(1, size + 1)
    ]
    clock = ManualClock(start_ms=1)
    plain = RendezvousPlacement()
    aware = LoadAwarePlacement(
        clock=clock,
        table=LoadTable(clock=clock),
        subset=Subset(balancer=_BALANCER),
    )
    for placement in (plain, aware):
        placement.update(_SERVICE, [Candidate(agent=agent) for agent in agents])
    keys = [random.randbytes(14) for _ in range(_DECISIONS)]
    times: list[tuple[float, float]] = []
    for sequence in range(1, _ROUNDS + 1):
        _deliver_reports(aware, agents, sequence, random)
        times.append((_time(plain, clock, keys), _time(aware, clock, keys)))
    plain_times, aware_times = zip(*times, strict=True)
    return min(plain_times) / min(aware_times)


def _time(placement: Placement, clock: ManualClock, keys: list[bytes]) -> float:
    start = time.perf_counter()
    for number, key in enumerate(keys):
        if number % _DECISIONS_PER_REFRESH == 0:
            clock.skip(_REFRESH_MS)
        placement.place(_SERVICE, key)
    return time.perf_counter() - start


def _deliver_reports(
    placement: LoadAwarePlacement,
    agents: list[Address],
    sequence: int,
    random: Random,
) -> None:
    for agent in agents:
        placement.table.accept(
            LoadReport(
                service=_SERVICE,
                agent=agent,
                incarnation=1,
                sequence=sequence,
                connections=random.randrange(1980, 2020),
            )
        )


if __name__ == '__main__':
    run()
