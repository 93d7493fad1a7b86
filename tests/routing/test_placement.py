"""Placement decisions: candidates, herd effects and failing agents."""

from collections import Counter
from random import Random

import pytest

from anvilthread.address import Address
from anvilthread.clock import ManualClock
from anvilthread.routing.candidate import Candidate
from anvilthread.routing.least_loaded_placement import LeastLoadedPlacement
from anvilthread.routing.load_aware_placement import LoadAwarePlacement
from anvilthread.routing.load_report import LoadReport
from anvilthread.routing.load_table import LoadTable
from anvilthread.routing.placement import Placement
from anvilthread.routing.random_placement import RandomPlacement
from anvilthread.routing.rendezvous_placement import RendezvousPlacement
from anvilthread.routing.subset import Subset

SERVICE = 1
AGENTS = [Address(host='10.0.2.1', port=port) for port in range(1, 8)]
POLICIES = ('load-aware', 'rendezvous', 'random', 'least loaded')


class _Balancer:
    """A load-aware placement with its clock and table."""

    def __init__(self) -> None:
        self.clock = ManualClock(start_ms=1)
        self.table = LoadTable(clock=self.clock)
        self.placement = LoadAwarePlacement(
            clock=self.clock,
            table=self.table,
            subset=Subset(balancer=Address(host='10.0.1.1', port=1)),
        )
        self.sequence = 0

    def report(
        self, agents: list[Address], connections: tuple[int, ...]
    ) -> None:
        """Delivers one report of each agent and advances the clock by 1 s."""
        self.sequence += 1
        for agent, number in zip(agents, connections, strict=True):
            self.table.accept(
                LoadReport(
                    service=SERVICE,
                    agent=agent,
                    incarnation=1,
                    sequence=self.sequence,
                    connections=number,
                    received=self.table.load(agent).sent,
                    placed=self.table.load(agent).sent,
                )
            )
        self.clock.skip(1000)

    def place(self, count: int) -> Counter[Address | None]:
        """Places flows and returns the number of flows per agent."""
        chosen: Counter[Address | None] = Counter()
        for number in range(count):
            key = (self.sequence * 10**6 + number).to_bytes(8, 'big')
            decision = self.placement.place(SERVICE, key)
            chosen[None if decision is None else decision.agent] += 1
        return chosen


@pytest.mark.parametrize('policy', POLICIES)
@pytest.mark.parametrize(
    'candidates',
    [
        (),
        (Candidate(agent=AGENTS[0], draining=True),),
        (Candidate(agent=AGENTS[0], weight=0),),
    ],
)
def test_no_usable_candidate(
    policy: str, candidates: tuple[Candidate, ...]
) -> None:
    """Guards against an exception or an unusable agent.

    No candidate accepts new connections.
    """
    placement = _policy(policy)
    placement.update(SERVICE, candidates)
    assert placement.place(SERVICE, b'flow') is None
    placement.update(SERVICE, [])
    assert placement.place(SERVICE, b'flow') is None


@pytest.mark.parametrize('policy', POLICIES)
def test_single_candidate_has_no_alternate(policy: str) -> None:
    """Guards against an alternate that equals the agent."""
    placement = _policy(policy)
    placement.update(SERVICE, [Candidate(agent=AGENTS[0])])
    decision = placement.place(SERVICE, b'flow')
    assert decision is not None
    assert decision.agent == AGENTS[0]
    assert decision.alternate is None


@pytest.mark.parametrize('policy', POLICIES)
def test_alternate_differs_and_is_usable(policy: str) -> None:
    """Guards against packets passed back or to a draining agent."""
    placement = _policy(policy)
    usable = AGENTS[:3]
    placement.update(
        SERVICE,
        [
            Candidate(agent=agent, draining=agent not in usable)
            for agent in AGENTS
        ],
    )
    for number in range(500):
        decision = placement.place(SERVICE, number.to_bytes(2, 'big'))
        assert decision is not None
        assert decision.agent != decision.alternate
        assert {decision.agent, decision.alternate} <= set(usable)


@pytest.mark.parametrize('policy', POLICIES)
def test_services_do_not_mix(policy: str) -> None:
    """Guards against a connection placed on an agent of another service."""
    placement = _policy(policy)
    placement.update(1, [Candidate(agent=agent) for agent in AGENTS[:3]])
    placement.update(2, [Candidate(agent=agent) for agent in AGENTS[3:]])
    for number in range(300):
        decision = placement.place(2, number.to_bytes(2, 'big'))
        assert decision is not None
        assert {decision.agent, decision.alternate} <= set(AGENTS[3:])


