"""The choice of an agent for a new flow."""

from collections.abc import Collection
from functools import partial
from typing import Final

from anvilthread.clock import Clock
from anvilthread.flows.agent_ranking import rank_agents
from anvilthread.flows.flow_key import FlowKey
from anvilthread.flows.known_node import KnownNode
from anvilthread.flows.roster import Roster
from anvilthread.flows.route_table import RouteTable
from anvilthread.flows.service_room import ServiceRoom

#: Agents that the key of a flow selects, of which the least loaded is chosen.
#: If several balancers chose the least loaded of all agents by the same
#: reports, they would send it a burst (Mitzenmacher, The Power of Two Choices,
#: 2001). A search for the holder asks the agents of the first ranks.
CANDIDATES: Final = 3

#: Maximum share of a service's agents that is ejected for failing. If more of
#: them fail, the cause is elsewhere, and the rest could not carry the load.
_MAX_EJECTED_SHARE: Final = 0.5

#: Run time of all targets of a service while none has answered a request. Only
#: the number of requests at each counts then, so any positive value will do.
_NOMINAL_RUN_MS: Final = 30


class FlowPlacement:
    """Chooses among the agents of a service by expected wait or load.

    Agents that limit the requests at their targets report an expected wait. If
    all candidates do, the shortest decides; otherwise the lowest load does.

    Args:
        clock: Clock for the age of reports.
        roster: The agents and their reports.
    """

    __slots__ = ('_clock', '_room', '_roster')

    def __init__(self, *, clock: Clock, roster: Roster) -> None:
        self._clock = clock
        self._roster = roster
        self._room = ServiceRoom(clock=clock, roster=roster)

    def has_room(self, service: str, key: FlowKey, table: RouteTable) -> bool:
        """Whether a new flow is admitted; see :class:`ServiceRoom`."""
        return self._room.admits(service, key, table)

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
        agents = self._roster.agents(service)
        candidates = self._candidates(agents, key, excluded)
        if not candidates:
            return None
        if all(node.wait.is_told for node in candidates):
            chosen = _least_wait(candidates, agents)
        else:
            chosen = min(candidates, key=_load)
        chosen.count_send()
        return chosen

    def _candidates(
        self,
        agents: list[KnownNode],
        key: FlowKey,
        excluded: Collection[str],
    ) -> list[KnownNode]:
        """Returns the first ranks of the usable agents.

        Mostly all of the first ranks are usable, and the others need not be
        checked: with 840 agents, the checks take most of the time.
        """
        now_ms = self._clock.now_ms()
        ranked = rank_agents(key, agents)[: CANDIDATES + len(excluded)]
        first = _allowed(ranked, excluded)[:CANDIDATES]
        if len(first) == CANDIDATES and all(
            node.is_fresh(now_ms) and not node.is_failing for node in first
        ):
            return first
        allowed = _allowed(agents, excluded)
        fresh = [node for node in allowed if node.is_fresh(now_ms)]
        usable = _without_failing(fresh or allowed)
        return rank_agents(key, usable)[:CANDIDATES]


def _allowed(
    agents: list[KnownNode], excluded: Collection[str]
) -> list[KnownNode]:
    """Returns the agents on which a new flow may be placed."""
    return [
        node for node in agents if node.accepts and node.host not in excluded
    ]


def _without_failing(agents: list[KnownNode]) -> list[KnownNode]:
    """Excludes agents with failing targets, unless there are too many."""
    healthy = [node for node in agents if not node.is_failing]
    ejected = len(agents) - len(healthy)
    return agents if ejected > len(agents) * _MAX_EJECTED_SHARE else healthy


def _least_wait(
    candidates: list[KnownNode], agents: list[KnownNode]
) -> KnownNode:
    """Returns the candidate with the shortest wait; the first if several.

    Among candidates without a wait, the least utilised is chosen: long-lived
    flows bring further requests, which a slow target takes longer to answer.
    """
    typical_run_ms: float = 0
    if not all(node.wait.run_ms for node in candidates):
        typical_run_ms = _typical_run_ms(agents)

    return min(candidates, key=partial(_wait_rank, typical_run_ms))


def _wait_rank(typical_run_ms: float, node: KnownNode) -> tuple[float, float]:
    wait_ms = node.wait.expected_ms(typical_run_ms)
    return wait_ms, 0 if wait_ms else node.wait.utilisation


def _typical_run_ms(agents: list[KnownNode]) -> float:
    """Returns the median of the known run times."""
    known = sorted(node.wait.run_ms for node in agents if node.wait.run_ms)
    return known[len(known) // 2] if known else _NOMINAL_RUN_MS


def _load(node: KnownNode) -> float:
    return node.load
