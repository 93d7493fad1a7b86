"""The choice of an agent for a new flow."""

from collections.abc import Collection
from typing import Final

from anvilthread.clock import Clock
from anvilthread.flows.agent_ranking import rank_agents
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

#: Time after its start within which an agent may not have heard its target: the
#: longest heartbeat interval in use (1.2 s), and its jitter.
_RESTARTED_MS: Final = 1500


class FlowPlacement:
    """Chooses among the agents of a service by their load.

    Args:
        clock: Clock for the age of reports.
        roster: The agents and their reports.
    """

    __slots__ = ('_clock', '_roster')

    def __init__(self, *, clock: Clock, roster: Roster) -> None:
        self._clock = clock
        self._roster = roster

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
        fresh = [node for node in agents if node.is_fresh(now_ms)]
        usable = _without_failing(_without_unheard(fresh or agents, now_ms))
        if not usable:
            return None
        chosen = min(rank_agents(key, usable)[:CANDIDATES], key=_load)
        chosen.count_send()
        return chosen


def _without_unheard(agents: list[KnownNode], now_ms: int) -> list[KnownNode]:
    """Excludes agents that do not know yet whether their target drains.

    After a restart of most processes at once, heartbeats arrive one by one
    while clients return, and the agents heard first could not carry the load.
    """
    restarted = sum(node.uptime_ms(now_ms) < _RESTARTED_MS for node in agents)
    if restarted * 2 > len(agents):
        return agents
    return [node for node in agents if node.knows_target] or agents


def _without_failing(agents: list[KnownNode]) -> list[KnownNode]:
    """Excludes agents with failing targets, unless there are too many."""
    healthy = [node for node in agents if not node.is_failing]
    ejected = len(agents) - len(healthy)
    return agents if ejected > len(agents) * _MAX_EJECTED_SHARE else healthy


def _load(node: KnownNode) -> float:
    return node.load
