"""Distribution of connections in each scenario, in virtual time."""

import pytest

from standins.placement_scenario import SCENARIOS, PlacementScenario
from standins.placement_trial import PlacementTrial
from standins.trial_policy import LOAD_AWARE

#: Ratio of the largest to the mean connections per slot, from the design page.
BOUND = 1.05


@pytest.mark.parametrize(
    'scenario', SCENARIOS, ids=[entry.name for entry in SCENARIOS]
)
def test_largest_to_mean(scenario: PlacementScenario) -> None:
    """Guards against an uneven distribution of connections."""
    assert scenario.measure(LOAD_AWARE, seed=11) <= BOUND


def test_load_at_subsets() -> None:
    """Guards against uneven load when balancers use subsets of a service."""
    trial = PlacementTrial(policy=LOAD_AWARE.build, lifetime_s=30)
    trial.add_agents((1,) * 48)
    trial.open_evenly(500)
    trial.add_balancers(12)
    trial.set_arrivals(48 * 500 / 30)
    trial.run(10)
    leaving = trial.agents[:5]
    trial.add_agents((1,) * 5)
    trial.drain(leaving, spread_s=5)
    trial.run(15)
    assert trial.run(5) <= BOUND


def test_cold_targets_fill_slowly() -> None:
    """Guards against a cold target that receives its full load at once."""
    trial = PlacementTrial(policy=LOAD_AWARE.build, lifetime_s=30)
    trial.add_agents((1,) * 7)
    trial.open_evenly(2000)
    trial.add_balancers(4)
    trial.set_arrivals(14_000 / 30)
    trial.run(5)
    trial.kill(trial.agents[:2], reconnect_s=2)
    cold = trial.add_agents((1, 1), warm_up_ms=5000)
    for _ in range(50):
        trial.run(0.1)
        warm = max(len(agent.open) for agent in trial.agents)
        for agent in cold:
            warmth = agent.report(agent.address).warmth_percent / 100
            assert len(agent.open) <= BOUND * warm * warmth


def test_wrong_report_is_noticed_without_bound() -> None:
    """Guards against a herd effect on an agent with wrong reports.

    The admission bound of the agents is off, so only the balancers can stop it.
    """
    trial = PlacementTrial(
        policy=LOAD_AWARE.build, lifetime_s=30, bounded=False
    )
    trial.add_agents((1,) * 7)
    trial.open_evenly(2000)
    trial.add_balancers(4)
    trial.set_arrivals(14_000 / 30)
    trial.run(10)
    trial.agents[3].zeroed = ('connections', 'accepted', 'placed', 'received')
    trial.run(20)
    assert trial.run(20) <= 7 / 6


def test_few_packets_are_passed_on() -> None:
    """Guards against an extra hop for most packets of an evenly loaded service."""
    scenario = next(entry for entry in SCENARIOS if entry.balancers == 10)
    trial = scenario.start(LOAD_AWARE, seed=5)
    trial.passed_on = 0
    trial.placed = 0
    trial.run(20)
    assert trial.passed_on <= 0.01 * trial.placed
