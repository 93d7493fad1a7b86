"""The choice of an agent for a new flow."""

from collections.abc import Collection
from random import Random
from typing import Final

from anvilthread.clock import Clock
from anvilthread.flows.known_node import KnownNode
from anvilthread.flows.roster import Roster

#: Agents drawn at random, of which the least loaded is taken. Several
#: balancers that all took the least loaded of all by the same report would
#: send it a burst (Mitzenmacher, The Power of Two Choices, 2001).
_DRAWN: Final = 3

#: Largest share of a service's agents that is spared for failing. If more of
#: them fail, the cause is elsewhere, and the rest could not bear the load.
_MAX_SPARED_SHARE: Final = 0.5


class FlowPlacement:
    """Chooses among the agents of a service by their load.

    Args:
        clock: Clock for the age of reports.
        random: Source of the draws.
        roster: The agents and their reports.
    """

    __slots__ = ('_clock', '_random', '_roster')

    def __init__(self, *, clock: Clock, random: Random, roster: Roster) -> None:
        self._clock = clock
        self._random = random
        self._roster = roster

    def choose(
        self, service: str, excluded: Collection[str]
    ) -> KnownNode | None:
        """Returns an agent for a new flow, and counts it as sent there.

        Args:
            service: Service of the flow.
            excluded: Hosts that have already refused or not answered.

        Returns:
            The agent, or None if none accepts new flows.
        """
        now_ms = self._clock.now_ms()
        agents = [
            node
            for node in self._roster.agents(service)
            if node.accepts and node.host not in excluded
        ]
        fresh = [node for node in agents if node.is_fresh(now_ms)]
        usable = _without_failing(fresh or agents)
        if not usable:
            return None
        drawn = self._random.sample(usable, min(_DRAWN, len(usable)))
        chosen = min(drawn, key=_load)
        chosen.count_send()
        return chosen


def _without_failing(agents: list[KnownNode]) -> list[KnownNode]:
    """Leaves out agents whose targets fail, unless there are too many."""
    sound = [node for node in agents if not node.is_failing]
    spared = len(agents) - len(sound)
    return agents if spared > len(agents) * _MAX_SPARED_SHARE else sound


def _load(node: KnownNode) -> float:
    return node.load
