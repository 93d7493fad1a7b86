"""Simulation of one placement policy in virtual time.

Processes seeded arrivals, departures and reports of in-memory agents; the
balancers share no state but the agents' reports.
"""

import heapq
import itertools
from collections.abc import Callable, Sequence
from functools import partial
from random import Random

from anvilthread.address import Address
from anvilthread.clock import ManualClock
from anvilthread.routing.candidate import Candidate
from anvilthread.routing.load_aware_placement import LoadAwarePlacement
from anvilthread.routing.load_report import LoadReport
from anvilthread.routing.load_table import LoadTable
from anvilthread.routing.placement import Placement
from standins.trial_agent import TrialAgent

SERVICE = 7
MS_PER_SECOND = 1000
#: Peers that receive each report of an agent.
REPORT_FANOUT = 8


#: Due time in ms, order among equal times, action.
_Event = tuple[float, int, Callable[[], object]]


class TrialBalancer:
    """A balancer with its own table and policy."""

    def __init__(
        self, *, address: Address, table: LoadTable, placement: Placement
    ) -> None:
        self.address = address
        self.table = table
        self.placement = placement


#: Builds the policy of one balancer from the trial, its table and address.
PolicyFactory = Callable[['PlacementTrial', LoadTable, Address], Placement]


class PlacementTrial:
    """Balancers, agents and clients on one virtual clock.

    Args:
        policy: Builds the policy of each balancer.
        seed: Seed of arrivals, lifetimes and delays.
        lifetime_s: Mean lifetime of a connection; 0 for no departures.
        report_delay_ms: One-way delay of reports.
        bounded: Whether agents pass on first packets over their bound.
    """

    def __init__(
        self,
        *,
        policy: PolicyFactory,
        seed: int = 1,
        lifetime_s: float = 30,
        report_delay_ms: float = 5,
        bounded: bool = True,
    ) -> None:
        self.clock = ManualClock()
        self.random = Random(seed)
        self.lifetime_s = lifetime_s
        self.report_delay_ms = report_delay_ms
        self.bounded = bounded
        self.arrivals_per_s: float = 0
        self.report_loss: float = 0
        self.balancers: list[TrialBalancer] = []
        self.agents: list[TrialAgent] = []
        self.passed_on = 0
        self.placed = 0
        self.unplaced = 0
        self._policy = policy
        self._now_ms: float = 0
        self._events: list[_Event] = []
        self._order = itertools.count()
        self._ports = itertools.count(1)
        self._connection_numbers = itertools.count()
        self._agents_by_address: dict[Address, TrialAgent] = {}
        self._arrivals_running = False

    def add_balancers(self, count: int) -> None:
        """Starts balancers with empty load tables."""
        for _ in range(count):
            address = self._address('10.0.1.1')
            table = LoadTable(clock=self.clock)
            placement = self._policy(self, table, address)
            self.balancers.append(
                TrialBalancer(address=address, table=table, placement=placement)
            )
        self._update_candidates()

    def add_agents(
        self, weights: Sequence[int], *, warm_up_ms: int = 0
    ) -> list[TrialAgent]:
        """Starts agents with the given slots."""
        added = [
            TrialAgent(
                service=SERVICE,
                address=self._address('10.0.2.1'),
                slots=slots,
                clock=self.clock,
                warm_up_ms=warm_up_ms,
            )
            for slots in weights
        ]
        for agent in added:
            self.agents.append(agent)
            self._agents_by_address[agent.address] = agent
            phase_ms = self.random.uniform(0, MS_PER_SECOND)
            self._schedule(phase_ms, partial(self._report, agent))
        self._update_candidates()
        return added

    def open_evenly(self, per_slot: int) -> None:
        """Opens connections on all agents without placing them."""
        for agent in self.agents:
            for _ in range(per_slot * agent.slots):
                self._open(agent)

    def kill(self, agents: list[TrialAgent], *, reconnect_s: float) -> None:
        """Kills agents; their clients reconnect within the given time."""
        for agent in agents:
            agent.alive = False
            self._reconnect_clients(agent, reconnect_s)
        self.agents = [agent for agent in self.agents if agent.alive]
        self._update_candidates()

    def drain(self, agents: list[TrialAgent], *, spread_s: float) -> None:
        """Drains agents; their clients move over the given time."""
        for agent in agents:
            agent.draining = True
            self._reconnect_clients(agent, spread_s)
        self.agents = [agent for agent in self.agents if not agent.draining]
        self._update_candidates()

    def set_arrivals(self, per_s: float) -> None:
        """Changes the rate of new connections."""
        self.arrivals_per_s = per_s
        if per_s and not self._arrivals_running:
            self._arrivals_running = True
            self._schedule(0, self._arrive)

    def run(self, seconds: float) -> float:
        """Advances the clock; returns the worst ratio in that time."""
        worst: float = 0
        steps = int(seconds * 10)
        for _ in range(steps):
            self._run_until(self._now_ms + MS_PER_SECOND / 10)
            worst = max(worst, self.ratio)
        return worst

    @property
    def ratio(self) -> float:
        """Largest to mean connections per slot over the live agents."""
        connections = sum(len(agent.open) for agent in self.agents)
        slots = sum(agent.slots for agent in self.agents)
        if not connections:
            return 0
        largest = max(len(agent.open) / agent.slots for agent in self.agents)
        return largest / (connections / slots)

    def _run_until(self, end_ms: float) -> None:
        while self._events and self._events[0][0] <= end_ms:
            due_ms, _, action = heapq.heappop(self._events)
            self.clock.skip(due_ms - self._now_ms)
            self._now_ms = due_ms
            action()
        self.clock.skip(end_ms - self._now_ms)
        self._now_ms = end_ms

    def _schedule(self, delay_ms: float, action: Callable[[], object]) -> None:
        entry = (self._now_ms + delay_ms, next(self._order), action)
        heapq.heappush(self._events, entry)

    def _address(self, host: str) -> Address:
        return Address(host=host, port=next(self._ports))

    def _update_candidates(self) -> None:
        candidates = [
            Candidate(
                agent=agent.address,
                weight=agent.slots,
                cold=agent.cold,
            )
            for agent in self.agents
        ]
        addresses = [balancer.address for balancer in self.balancers]
        for balancer in self.balancers:
            balancer.placement.update(SERVICE, candidates)
            if isinstance(balancer.placement, LoadAwarePlacement):
                balancer.placement.update_balancers(addresses)

    def _arrive(self) -> None:
        if not self.arrivals_per_s:
            self._arrivals_running = False
            return
        self._connect()
        rate = self.arrivals_per_s / MS_PER_SECOND
        self._schedule(self.random.expovariate(rate), self._arrive)

    def _connect(self) -> None:
        balancer = self.random.choice(self.balancers)
        flow_key = self.random.randbytes(14)
        decision = balancer.placement.place(SERVICE, flow_key)
        if decision is None:
            self.unplaced += 1
            return
        self.placed += 1
        agent = self._agents_by_address[decision.agent]
        has_alternate = self.bounded and decision.alternate is not None
        if not agent.admit(balancer.address, has_alternate=has_alternate):
            self.passed_on += 1
            agent = self._agents_by_address[decision.alternate or agent.address]
        self._open(agent)

    def _open(self, agent: TrialAgent) -> None:
        connection = next(self._connection_numbers)
        agent.accept_connection(connection)
        if self.lifetime_s:
            rate = 1 / (self.lifetime_s * MS_PER_SECOND)
            self._schedule(
                self.random.expovariate(rate),
                partial(agent.open.discard, connection),
            )

    def _reconnect_clients(self, agent: TrialAgent, spread_s: float) -> None:
        for connection in sorted(agent.open):
            delay_ms = self.random.uniform(0, spread_s * MS_PER_SECOND)
            self._schedule(
                delay_ms,
                partial(self._reconnect, agent, connection),
            )

    def _reconnect(self, agent: TrialAgent, connection: int) -> None:
        if connection in agent.open:
            agent.open.discard(connection)
            self._connect()

    def _report(self, agent: TrialAgent) -> None:
        if not agent.alive:
            return
        self._schedule(MS_PER_SECOND, partial(self._report, agent))
        if agent.silent:
            return
        for balancer in self.balancers:
            report = agent.report(balancer.address)
            self._deliver(report, balancer.table.accept)
        if self.bounded:
            peers = [peer for peer in self.agents if peer is not agent]
            chosen = self.random.sample(peers, min(REPORT_FANOUT, len(peers)))
            for peer in chosen:
                report = agent.report(agent.address)
                self._deliver(report, peer.bound.accept)

    def _deliver(
        self, report: LoadReport, accept: Callable[[LoadReport], bool]
    ) -> None:
        if self.random.random() < self.report_loss:
            return
        delay_ms = self.report_delay_ms * self.random.uniform(0.9, 1.1)
        self._schedule(delay_ms, partial(accept, report))
