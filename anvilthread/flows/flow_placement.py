"""The choice of an agent for a new flow."""

from collections.abc import Collection
from functools import partial
from typing import Final

from anvilthread.clock import Clock
from anvilthread.flows.agent_ranking import rank_agents
from anvilthread.flows.evacuation_holder import EvacuationHolder
from anvilthread.flows.flow_counters import FlowCounters
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

#: Time after its start within which an agent may not have heard its target: the
#: longest heartbeat interval in use (1.2 s), and its jitter.
_RESTARTED_MS: Final = 1500

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
        evacuations: Sites whose agents get no new flow; None for none.
        counters: Counts flows placed in evacuated sites; None for no count.
    """

    __slots__ = ('_clock', '_counters', '_evacuations', '_room', '_roster')

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
        is_evacuated = chosen.record.site in self._evacuated_sites
        if self._counters is not None and is_evacuated:
            # Shows a fault of this class, whatever the choice depends on.
            self._counters.add('flow_placed_evacuated')
        return chosen

    def take(self, host: str) -> KnownNode | None:
        """Counts a flow as sent to a given agent.

        Args:
            host: Host of the agent.

        Returns:
            The agent; None if it no longer accepts new flows.
        """
        node = self._roster.get(host)
        if node is None or not self._allowed([node], ()):
            return None
        node.count_send()
        return node

    @property
    def _evacuated_sites(self) -> frozenset[str]:
        evacuations = self._evacuations
        return frozenset() if evacuations is None else evacuations.sites

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
        first = self._allowed(ranked, excluded)[:CANDIDATES]
        if len(first) == CANDIDATES and all(
            node.is_fresh(now_ms) and _is_sound(node) for node in first
        ):
            return first
        allowed = self._allowed(agents, excluded)
        fresh = [node for node in allowed if node.is_fresh(now_ms)]
        usable = _without_failing(_without_unheard(fresh or allowed, now_ms))
        return rank_agents(key, usable)[:CANDIDATES]

    def _allowed(
        self, agents: list[KnownNode], excluded: Collection[str]
    ) -> list[KnownNode]:
        """Returns the agents on which a new flow may be placed."""
        allowed = [
            node
            for node in agents
            if node.accepts and node.host not in excluded
        ]
        sites = self._evacuated_sites
        if sites:
            return [it for it in allowed if it.record.site not in sites]
        return allowed


def _is_sound(node: KnownNode) -> bool:
    return _knows_target(node) and not node.is_failing


def _knows_target(node: KnownNode) -> bool:
    report = node.report
    return report is None or report.knows_target


def _without_unheard(agents: list[KnownNode], now_ms: int) -> list[KnownNode]:
    """Excludes agents that do not know yet whether their target drains.

    After a restart of most processes at once, heartbeats arrive one by one
    while clients return, and the agents heard first could not carry the load.
    """
    restarted = sum(node.uptime_ms(now_ms) < _RESTARTED_MS for node in agents)
    if restarted * 2 > len(agents):
        return agents
    return [node for node in agents if _knows_target(node)] or agents


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
