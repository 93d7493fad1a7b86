"""Placement of new flows under peak load patterns."""

from statistics import mean

import pytest

from anvilthread.clock import ManualClock
from anvilthread.flows.flow_placement import FlowPlacement
from anvilthread.flows.node_messages import LoadReport
from anvilthread.flows.node_record import NodeRecord, NodeRole
from anvilthread.flows.message_periods import balancer_period_ms
from anvilthread.flows.roster import Roster
from anvilthread.telemetry.memory_log import MemoryLog
from standins.flow_cluster import flow_key

_SERVICE = 'bookings'
_PERIOD_MS = 100


class _Fleet:
    """Agents whose load is the number of flows placed on them."""

    def __init__(self, *, agents: int, balancers: int, slots: int) -> None:
        self.clock = ManualClock(start_ms=1000)
        self.slots = slots
        self.period_ms = _PERIOD_MS
        self.working = {f'10.0.1.{agent}': 0 for agent in range(agents)}
        self.cold: set[str] = set()
        self.silent: set[str] = set()
        self._sequence = 0
        self._placed = 0
        self._placements = []
        self.rosters = []
        for number in range(balancers):
            local_node = NodeRecord(
                f'10.0.0.{number}', NodeRole.BALANCER, 'site-a', '', 1
            )
            roster = Roster(
                clock=self.clock, local_node=local_node, log=MemoryLog()
            )
            self.rosters.append(roster)
            self._placements.append(
                FlowPlacement(clock=self.clock, roster=roster)
            )

    def report(self) -> None:
        """Sends a report of every agent to every balancer."""
        self._sequence += 1
        for host, working in self.working.items():
            if host in self.silent:
                continue
            report = LoadReport(
                node=NodeRecord(host, NodeRole.AGENT, 'site-a', _SERVICE, 1),
                sequence=self._sequence,
                accepts=True,
                working=working,
                busy=working,
                flows=0,
                period_ms=self.period_ms,
                slots=self.slots,
                cold_ms=1000 if host in self.cold else 0,
                version=1,
                check_age_ms=0,
            )
            for roster in self.rosters:
                roster.record_report(report)

    def place(self, count: int) -> None:
        """Places flows through all balancers in turn, between reports."""
        for number in range(count):
            placement = self._placements[number % len(self._placements)]
            self._placed += 1
            chosen = placement.choose(_SERVICE, flow_key(self._placed), ())
            assert chosen is not None
            self.working[chosen.host] += 1


@pytest.mark.parametrize(
    ('agents', 'balancers', 'slots'), [(7, 6, 2), (7, 9, 1), (45, 22, 1)]
)
def test_burst_of_new_flows_is_spread(
    agents: int, balancers: int, slots: int
) -> None:
    """Guards against a target that receives a burst from all balancers.

    Pattern: all clients reopen their flows within one report period, and every
    balancer has the same load reports.
    """
    fleet = _Fleet(agents=agents, balancers=balancers, slots=slots)
    fleet.report()
    for _ in range(5):
        fleet.place(agents * 4)
        fleet.clock.advance(_PERIOD_MS)
        fleet.report()
    # The least loaded by the same reports would get every flow; a random
    # choice would give one target about 1.6 times the mean.
    assert max(fleet.working.values()) <= 1.4 * mean(fleet.working.values())


def test_busy_target_gets_no_new_flows() -> None:
    """Guards against equal shares while one target is slow.

    Pattern: one target is five times slower, so its requests queue up.
    """
    fleet = _Fleet(agents=7, balancers=6, slots=2)
    fleet.working['10.0.1.0'] = 12
    fleet.report()
    fleet.place(14)
    assert fleet.working['10.0.1.0'] == 12


def test_cold_target_gets_less() -> None:
    """Guards against a full share for a target in its slow start.

    Pattern: a release starts new targets among warm, lightly loaded ones.
    """
    fleet = _Fleet(agents=7, balancers=6, slots=2)
    fleet.cold = {'10.0.1.0'}
    fleet.report()
    fleet.place(70)
    warm = [load for host, load in fleet.working.items() if host[-1] != '0']
    assert fleet.working['10.0.1.0'] < mean(warm)


def test_silent_agent_is_skipped() -> None:
    """Guards against flows placed on an agent whose reports have stopped.

    Pattern: a VM dies; its last report shows it idle.
    """
    fleet = _Fleet(agents=4, balancers=2, slots=2)
    fleet.report()
    fleet.silent = {'10.0.1.0'}
    for host in list(fleet.working)[1:]:
        fleet.working[host] = 5
    for _ in range(6):
        fleet.clock.advance(_PERIOD_MS)
        fleet.report()
    fleet.place(10)
    assert fleet.working['10.0.1.0'] == 0


@pytest.mark.parametrize(('agents', 'per_second'), [(10, 100), (1000, 125)])
def test_report_rate_at_a_balancer_is_limited(
    agents: int, per_second: int
) -> None:
    """Guards against reports that use up the processor of small balancers.

    Pattern: a large fleet reports to balancers with a sixth of a core.
    """
    assert agents * 1000 / balancer_period_ms(agents) <= per_second


@pytest.mark.parametrize('agents', [7, 45, 1000])
def test_lost_report_does_not_expire_an_agent(agents: int) -> None:
    """Guards against searches that omit an agent after one lost report.

    Pattern: links lose packets while flows move to other balancers.
    """
    fleet = _Fleet(agents=1, balancers=1, slots=2)
    fleet.period_ms = balancer_period_ms(agents)
    fleet.report()
    fleet.clock.advance(2 * fleet.period_ms)
    node = fleet.rosters[0].agents(_SERVICE)[0]
    assert node.may_hold_flows(fleet.clock.now_ms())