def test_draining_report_stops_placement() -> None:
    """Guards against new connections to a draining target.

    A load report can show the drain earlier than membership does.
    """
    balancer = _started(AGENTS)
    balancer.report(AGENTS, (100,) * 7)
    balancer.table.accept(
        LoadReport(
            service=SERVICE,
            agent=AGENTS[0],
            incarnation=1,
            sequence=2,
            connections=0,
            draining=True,
        )
    )
    balancer.clock.skip(100)
    assert not balancer.place(200)[AGENTS[0]]


def test_own_sends_prevent_a_herd() -> None:
    """Guards against a herd effect on the least loaded agent.

    The restarted agent has 100 connections fewer than the others; once it has
    caught up, the remaining flows are spread.
    """
    balancer = _started(AGENTS)
    for _ in range(4):
        balancer.place(70)
        balancer.report(AGENTS, (100,) * 7)
    balancer.report(AGENTS[:6], (100,) * 6)
    restarted = LoadReport(
        service=SERVICE,
        agent=AGENTS[-1],
        incarnation=2,
        sequence=1,
        connections=0,
    )
    assert balancer.table.accept(restarted)
    chosen = balancer.place(800)
    levels = [
        chosen[agent] + (0 if agent == AGENTS[-1] else 100) for agent in AGENTS
    ]
    assert max(levels) <= 1.05 * sum(levels) / 7


def test_vanished_agent_attracts_no_herd() -> None:
    """Guards against an empty agent that fails and attracts new flows."""
    balancer = _started(AGENTS)
    for _ in range(3):
        balancer.report(AGENTS, (*((2000,) * 6), 0))
    for _ in range(8):
        balancer.report(AGENTS[:6], (2000,) * 6)
    total = Counter[Address | None]()
    for _ in range(10):
        total += balancer.place(70)
        balancer.report(AGENTS[:6], (2000,) * 6)
    assert total[AGENTS[-1]] <= 1.2 * 700 / 7


def test_silent_new_agent_does_not_catch_up() -> None:
    """Guards against a failed new agent that attracts most new flows.

    It received fewer flows than the others before it stopped reporting.
    """
    balancer = _started(AGENTS[:6])
    for _ in range(10):
        balancer.place(300)
        balancer.report(AGENTS[:6], (500,) * 6)
    balancer.placement.update(
        SERVICE, [Candidate(agent=agent) for agent in AGENTS]
    )
    balancer.report(AGENTS, (*((500,) * 6), 490))
    for _ in range(8):
        balancer.report(AGENTS[:6], (500,) * 6)
    total = Counter[Address | None]()
    for _ in range(10):
        total += balancer.place(70)
        balancer.report(AGENTS[:6], (500,) * 6)
    assert total[AGENTS[-1]] <= 1.2 * 700 / 7


def test_removed_agent_is_forgotten() -> None:
    """Guards against flows to and memory for agents that have left."""
    balancer = _started(AGENTS)
    balancer.report(AGENTS, (10,) * 7)
    balancer.placement.update(
        SERVICE, [Candidate(agent=agent) for agent in AGENTS[1:]]
    )
    assert not balancer.place(200)[AGENTS[0]]
    assert len(balancer.table) == 6


def test_repeated_first_packet_keeps_its_agent() -> None:
    """Guards against a retransmitted packet that opens a second connection.

    With an even load, nearly all retransmissions reach the first agent.
    """
    balancer = _started(AGENTS)
    for _ in range(3):
        balancer.report(AGENTS, (2000,) * 7)
    same_agent = 0
    for number in range(100):
        key = number.to_bytes(2, 'big')
        first = balancer.placement.place(SERVICE, key)
        again = balancer.placement.place(SERVICE, key)
        assert first is not None
        assert again is not None
        same_agent += first.agent == again.agent
        if number % 10 == 9:
            balancer.report(AGENTS, (2000,) * 7)
    assert same_agent >= 90


def test_alternates_of_a_herd_are_spread() -> None:
    """Guards against a single alternate for all packets that are passed on."""
    balancer = _started(AGENTS)
    for _ in range(3):
        balancer.report(AGENTS, (0, 1990, *((2000,) * 5)))
    alternates = Counter[Address | None]()
    for number in range(300):
        decision = balancer.placement.place(SERVICE, number.to_bytes(2, 'big'))
        assert decision is not None
        if decision.agent == AGENTS[0]:
            alternates[decision.alternate] += 1
    assert alternates.total() > 100
    assert max(alternates.values()) < alternates.total() / 2


def _started(agents: list[Address]) -> _Balancer:
    balancer = _Balancer()
    balancer.placement.update(
        SERVICE, [Candidate(agent=agent) for agent in agents]
    )
    return balancer


def _policy(name: str) -> Placement:
    table = LoadTable(clock=ManualClock())
    policies: dict[str, Placement] = {
        'load-aware': _Balancer().placement,
        'rendezvous': RendezvousPlacement(),
        'random': RandomPlacement(random=Random(1)),
        'least loaded': LeastLoadedPlacement(table=table),
    }
    return policies[name]
