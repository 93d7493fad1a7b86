"""Assignment of agents to balancers after changes of the balancers."""

from random import Random

import pytest

from anvilthread.address import Address
from anvilthread.routing import assignment_table
from anvilthread.routing.assignment_table import AssignmentTable
from anvilthread.routing.subset import assigned_balancers


def _addresses(network: int, count: int) -> list[Address]:
    return [
        Address(host=f'10.{network}.{number >> 8}.{number & 255}', port=7001)
        for number in range(count)
    ]


@pytest.mark.parametrize('seed', range(5))
def test_cached_assignments_equal_fresh_ones(seed: int) -> None:
    """Guards against agents assigned to too few or too many balancers.

    The cached assignment must equal a fresh ranking of all balancers.
    """
    random = Random(seed)
    local_balancer, *others = _addresses(1, 40)
    agents = _addresses(2, 30)
    table = AssignmentTable(balancer=local_balancer, copies=4)
    for _ in range(30):
        present = random.sample(others, random.randrange(len(others)))
        table.update_balancers(present)
        for agent in random.sample(agents, 20):
            expected = local_balancer in assigned_balancers(
                agent, [local_balancer, *present], 4
            )
            assert table.is_assigned(agent) == expected


def test_one_more_balancer_costs_one_score_per_agent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against ranking all balancers again after each change.

    This took 434 s of CPU time with 42,000 agents and 6,500 balancers.
    """
    scores = []
    original = assignment_table.score
    monkeypatch.setattr(
        assignment_table,
        'score',
        lambda *hashes: scores.append(hashes) or original(*hashes),
    )
    local_balancer, *others = _addresses(1, 100)
    agents = _addresses(2, 50)
    table = AssignmentTable(balancer=local_balancer, copies=4)
    table.update_balancers(others[:-1])
    for agent in agents:
        table.is_assigned(agent)
    scores.clear()
    table.update_balancers(others)
    for agent in agents:
        table.is_assigned(agent)
    assert len(scores) == len(agents)
