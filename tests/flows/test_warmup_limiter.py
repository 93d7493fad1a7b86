"""The limit on opening packets to a cold target."""

from random import Random
from typing import Final

import pytest

from anvilthread.clock import ManualClock
from anvilthread.flows.heartbeat import Heartbeat
from anvilthread.flows.route_holder import RouteHolder
from anvilthread.flows.route_table import RouteTable
from anvilthread.flows.service_limits import ServiceLimits
from anvilthread.flows.target_watch import TargetWatch
from anvilthread.flows.warmup_limiter import WarmupLimiter
from anvilthread.telemetry.memory_log import MemoryLog

_SERVICE: Final = 'heat'
_COLD_MS: Final = 60_000
#: A burst that no limit in these tests admits as a whole.
_BURST: Final = 100


class _Agent:
    """A limiter, and the target that it protects."""

    def __init__(
        self, *, rate: float = 20, overage: float = 1, slack: float = 0
    ) -> None:
        log = MemoryLog()
        self.clock = ManualClock(start_ms=5000)
        self.target = TargetWatch(clock=self.clock, interval_ms=1200, log=log)
        self.routes = RouteHolder(clock=self.clock, log=log)
        self.configure(1, rate)
        self.limiter = WarmupLimiter(
            clock=self.clock,
            target=self.target,
            routes=self.routes,
            service=_SERVICE,
            overage=overage,
            slack=slack,
        )

    def configure(self, version: int, rate: float) -> None:
        """Puts a version of the configuration in force."""
        table = RouteTable(
            version=version,
            routes={},
            idle_ms=1000,
            document=b'',
            services={_SERVICE: ServiceLimits(warmup_per_s=rate)},
        )
        self.routes.update(table, 'test')

    def hear(
        self, *, cold_ms: int = _COLD_MS, sequence: int = 1, target: str = 't-1'
    ) -> None:
        """Delivers a heartbeat of the target."""
        self.target.on_heartbeat(
            Heartbeat(
                target=target,
                born_ms=1,
                service=_SERVICE,
                sequence=sequence,
                is_draining=False,
                slots=1,
                cold_ms=cold_ms,
            )
        )

    def deliver(self, packets: int = _BURST) -> int:
        """Offers packets at once; returns how many were delivered."""
        delivered = 0
        for _ in range(packets):
            if self.limiter.has_room:
                self.limiter.record()
                delivered += 1
        return delivered


@pytest.mark.parametrize(
    ('rate', 'overage', 'slack', 'delivered'),
    [
        (20, 1, 0, 18),
        (20, 1.2, 2, 23),
        # At least one packet is reserved.
        (5, 1, 0, 4),
        (2, 1, 0, 1),
        # The service would otherwise be idle while all targets are cold.
        (1, 1, 0, 1),
        # Even one packet would exceed the limit.
        (0.5, 1, 0, 0),
        (0.5, 1, 1, 1),
        # No limit is configured.
        (0, 1, 0, _BURST),
        (0, 1, 5, _BURST),
    ],
)
def test_burst(
    rate: float, overage: float, slack: float, delivered: int
) -> None:
    """Guards against a burst above the limit, and a limit that never opens."""
    agent = _Agent(rate=rate, overage=overage, slack=slack)
    agent.hear()
    assert agent.deliver() == delivered


@pytest.mark.parametrize(
    ('cold_ms', 'pause_ms', 'delivered'),
    [
        (0, 0, _BURST),
        (300, 299, 0),
        # The heartbeat says that the slow start has ended.
        (300, 300, _BURST),
        (_COLD_MS, 1000, 0),
        (_COLD_MS, 1020, 0),
        (_COLD_MS, 1021, 18),
    ],
)
def test_second_burst(cold_ms: int, pause_ms: int, delivered: int) -> None:
    """Guards against a warm target that is limited, and a window too short."""
    agent = _Agent()
    agent.hear(cold_ms=cold_ms)
    agent.deliver()
    agent.clock.advance(pause_ms)
    assert agent.deliver() == delivered


@pytest.mark.parametrize(
    ('sequence', 'cold_ms', 'uptime_ms', 'delivered'),
    [
        # The target has started since.
        (1, _COLD_MS, 100, 18),
        # An earlier process may have used up the window.
        (7, _COLD_MS, 100, 0),
        (7, _COLD_MS, 1020, 0),
        (7, _COLD_MS, 1021, 18),
        (7, 0, 100, _BURST),
        # No heartbeat has arrived: the target may be cold.
        (None, 0, 100, 0),
        (None, 0, 1021, 18),
    ],
)
def test_restarted_agent(
    sequence: int | None, cold_ms: int, uptime_ms: int, delivered: int
) -> None:
    """Guards against two processes of an agent that both use up the limit."""
    agent = _Agent()
    agent.clock.advance(uptime_ms)
    if sequence is not None:
        agent.hear(sequence=sequence, cold_ms=cold_ms)
    assert agent.deliver() == delivered


@pytest.mark.parametrize(
    ('rate', 'delivered'), [(20, 0), (30, 9), (10, 0), (0, _BURST)]
)
def test_changed_limit(rate: float, delivered: int) -> None:
    """Guards against a limit that the next packet does not see."""
    agent = _Agent()
    agent.hear()
    assert agent.deliver() == 18
    agent.configure(2, rate)
    assert agent.deliver() == delivered


@pytest.mark.parametrize('target', ['t-1', 't-2'])
def test_new_target_has_received_packets(target: str) -> None:
    """Guards against a window that is emptied when a target is replaced.

    A crashed target is replaced without notice. The next one receives packets
    before its heartbeats are in effect.
    """
    agent = _Agent()
    agent.hear(sequence=9, cold_ms=0)
    for _ in range(125):
        agent.clock.advance(20)
        agent.target.tick()
    assert agent.deliver(30) == 30
    agent.hear(sequence=1, target=target)
    agent.clock.advance(40)
    agent.hear(sequence=2, target=target)
    assert agent.target.cold_ms
    assert agent.deliver() == 0
    agent.clock.advance(1100)
    assert agent.deliver() == 18


@pytest.mark.parametrize('seed', range(5))
@pytest.mark.parametrize(('rate', 'slack'), [(1, 0), (7, 1), (40, 4)])
def test_arrivals_at_the_target(rate: int, slack: int, seed: int) -> None:
    """Guards against packets that exceed the limit after a varying delay.

    Pattern: power loss; all clients try again at once, and copies follow.
    """
    random = Random(seed)
    agent = _Agent(rate=rate, slack=slack)
    agent.hear()
    arrivals: list[float] = []
    for now_ms in range(5000):
        wanted = _BURST if now_ms % 1000 == 0 else random.random() < 0.2
        delivered = agent.deliver(int(wanted))
        arrivals.extend(now_ms + random.random() * 20 for _ in range(delivered))
        agent.clock.skip(1)
    windows = [
        sum(start <= other < start + 1000 for other in arrivals)
        for start in arrivals
    ]
    assert max(windows) <= rate + slack
    assert len(arrivals) >= 4 * 0.5 * (rate + slack)
