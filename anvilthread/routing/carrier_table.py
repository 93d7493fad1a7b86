"""Carriers of agents, kept up to date as balancers come and go."""

from bisect import insort
from collections.abc import Sequence
from typing import Final

from anvilthread.address import Address
from anvilthread.routing.rendezvous import hash_address, score

#: Agents whose carriers are kept; replaced VMs would otherwise add up.
_MAX_AGENTS: Final = 131_072

# Negative score and address, so that the best carrier comes first.
_Ranking = list[tuple[float, Address]]


class CarrierTable:
    """Tells whether one balancer carries an agent of a large service.

    Ranking all balancers for all agents again after each change would take
    minutes at 42,000 agents and 6,500 balancers. A new balancer is therefore
    compared with the kept best ones, and only agents that lose a carrier are
    ranked again.

    Args:
        balancer: Data address of this balancer.
        copies: Number of carriers per agent.
    """

    __slots__ = ('_balancer', '_copies', '_known', '_rankings', '_source')

    def __init__(self, *, balancer: Address, copies: int) -> None:
        self._balancer = balancer
        self._copies = copies
        self._known: frozenset[Address] = frozenset((balancer,))
        self._source: Sequence[Address] = ()
        self._rankings: dict[Address, _Ranking] = {}

    def use_balancers(self, balancers: Sequence[Address]) -> None:
        """Replaces the balancers; this one always counts as one of them."""
        if balancers is self._source:
            return
        self._source = balancers
        present = frozenset((*balancers, self._balancer))
        added = [(hash_address(one), one) for one in present - self._known]
        removed = self._known - present
        self._known = present
        for agent in list(self._rankings):
            self._update(agent, added, removed)

    def carries(self, agent: Address) -> bool:
        """Tells whether this balancer is among the carriers of an agent."""
        ranking = self._rankings.get(agent)
        if ranking is None:
            ranking = self._rank(agent)
        return any(carrier == self._balancer for _, carrier in ranking)

    def _update(
        self,
        agent: Address,
        added: list[tuple[int, Address]],
        removed: frozenset[Address],
    ) -> None:
        ranking = self._rankings[agent]
        if any(carrier in removed for _, carrier in ranking):
            self._rankings.pop(agent)
            return
        agent_hash = hash_address(agent)
        for balancer_hash, balancer in added:
            insort(ranking, (-score(agent_hash, balancer_hash), balancer))
        del ranking[self._copies :]

    def _rank(self, agent: Address) -> _Ranking:
        if len(self._rankings) >= _MAX_AGENTS:
            self._rankings.clear()
        agent_hash = hash_address(agent)
        ranking = sorted(
            (-score(agent_hash, hash_address(one)), one) for one in self._known
        )
        self._rankings[agent] = ranking[: self._copies]
        return self._rankings[agent]
