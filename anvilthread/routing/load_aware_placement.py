"""Placement by estimated load."""

from collections.abc import Sequence
from typing import Final

from anvilthread.address import Address
from anvilthread.clock import Clock
from anvilthread.routing.candidate import Candidate
from anvilthread.routing.load_table import LoadTable
from anvilthread.routing.placement_decision import PlacementDecision
from anvilthread.routing.rendezvous import hash_key
from anvilthread.routing.service_levels import ServiceLevels
from anvilthread.routing.subset import Subset

_REFRESH_INTERVAL_MS: Final = 50


class LoadAwarePlacement:
    """Chooses by hash among the agents with the lowest estimated load.

    Args:
        clock: Clock for the refresh interval of the estimates.
        table: Loads of the agents; also counts the sends of this balancer.
        subset: Which agents of a large service this balancer uses.
    """

    __slots__ = (
        '_balancers',
        '_candidates',
        '_clock',
        '_refreshed_ms',
        '_services',
        '_subset',
        '_table',
    )

    def __init__(
        self, *, clock: Clock, table: LoadTable, subset: Subset
    ) -> None:
        self._clock = clock
        self._table = table
        self._subset = subset
        self._balancers: tuple[Address, ...] = ()
        self._candidates: dict[int, tuple[Candidate, ...]] = {}
        self._services: dict[int, ServiceLevels] = {}
        self._refreshed_ms: dict[int, int] = {}

    @property
    def table(self) -> LoadTable:
        """Loads of the agents."""
        return self._table

    def update_balancers(self, balancers: Sequence[Address]) -> None:
        """Replaces the balancers among which large services are split."""
        self._balancers = tuple(balancers)
        for service in self._candidates:
            self._rebuild(service)
        self._drop_unused_loads()

    def update(self, service: int, candidates: Sequence[Candidate]) -> None:
        """Replaces the candidates of a service."""
        if candidates:
            self._candidates[service] = tuple(candidates)
            self._rebuild(service)
        elif service in self._candidates:
            self._candidates.pop(service)
            self._services.pop(service)
        self._drop_unused_loads()

    def place(self, service: int, flow_key: bytes) -> PlacementDecision | None:
        """Chooses an agent and an alternate and counts the send."""
        levels = self._refreshed_levels(service)
        if levels is None or not levels.members:
            return None
        chosen, alternate = levels.choose(hash_key(flow_key))
        chosen.load.record_send(levels.multiplier)
        return PlacementDecision(
            agent=chosen.candidate.agent,
            alternate=None if alternate is None else alternate.candidate.agent,
        )

    def _refreshed_levels(self, service: int) -> ServiceLevels | None:
        levels = self._services.get(service)
        if levels is not None:
            now_ms = self._clock.now_ms()
            if now_ms - self._refreshed_ms[service] >= _REFRESH_INTERVAL_MS:
                self._refreshed_ms[service] = now_ms
                levels.refresh(now_ms)
        return levels

    def _rebuild(self, service: int) -> None:
        chosen = self._subset.select(self._candidates[service], self._balancers)
        levels = ServiceLevels(candidates=chosen, table=self._table)
        now_ms = self._clock.now_ms()
        levels.refresh(now_ms)
        self._services[service] = levels
        self._refreshed_ms[service] = now_ms

    def _drop_unused_loads(self) -> None:
        """Removes the loads of agents that no service uses any more."""
        self._table.retain(
            {
                agent
                for levels in self._services.values()
                for agent in levels.agents
            }
        )
