"""Subsetting: the agents of a large service that one balancer uses."""

from collections.abc import Sequence
from typing import Final

from anvilthread.address import Address
from anvilthread.routing.candidate import Candidate
from anvilthread.routing.assignment_table import AssignmentTable
from anvilthread.routing.rendezvous import hash_address, top_nodes

#: Balancers per agent that place connections on it and receive its separate
#: load reports.
DEFAULT_COPIES: Final = 4

#: Largest service of which every balancer uses all agents.
DEFAULT_WHOLE_SIZE: Final = 32

#: Minimum number of agents that a balancer uses of a larger service.
DEFAULT_LEAST_SIZE: Final = 16


def assigned_balancers(
    agent: Address, balancers: Sequence[Address], copies: int = DEFAULT_COPIES
) -> list[Address]:
    """Returns the balancers assigned to an agent of a large service.

    Balancers are selected per agent, so that every agent has some; selecting
    agents per balancer would leave some agents unused (see docs/placement.md).

    Args:
        agent: Data address of the agent.
        balancers: Data addresses of the balancers of the service.
        copies: Number of balancers per agent.
    """
    return top_nodes(
        hash_address(agent), ((address, 1) for address in balancers), copies
    )


class Subset:
    """Selects the agents that one balancer uses.

    Args:
        balancer: Data address of this balancer.
        copies: Number of balancers per agent.
        whole_size: Largest service of which all agents are used.
        least_size: Minimum number of agents to use of a larger service.
    """

    __slots__ = ('_assignments', '_balancer', '_least_size', '_whole_size')

    def __init__(
        self,
        *,
        balancer: Address,
        copies: int = DEFAULT_COPIES,
        whole_size: int = DEFAULT_WHOLE_SIZE,
        least_size: int = DEFAULT_LEAST_SIZE,
    ) -> None:
        self._balancer = balancer
        self._assignments = AssignmentTable(balancer=balancer, copies=copies)
        self._whole_size = whole_size
        self._least_size = least_size

    def select(
        self, candidates: Sequence[Candidate], balancers: Sequence[Address]
    ) -> list[Candidate]:
        """Returns the subset of candidates that this balancer uses.

        Args:
            candidates: Agents of the service.
            balancers: Balancers of the service; this balancer is added if it
                is not listed.
        """
        if len(candidates) <= self._whole_size:
            return list(candidates)
        self._assignments.update_balancers(balancers)
        chosen = {
            candidate.agent
            for candidate in candidates
            if self._assignments.is_assigned(candidate.agent)
        }
        if len(chosen) < self._least_size:
            chosen.update(self._top_agents(candidates))
        return [
            candidate for candidate in candidates if candidate.agent in chosen
        ]

    def _top_agents(self, candidates: Sequence[Candidate]) -> list[Address]:
        return top_nodes(
            hash_address(self._balancer),
            ((candidate.agent, candidate.weight) for candidate in candidates),
            self._least_size,
        )
