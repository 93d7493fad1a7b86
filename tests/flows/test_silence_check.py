"""Proof that a silent target has ended, in virtual time."""

from itertools import pairwise

import pytest

from anvilthread.clock import ManualClock
from anvilthread.flows.flow_key import FlowKey
from anvilthread.flows.silence_check import SilenceCheck
from anvilthread.flows.target_watch import TargetWatch
from anvilthread.telemetry.memory_log import MemoryLog
from standins.flow_cluster import HEARTBEAT_MS, FlowCluster, flow_key

_TICK_MS = 20


class _Check:
    """A check of a target whose heartbeats have stopped."""

    def __init__(self, interval_ms: int = HEARTBEAT_MS) -> None:
        self.clock = ManualClock(start_ms=1000)
        self.watch = TargetWatch(
            clock=self.clock, interval_ms=interval_ms, log=MemoryLog()
        )
        self.check = SilenceCheck(
            clock=self.clock, target=self.watch, log=MemoryLog()
        )
        self.watch.on_packet()
        self.clock.advance(_TICK_MS)

    def begin(self) -> None:
        """Records unanswered opening packets."""
        self.check.begin(self.clock.now_ms())
        self.clock.advance(_TICK_MS)

    def run(self, duration_ms: int) -> bool:
        """Advances the time; returns whether the target has ended."""
        has_ended = False
        for _ in range(duration_ms // _TICK_MS):
            self.clock.advance(_TICK_MS)
            self.watch.tick()
            has_ended |= self.check.tick()
        return has_ended


def _cluster() -> tuple[FlowCluster, list[FlowKey]]:
    """Starts an agent with five open flows."""
    cluster = FlowCluster(balancers=1, agents=1)
    keys = [flow_key(number) for number in range(5)]
    for key in keys:
        cluster.open(key)
        cluster.advance(5)
    return cluster, keys


def _open_more(cluster: FlowCluster, first: int = 5) -> None:
    for number in range(first, first + 3):
        cluster.open(flow_key(number))


@pytest.mark.parametrize(
    ('is_listening', 'ended_by_ms'),
    [
        (False, 40),
        # Neither an accepted connection nor a missing answer proves anything,
        # until heartbeats have been missing for 3 s.
        (True, 3100),
        (None, 3100),
    ],
)
def test_result_of_a_probe(is_listening: bool | None, ended_by_ms: int) -> None:
    """Guards against open flows reset without proof, and kept despite it."""
    check = _Check()
    check.begin()
    assert check.check.is_probe_due
    check.check.start_probe()
    assert not check.check.is_probe_due
    check.check.finish_probe(is_listening=is_listening)
    if ended_by_ms > 1000:
        assert not check.run(2800)
    assert check.run(ended_by_ms)
    assert not check.run(1000)


@pytest.mark.parametrize('is_silent_again', [True, False])
@pytest.mark.parametrize('is_seen_first', [True, False])
def test_late_result_of_a_probe(
    is_seen_first: bool, is_silent_again: bool
) -> None:
    """Guards against flows of a target that has started since the probe."""
    check = _Check()
    check.begin()
    check.check.start_probe()
    if not is_seen_first:
        check.check.finish_probe(is_listening=False)
    check.watch.on_packet()
    if is_seen_first:
        if is_silent_again:
            assert not check.run(100)
            check.begin()
        check.check.finish_probe(is_listening=False)
    assert not check.run(1000)


def test_pause_of_the_agent_is_no_silence() -> None:
    """Guards against flows reset after a pause of the agent's own process.

    What the target has sent meanwhile is read after the next tick.
    """
    check = _Check()
    check.begin()
    check.run(200)
    check.clock.advance(5000)
    check.watch.tick()
    assert not check.check.tick()
    check.watch.on_packet()
    assert not check.run(1000)


@pytest.mark.parametrize('interval_ms', [100, 250])
def test_pause_of_several_short_intervals(interval_ms: int) -> None:
    """Guards against flows reset because heartbeats are frequent.

    How long a VM pauses does not depend on them.
    """
    check = _Check(interval_ms)
    check.begin()
    assert not check.run(2800)
    assert check.run(400)


def test_crashed_target_is_detected_soon() -> None:
    """Guards against clients that wait for a target whose port is closed."""
    cluster, keys = _cluster()
    cluster.targets[0].crash()
    _open_more(cluster)
    cluster.advance(250)
    assert all(cluster.is_reset(key) for key in keys)


def test_target_that_crashes_after_a_pause() -> None:
    """Guards against a long pause between probes that outlasts the silence."""
    cluster, keys = _cluster()
    target = cluster.targets[0]
    target.is_up = False
    _open_more(cluster)
    cluster.advance(2000)
    target.is_up = True
    for key in keys:
        cluster.request(key, b'next')
    cluster.advance(300)
    assert len(cluster.agents[0].probes_ms) == 4
    target.crash()
    _open_more(cluster, first=10)
    cluster.advance(300)
    assert all(cluster.is_reset(key) for key in keys)


def test_probes_of_a_silent_target_are_few() -> None:
    """Guards against connections to a target that the users count."""
    cluster, keys = _cluster()
    target = cluster.targets[0]
    target.is_up = False
    for number in range(100):
        cluster.open(flow_key(10 + number))
        cluster.advance(25)
    probes_ms = cluster.agents[0].probes_ms
    pauses = [after - before for before, after in pairwise(probes_ms)]
    assert pauses == [200, 400, 800]
    assert not any(cluster.is_reset(key) for key in keys)


def test_target_that_runs_is_not_probed() -> None:
    """Guards against a probe for each opening packet that is answered late."""
    cluster, _ = _cluster()
    for number in range(50):
        cluster.open(flow_key(10 + number))
        cluster.advance(20)
    assert not cluster.agents[0].probes_ms


def test_heartbeats_keep_the_flows() -> None:
    """Guards against flows reset while heartbeats of the target arrive.

    Pattern: the packets of a target are lost or late for several seconds, but
    its process runs.
    """
    cluster, keys = _cluster()
    node = cluster.agents[0]
    target = node.target
    assert target is not None
    node.send_to_target = lambda _: None  # type: ignore[method-assign]
    for number in range(25):
        _open_more(cluster, first=10 + 3 * number)
        cluster.advance(200)
    assert node.agent is not None and node.agent.condition.health.is_failing
    assert not any(cluster.is_reset(key) for key in keys)
