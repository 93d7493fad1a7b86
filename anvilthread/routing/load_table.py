"""The loads of agents as one balancer knows them."""

from collections.abc import Collection
from typing import Final

from anvilthread.address import Address
from anvilthread.clock import Clock
from anvilthread.routing.agent_load import AgentLoad
from anvilthread.routing.load_report import LoadReport

#: Size from which reports of unknown agents are refused.
DEFAULT_CAPACITY: Final = 4096


class LoadTable:
    """Keeps the last report of each agent and counts own sends.

    Args:
        clock: Clock by which reports age.
        capacity: Size from which reports of agents that are not candidates
            are refused.
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
        """Takes a report from an agent.

        A higher incarnation starts afresh. The caller has checked the keyed
        tag and that the datagram comes from the address in the report.

        Args:
            report: The report.

        Returns:
            False if it is not newer than the last one or the table is full.
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
        """Returns the load of a candidate."""
        return self._loads.get(agent) or self._add(agent)

    def retain(self, agents: Collection[Address]) -> None:
        """Forgets all agents but the given ones."""
        for agent in self._loads.keys() - set(agents):
            self._loads.pop(agent)

    def _add(self, agent: Address) -> AgentLoad:
        load = AgentLoad(now_ms=self._clock.now_ms())
        self._loads[agent] = load
        return load
