"""What a balancer concludes from the agents that it hears."""

import pytest

from anvilthread.clock import ManualClock
from anvilthread.flows.fleet_view import FleetView
from anvilthread.flows.node_messages import LoadReport
from anvilthread.flows.node_record import NodeRecord, NodeRole
from anvilthread.flows.roster import Roster
from anvilthread.telemetry.memory_log import MemoryLog

_STARTED_MS = 50_000
_TICK_MS = 20


def _record(number: int, role: NodeRole) -> NodeRecord:
    return NodeRecord(
        host=f'10.0.{role.value}.{number}',
        role=role,
        site='site-a',
        service='bookings',
        incarnation=1,
    )


class _Balancer:
    """A balancer that has just started, and the reports that it gets."""

    def __init__(self) -> None:
        self.clock = ManualClock(start_ms=_STARTED_MS)
        self.roster = Roster(
            clock=self.clock,
            local_node=_record(1, NodeRole.BALANCER),
            log=MemoryLog(),
        )
        self.fleet = FleetView(clock=self.clock, roster=self.roster)
        self._sequence = 0

    def run(
        self, until_ms: int, *, agents: int, lead_ms: int, new_targets: int
    ) -> None:
        """Lets agents report until some time after the start.

        Args:
            until_ms: Time after the start of the balancer.
            agents: Number of agents that report.
            lead_ms: Time by which they have started before the balancer.
            new_targets: Number of agents whose target is new.
        """
        while self.clock.now_ms() < _STARTED_MS + until_ms:
            self.clock.advance(_TICK_MS)
            self._sequence += 1
            for number in range(agents):
                self._report(number, lead_ms, is_new=number < new_targets)
            self.fleet.tick()

    def _report(self, number: int, lead_ms: int, *, is_new: bool) -> None:
        report = LoadReport(
            node=_record(number, NodeRole.AGENT),
            sequence=self._sequence,
            accepts=True,
            working=0,
            busy=0,
            flows=0,
            period_ms=100,
            slots=1,
            cold_ms=0,
            version=1,
            check_age_ms=0,
            uptime_ms=self.clock.now_ms() - _STARTED_MS + lead_ms,
            has_new_target=is_new,
        )
        self.roster.record_report(report)


@pytest.mark.parametrize(
    ('lead_ms', 'new_targets', 'proved_ms'),
    [
        # A loss of power, with early, common and late starts of the balancer.
        (-1000, 10, 320),
        (0, 10, 320),
        (1400, 10, 320),
        (2500, 10, 320),
        (3900, 10, 320),
        # A balancer that has started alone, though no target has restarted.
        (6000, 10, 3020),
        (3_600_000, 10, 3020),
        # A kill of processes: most targets keep their flows.
        (0, 5, 3020),
        (2500, 5, 3020),
        (2500, 0, 3020),
    ],
)
def test_time_of_proof(lead_ms: int, new_targets: int, proved_ms: int) -> None:
    """Guards against early resets of live flows, and late ones of lost flows."""
    balancer = _Balancer()
    balancer.run(
        proved_ms - _TICK_MS,
        agents=10,
        lead_ms=lead_ms,
        new_targets=new_targets,
    )
    assert not balancer.fleet.proves_absence
    balancer.run(proved_ms, agents=10, lead_ms=lead_ms, new_targets=new_targets)
    assert balancer.fleet.proves_absence


@pytest.mark.parametrize(('lead_ms', 'waits'), [(0, False), (2500, True)])
def test_agents_that_become_known_later(lead_ms: int, waits: bool) -> None:
    """Guards against resets of flows opened since a loss at unknown agents.

    Together with the agents, nobody has opened flows yet.
    """
    balancer = _Balancer()
    for step in range(5):
        agents = 10 + step
        balancer.run(
            300 + 100 * step, agents=agents, lead_ms=lead_ms, new_targets=agents
        )
    assert balancer.fleet.proves_absence != waits
    balancer.run(900, agents=14, lead_ms=lead_ms, new_targets=14)
    assert balancer.fleet.proves_absence
