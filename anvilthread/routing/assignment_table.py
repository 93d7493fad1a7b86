"""Assignment of agents to balancers, updated as balancers join or leave."""

from bisect import insort
from collections.abc import Sequence
from typing import Final

from anvilthread.address import Address
from anvilthread.routing.rendezvous import hash_address, score

#: Limit on cached agents; entries of replaced VMs would otherwise accumulate.
_MAX_AGENTS: Final = 131_072

# Negative score and address, so that the balancer with the highest score is
# first.
_Ranking = list[tuple[float, Address]]


class AssignmentTable:
    """Determines which agents of a large service are assigned to a balancer.

    The best balancers of each agent are cached. Ranking all balancers for all
    agents again after each change would take minutes at 42,000 agents and 6,500
    balancers. A new balancer is therefore only compared with the cached ones,
    and only agents that lose an assigned balancer are ranked again.

    Args:
        balancer: Data address of this balancer.
        copies: Number of balancers assigned to each agent.
    """

    __slots__ = (
        '_all_balancers',
        '_balancer',
        '_copies',
        '_last_balancers',
        '_rankings',
    )

    def __init__(self, *, balancer: Address, copies: int) -> None:
        self._balancer = balancer
        self._copies = copies
        self._all_balancers: frozenset[Address] = frozenset((balancer,))
        self._last_balancers: Sequence[Address] = ()
        self._rankings: dict[Address, _Ranking] = {}

    def update_balancers(self, balancers: Sequence[Address]) -> None:
        """Replaces the balancers; this balancer is always included."""
        if balancers is self._last_balancers:
            return
        self._last_balancers = balancers
        current = frozenset((*balancers, self._balancer))
        added = [
            (hash_address(address), address)
            for address in current - self._all_balancers
        ]
        removed = self._all_balancers - current
        self._all_balancers = current
        for agent in list(self._rankings):
            self._update(agent, added, removed)

    def is_assigned(self, agent: Address) -> bool:
        """Tells whether an agent is assigned to this balancer."""
        ranking = self._rankings.get(agent)
        if ranking is None:
            ranking = self._rank(agent)
        return any(assigned == self._balancer for _, assigned in ranking)

    def _update(
        self,
        agent: Address,
        added: list[tuple[int, Address]],
        removed: frozenset[Address],
    ) -> None:
        ranking = self._rankings[agent]
        if any(assigned in removed for _, assigned in ranking):
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
            (-score(agent_hash, hash_address(address)), address)
            for address in self._all_balancers
        )
        self._rankings[agent] = ranking[: self._copies]
        return self._rankings[agent]
