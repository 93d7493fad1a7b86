"""Loads of agents as seen by one balancer."""

from collections.abc import Collection
from typing import Final

from anvilthread.address import Address
from anvilthread.clock import Clock
from anvilthread.routing.agent_load import AgentLoad
from anvilthread.routing.load_report import LoadReport

#: Table size at which reports of unknown agents are refused.
DEFAULT_CAPACITY: Final = 4096


class LoadTable:
    """Keeps the last report of each agent and counts this balancer's sends.

    Args:
        clock: Clock for the age of reports.
        capacity: Table size at which reports of agents that are not
            candidates are refused.
    """

    __slots__ = ('_capacity', '_clock', '_loads')

    def __init__(
        self, *, clock: Clock, capacity: int = DEFAULT_CAPACITY
    ) -> None:
        self._clock = clock
        self._capacity = capacity
        self._loads: dict[Address, AgentLoad] = {}

    def __len__(self) -> int:
        return len(self._loads)

    def accept(self, report: LoadReport) -> bool:
        """Stores a load report of an agent.

        A higher incarnation resets the state of the agent. The caller must have
        verified the authentication tag and that the source address of the
        datagram is the address in the report.

        Args:
            report: The report.

        Returns:
            False if the report is not newer than the last one, or if the agent
            is unknown and the table is full.
        """
        load = self._loads.get(report.agent)
        if load is None:
            if len(self._loads) >= self._capacity:
                return False
            load = self._add(report.agent)
        if not load.is_newer(report):
            return False
        last = load.report
        if last is not None and last.incarnation < report.incarnation:
            load = self._add(report.agent)
        load.accept(report, self._clock.now_ms())
        return True

    def load(self, agent: Address) -> AgentLoad:
        """Returns the load of an agent; adds the agent if it is unknown."""
        return self._loads.get(agent) or self._add(agent)

    def retain(self, agents: Collection[Address]) -> None:
        """Removes all agents except the given ones."""
        for agent in self._loads.keys() - set(agents):
            self._loads.pop(agent)

    def _add(self, agent: Address) -> AgentLoad:
        load = AgentLoad(now_ms=self._clock.now_ms())
        self._loads[agent] = load
        return load
