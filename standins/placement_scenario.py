"""Scenarios in which placement policies are measured."""

from collections.abc import Callable
from typing import Final

import msgspec

from standins.placement_trial import PlacementTrial
from standins.trial_policy import TrialPolicy

CONNECTIONS_PER_SLOT: Final = 2000
WARM_UP_MS: Final = 5000

_ALL_FIELDS: Final = ('connections', 'accepted', 'placed', 'received')
_SEVEN_TARGETS: Final = (1,) * 7
_FILL_DURATION_S: Final = 10
_OBSERVATION_S: Final = 10


class PlacementScenario(msgspec.Struct, frozen=True, kw_only=True):
    """An initial state and the changes made to it.

    Args:
        name: Name in tables.
        act: Makes the changes and returns the worst ratio of largest to mean
            connections per slot during the observation.
        balancers: Number of balancers.
        slots: Slots of each target.
        lifetime_s: Mean lifetime of a connection.
        report_delay_ms: One-way delay of reports.
        report_loss: Share of the reports that is lost from the start.
        prepare: Changes made before the first connection.
    """

    name: str
    act: Callable[[PlacementTrial], float]
    balancers: int = 4
    slots: tuple[int, ...] = _SEVEN_TARGETS
    lifetime_s: float = 30
    report_delay_ms: float = 5
    report_loss: float = 0
    prepare: Callable[[PlacementTrial], None] | None = None

    def measure(self, policy: TrialPolicy, *, seed: int) -> float:
        """Fills the targets, makes the changes and returns the worst ratio."""
        trial = self.start(policy, seed=seed)
        return self.act(trial)

    def start(self, policy: TrialPolicy, *, seed: int) -> PlacementTrial:
        """Returns a trial with all connections open."""
        trial = PlacementTrial(
            policy=policy.build,
            bounded=policy.bounded,
            seed=seed,
            lifetime_s=self.lifetime_s,
            report_delay_ms=self.report_delay_ms,
        )
        trial.report_loss = self.report_loss
        trial.add_agents(self.slots)
        trial.add_balancers(self.balancers)
        if self.prepare is not None:
            self.prepare(trial)
        self._fill(trial)
        return trial

    def _fill(self, trial: PlacementTrial) -> None:
        connections = CONNECTIONS_PER_SLOT * sum(self.slots)
        trial.set_arrivals(connections / _FILL_DURATION_S)
        trial.run(_FILL_DURATION_S)
        trial.set_arrivals(
            connections / self.lifetime_s if self.lifetime_s else 0
        )
        trial.run(5)


def _observe(trial: PlacementTrial) -> float:
    return trial.run(_OBSERVATION_S)


def _replace(trial: PlacementTrial) -> float:
    leaving = trial.agents[:2]
    trial.add_agents((1, 1), warm_up_ms=WARM_UP_MS)
    trial.drain(leaving, spread_s=10)
    trial.run(20)
    return trial.run(_OBSERVATION_S)


def _kill(trial: PlacementTrial) -> float:
    trial.kill(trial.agents[:2], reconnect_s=2)
    trial.add_agents((1, 1), warm_up_ms=WARM_UP_MS)
    trial.run(30)
    return trial.run(_OBSERVATION_S)


def _lose_reports(trial: PlacementTrial) -> float:
    trial.report_loss = 1
    worst = trial.run(10)
    trial.report_loss = 0
    return max(worst, trial.run(10))


def _stop_reports(trial: PlacementTrial) -> float:
    trial.agents[0].silent = True
    return trial.run(_OBSERVATION_S)


def _add_balancer(trial: PlacementTrial) -> float:
    trial.add_balancers(1)
    return trial.run(_OBSERVATION_S)


def _replace_balancers(trial: PlacementTrial) -> float:
    trial.balancers = []
    trial.add_balancers(4)
    return trial.run(_OBSERVATION_S)


def _add_balancers_and_replace(trial: PlacementTrial) -> float:
    trial.add_balancers(9)
    return _replace(trial)


def _report_zero_connections(trial: PlacementTrial) -> None:
    trial.agents[2].zeroed = ('connections',)


def _report_zero_in_all_fields(trial: PlacementTrial) -> None:
    trial.agents[2].zeroed = _ALL_FIELDS


def _report_half(trial: PlacementTrial) -> None:
    trial.agents[2].reported_share = 0.5


def _never_report(trial: PlacementTrial) -> None:
    trial.agents[0].silent = True


SCENARIOS: Final = (
    PlacementScenario(
        name='first fill, no departures', act=_observe, lifetime_s=0
    ),
    PlacementScenario(name='steady, 1 balancer', act=_observe, balancers=1),
    PlacementScenario(name='steady, 4 balancers', act=_observe),
    PlacementScenario(name='steady, 10 balancers', act=_observe, balancers=10),
    PlacementScenario(name='connections of 3 s', act=_observe, lifetime_s=3),
    PlacementScenario(
        name='one reports 0 connections',
        act=_observe,
        prepare=_report_zero_connections,
    ),
    PlacementScenario(
        name='one reports 0 in all fields',
        act=_observe,
        prepare=_report_zero_in_all_fields,
    ),
    PlacementScenario(
        name='one reports half', act=_observe, prepare=_report_half
    ),
    PlacementScenario(name='two of seven replaced', act=_replace),
    PlacementScenario(
        name='two replaced, one reports 0',
        act=_replace,
        prepare=_report_zero_in_all_fields,
    ),
    PlacementScenario(name='two of seven killed, two join', act=_kill),
    PlacementScenario(
        name='reports delayed by 1 s', act=_observe, report_delay_ms=1000
    ),
    PlacementScenario(
        name='two replaced, reports delayed by 1 s',
        act=_replace,
        report_delay_ms=1000,
    ),
    PlacementScenario(name='all reports lost for 10 s', act=_lose_reports),
    PlacementScenario(
        name='30% of reports lost', act=_observe, report_loss=0.3
    ),
    PlacementScenario(name='no reports at all', act=_observe, report_loss=1),
    PlacementScenario(name='one agent falls silent', act=_stop_reports),
    PlacementScenario(
        name='one agent never reports',
        act=_observe,
        prepare=_never_report,
    ),
    PlacementScenario(name='a balancer starts', act=_add_balancer, balancers=3),
    PlacementScenario(name='all balancers replaced', act=_replace_balancers),
    PlacementScenario(
        name='two replaced, 1 to 10 balancers',
        act=_add_balancers_and_replace,
        balancers=1,
    ),
    PlacementScenario(name='3 targets', act=_observe, slots=(1, 1, 1)),
    PlacementScenario(
        name='3 targets, one reports 0',
        act=_observe,
        slots=(1, 1, 1),
        prepare=_report_zero_in_all_fields,
    ),
    PlacementScenario(
        name='unequal slots', act=_observe, slots=(1, 2, 1, 4, 2, 1, 3)
    ),
)
