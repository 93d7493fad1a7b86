"""Bounded subsets of agents per balancer."""

from collections.abc import Sequence
from typing import Final

from anvilthread.address import Address
from anvilthread.routing.candidate import Candidate
from anvilthread.routing.carrier_table import CarrierTable
from anvilthread.routing.rendezvous import hash_address, highest

#: Balancers that place on one agent and get its separate load reports.
DEFAULT_COPIES: Final = 4

#: Services up to this size are used whole by every balancer.
DEFAULT_WHOLE_SIZE: Final = 32

#: Fewest agents that a balancer uses of a larger service.
DEFAULT_LEAST_SIZE: Final = 16


def carriers(
    agent: Address, balancers: Sequence[Address], copies: int = DEFAULT_COPIES
) -> list[Address]:
    """Returns the balancers that place on an agent of a large service.

    The agent picks them, so that none is left without a balancer; picking
    agents per balancer leaves some unused (see docs/placement.md).

    Args:
        agent: Data address of the agent.
        balancers: Data addresses of the balancers of the service.
        copies: Number of balancers per agent.
    """
    return highest(
        hash_address(agent), ((address, 1) for address in balancers), copies
    )


class Subset:
    """Selects the agents that one balancer uses.

    Args:
        balancer: Data address of this balancer.
        copies: Number of balancers per agent.
        whole_size: Largest service that is used whole.
        least_size: Fewest agents to use of a larger service.
    """

    __slots__ = ('_balancer', '_carriers', '_least_size', '_whole_size')

    def __init__(
        self,
        *,
        balancer: Address,
        copies: int = DEFAULT_COPIES,
        whole_size: int = DEFAULT_WHOLE_SIZE,
        least_size: int = DEFAULT_LEAST_SIZE,
    ) -> None:
        self._balancer = balancer
        self._carriers = CarrierTable(balancer=balancer, copies=copies)
        self._whole_size = whole_size
        self._least_size = least_size

    def select(
        self, candidates: Sequence[Candidate], balancers: Sequence[Address]
    ) -> list[Candidate]:
        """Returns the candidates that this balancer uses.

        Args:
            candidates: Agents of the service.
            balancers: Balancers of the service; this one is added when it is
                not listed.
        """
        if len(candidates) <= self._whole_size:
            return list(candidates)
        self._carriers.use_balancers(balancers)
        chosen = {
            candidate.agent
            for candidate in candidates
            if self._carriers.carries(candidate.agent)
        }
        if len(chosen) < self._least_size:
            chosen.update(self._nearest(candidates))
        return [
            candidate for candidate in candidates if candidate.agent in chosen
        ]

    def _nearest(self, candidates: Sequence[Candidate]) -> list[Address]:
        return highest(
            hash_address(self._balancer),
            ((candidate.agent, candidate.weight) for candidate in candidates),
            self._least_size,
        )
