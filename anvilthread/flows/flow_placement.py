"""The choice of an agent for a new flow."""

from collections.abc import Collection
from typing import Final

from anvilthread.clock import Clock
from anvilthread.flows.agent_ranking import rank_agents
from anvilthread.flows.evacuation_holder import EvacuationHolder
from anvilthread.flows.flow_counters import FlowCounters
from anvilthread.flows.flow_key import FlowKey
from anvilthread.flows.known_node import KnownNode
from anvilthread.flows.roster import Roster

#: Agents that the key of a flow selects, of which the least loaded is chosen.
#: If several balancers chose the least loaded of all agents by the same
#: reports, they would send it a burst (Mitzenmacher, The Power of Two Choices,
#: 2001). A search for the holder asks the agents of the first ranks.
CANDIDATES: Final = 3

#: Maximum share of a service's agents that is ejected for failing. If more of
#: them fail, the cause is elsewhere, and the rest could not carry the load.
_MAX_EJECTED_SHARE: Final = 0.5


class FlowPlacement:
    """Chooses among the agents of a service by their load.

    Args:
        clock: Clock for the age of reports.
        roster: The agents and their reports.
        evacuations: Sites whose agents get no new flow; None for none.
        counters: Counts flows placed in evacuated sites; None for no count.
    """

    __slots__ = ('_clock', '_counters', '_evacuations', '_roster')

    def __init__(
        self,
        *,
        clock: Clock,
        roster: Roster,
        evacuations: EvacuationHolder | None = None,
        counters: FlowCounters | None = None,
    ) -> None:
        self._clock = clock
        self._roster = roster
        self._evacuations = evacuations
        self._counters = counters

    def choose(
        self, service: str, key: FlowKey, excluded: Collection[str]
    ) -> KnownNode | None:
        """Chooses an agent for a new flow, and counts the flow as sent there.

        Args:
            service: Service of the flow.
            key: The flow.
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
        sites = self._evacuated_sites
        if sites:
            agents = [it for it in agents if it.record.site not in sites]
        fresh = [node for node in agents if node.is_fresh(now_ms)]
        usable = _without_failing(fresh or agents)
        if not usable:
            return None
        chosen = min(rank_agents(key, usable)[:CANDIDATES], key=_load)
        chosen.count_send()
        if self._counters is not None and chosen.record.site in sites:
            # Shows a fault of this class, whatever the choice depends on.
            self._counters.add('flow_placed_evacuated')
        return chosen

    @property
    def _evacuated_sites(self) -> frozenset[str]:
        evacuations = self._evacuations
        return frozenset() if evacuations is None else evacuations.sites


def _without_failing(agents: list[KnownNode]) -> list[KnownNode]:
    """Excludes agents with failing targets, unless there are too many."""
    healthy = [node for node in agents if not node.is_failing]
    ejected = len(agents) - len(healthy)
    return agents if ejected > len(agents) * _MAX_EJECTED_SHARE else healthy


def _load(node: KnownNode) -> float:
    return node.load
