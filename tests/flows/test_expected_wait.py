"""Placement by the expected wait of each agent's target."""

import zlib
from random import Random
from statistics import mean
from typing import Any

import msgspec
import pytest

from anvilthread.clock import ManualClock
from anvilthread.flows.agent_ranking import rank_agents
from anvilthread.flows.flow_placement import CANDIDATES, FlowPlacement
from anvilthread.flows.known_node import KnownNode
from anvilthread.flows.node_messages import LoadReport
from anvilthread.flows.node_record import NodeRecord, NodeRole
from anvilthread.flows.roster import Roster
from anvilthread.routing.rendezvous import score
from anvilthread.telemetry.memory_log import MemoryLog
from standins.flow_cluster import flow_key

_SERVICE = 'heating'
_PERIOD_MS = 100
_RUN_MS = 30


class _Balancer:
    """The placement of one balancer, and the reports that it receives."""

    def __init__(self) -> None:
        self.clock = ManualClock(start_ms=1000)
        self.log = MemoryLog()
        record = NodeRecord('10.0.0.1', NodeRole.BALANCER, 'a', '', 1)
        self.roster = Roster(clock=self.clock, local_node=record, log=self.log)
        self._placement = FlowPlacement(clock=self.clock, roster=self.roster)
        self._sequence = 0

    def report(self, number: int, **fields: Any) -> KnownNode:
        """Delivers a report of an agent: idle, of one slot, if not stated."""
        self._sequence += 1
        service = fields.pop('service', _SERVICE)
        host = f'10.0.1.{number}'
        report = LoadReport(
            node=NodeRecord(host, NodeRole.AGENT, 'a', service, 1),
            sequence=self._sequence,
            accepts=True,
            working=0,
            busy=0,
            flows=0,
            period_ms=_PERIOD_MS,
            slots=1,
            cold_ms=0,
            version=1,
            check_age_ms=0,
            run_ms=_RUN_MS,
            limit=2,
        )
        node = self.roster.record_report(
            msgspec.structs.replace(report, **fields)
        )
        assert node is not None
        return node

    def place(self, flow: int, *excluded: str) -> int | None:
        """Places a flow; returns the number of its agent."""
        chosen = self._placement.choose(_SERVICE, flow_key(flow), excluded)
        return None if chosen is None else int(chosen.host.split('.')[-1])

    def place_many(self, flows: int) -> list[int | None]:
        """Places flows between two reports."""
        return [self.place(flow) for flow in range(flows)]


@pytest.mark.parametrize(
    ('reports', 'chosen'),
    [
        pytest.param(
            ({'wait_ms': 120}, {'wait_ms': 90}, {'wait_ms': 30}),
            {2},
            id='crest in the site of two targets',
        ),
        pytest.param(
            (
                {'working': 1, 'wait_ms': 50, 'run_ms': 50},
                {'working': 2, 'wait_ms': 60},
                {'working': 2, 'wait_ms': 38, 'run_ms': 19},
            ),
            {2},
            id='queues at speeds 0.6, 1.0 and 1.6',
        ),
        pytest.param(
            ({'busy': 0.9}, {'busy': 0.54}, {'busy': 0.34}),
            {2},
            id='long-lived flows at speeds 0.6, 1.0 and 1.6',
        ),
        pytest.param(
            ({'cold_ms': 900}, {'busy': 0.7}, {'busy': 0.8}),
            {1},
            id='a third cold, the others with free slots',
        ),
        pytest.param(
            ({'cold_ms': 900}, {'wait_ms': 40}, {'wait_ms': 50}),
            {0},
            id='a third cold, the others with queues',
        ),
        pytest.param(
            ({'run_ms': 0, 'working': 2}, {'wait_ms': 50}, {'wait_ms': 80}),
            {1},
            id='run time unknown: two requests of the median run time',
        ),
        pytest.param(
            ({'run_ms': 0, 'working': 1}, {'wait_ms': 50}, {'wait_ms': 80}),
            {0},
            id='run time unknown: one request of the median run time',
        ),
        pytest.param(
            (
                {'run_ms': 0, 'working': 3},
                {'run_ms': 0, 'working': 1},
                {'run_ms': 0, 'working': 2},
            ),
            {1},
            id='no target has answered a request yet',
        ),
        pytest.param(
            ({'wait_ms': -5, 'working': 4}, {'wait_ms': 50}, {'wait_ms': 80}),
            {1},
            id='impossible: negative wait',
        ),
        pytest.param(
            ({'wait_ms': 60_001}, {'wait_ms': 20}, {'wait_ms': 80}),
            {0},
            id='impossible: wait of more than a minute at an idle target',
        ),
        pytest.param(
            (
                {'run_ms': float('nan'), 'working': 4},
                {'wait_ms': 50},
                {'wait_ms': 80},
            ),
            {1},
            id='impossible: run time that is not a number',
        ),
        pytest.param(
            (
                {'limit': 0, 'wait_ms': 0, 'working': 2, 'busy': 2},
                {'limit': 0, 'wait_ms': 90, 'working': 1, 'busy': 1},
                {'limit': 0, 'wait_ms': 50, 'working': 2, 'busy': 2},
            ),
            {1},
            id='no priorities: the load decides',
        ),
        pytest.param(
            (
                {'limit': 0, 'wait_ms': 0, 'working': 2, 'busy': 2},
                {'wait_ms': 90, 'working': 1, 'busy': 1},
                {'wait_ms': 50, 'working': 2, 'busy': 2},
            ),
            {1},
            id='priorities not yet known to every agent: the load decides',
        ),
    ],
)
def test_first_flow_after_reports(
    reports: tuple[dict[str, Any], ...], chosen: set[int]
) -> None:
    """Guards against a flow that waits at one target while another is better.

    All three targets are candidates of every flow, so each key must lead to
    the same choice.
    """
    seen = set()
    for flow in range(20):
        balancer = _Balancer()
        for number, fields in enumerate(reports):
            balancer.report(number, **fields)
        seen.add(balancer.place(flow))
    assert seen == chosen


def test_equal_waits_are_spread_by_rank() -> None:
    """Guards against a burst at one target while many report no wait."""
    seen = set()
    for flow in range(40):
        balancer = _Balancer()
        for number in range(6):
            balancer.report(number)
        seen.add(balancer.place(flow))
    assert seen == set(range(6))


def test_flows_between_reports_follow_speed() -> None:
    """Guards against equal shares of a burst at speeds 0.6, 1.0 and 1.6."""
    balancer = _Balancer()
    for number, speed in enumerate((0.6, 1.0, 1.6)):
        balancer.report(number, run_ms=_RUN_MS / speed)
    placed = balancer.place_many(64)
    counts = [placed.count(number) for number in range(3)]
    assert counts == pytest.approx([12, 20, 32], abs=1)


def test_refusal_replaces_the_wait_until_the_next_report() -> None:
    """Guards against further flows for a target that has just refused one.

    Load: a report says that the target is idle, and is 400 ms old.
    """
    balancer = _Balancer()
    idle = balancer.report(0)
    balancer.report(1, wait_ms=200)
    balancer.report(2, wait_ms=200)
    assert balancer.place(1) == 0
    idle.correct_wait(500)
    assert idle.wait.expected_ms(_RUN_MS) == 500
    assert 0 not in balancer.place_many(10)
    balancer.report(0)
    assert balancer.place(1) == 0


@pytest.mark.parametrize('wait_ms', [-1, 60_001])
def test_impossible_wait_of_a_refusal_is_ignored(wait_ms: int) -> None:
    """Guards against a faulty agent that draws or repels all flows."""
    node = _Balancer().report(0, wait_ms=40)
    node.correct_wait(wait_ms)
    assert node.wait.expected_ms(_RUN_MS) == 40


def test_target_that_reports_no_wait_is_limited_to_its_candidacy() -> None:
    """Guards against all flows at a target that reports no wait always.

    It is a candidate of three flows in ten, and gets no further ones from a
    balancer that it has refused.
    """
    balancer = _Balancer()
    for number in range(1, 10):
        balancer.report(number, wait_ms=9000)
    liar = balancer.report(0)
    placed = balancer.place_many(200)
    assert placed.count(0) <= 200 * 0.4
    liar.correct_wait(30_000)
    assert 0 not in balancer.place_many(50)


def test_target_whose_reports_are_lost_gets_no_flows() -> None:
    """Guards against flows for an agent whose last report shows it idle."""
    balancer = _Balancer()
    balancer.report(0)
    for _ in range(6):
        balancer.clock.advance(_PERIOD_MS)
        for number in (1, 2, 3):
            balancer.report(number, wait_ms=70)
    assert 0 not in balancer.place_many(30)


def test_agents_with_old_reports_are_better_than_none() -> None:
    """Guards against refusals when the reports of all agents are late."""
    balancer = _Balancer()
    for number in range(3):
        balancer.report(number)
    balancer.clock.advance(2000)
    assert None not in balancer.place_many(5)


def test_implausible_times_are_logged_once_per_sender() -> None:
    """Guards against a log line for each report of a faulty agent."""
    balancer = _Balancer()
    for _ in range(3):
        balancer.report(0, wait_ms=-1)
        balancer.report(1, run_ms=1e9)
        balancer.report(2)
    logged = balancer.log.named('report_time_ignored')
    assert [entry.fields['agent'] for entry in logged] == [
        '10.0.1.0',
        '10.0.1.1',
    ]


@pytest.mark.parametrize('limit', [0, 2])
@pytest.mark.parametrize('seed', range(40))
def test_same_candidates_as_checking_every_agent(seed: int, limit: int) -> None:
    """Guards against other choices for services without priorities.

    The former placement is written out here. States: agents that drain, fail,
    are silent or have refused. Where waits are told, the candidates are the
    same, and without any wait the first of the least utilised is chosen.
    """
    random = Random(seed)
    balancer = _Balancer()
    excluded = [f'10.0.1.{number}' for number in range(random.randrange(4))]
    stale_share = random.choice((0, 0.3, 1))
    failing_share = random.choice((0, 0.3, 0.7))
    agents = random.choice((2, 4, 8, 12))
    stale = {
        number for number in range(agents) if random.random() < stale_share
    }
    for late in (True, False):
        for number in range(agents):
            if (number in stale) is not late:
                continue
            load = random.random()
            balancer.report(
                number,
                accepts=random.random() < 0.8,
                is_failing=random.random() < failing_share,
                busy=load,
                limit=limit,
            )
        balancer.clock.advance(_PERIOD_MS * 5 if late else 0)
    for flow in range(30):
        expected = _choose_formerly(balancer, flow, excluded, limit)
        assert balancer.place(flow, *excluded) == expected


def _choose_formerly(
    balancer: _Balancer, flow: int, excluded: list[str], limit: int
) -> int | None:
    now_ms = balancer.clock.now_ms()
    agents = [
        node
        for node in balancer.roster.all_agents()
        if node.accepts and node.host not in excluded
    ]
    agents = [node for node in agents if node.is_fresh(now_ms)] or agents
    healthy = [node for node in agents if not node.is_failing]
    if (len(agents) - len(healthy)) * 2 <= len(agents):
        agents = healthy
    key_hash = zlib.crc32(flow_key(flow))
    agents.sort(key=lambda node: score(key_hash, node.host_hash), reverse=True)

    def rank(node: KnownNode) -> float:
        if not limit:
            return node.load
        wait_ms = node.wait.expected_ms(_RUN_MS)
        return 1 + wait_ms if wait_ms else node.wait.utilisation

    first = min(agents[:CANDIDATES], key=rank, default=None)
    return None if first is None else int(first.host.split('.')[-1])


@pytest.mark.parametrize('seed', range(5))
def test_ranks_are_those_of_rendezvous_hashing(seed: int) -> None:
    """Guards against nodes of two releases that rank agents differently."""
    random = Random(seed)
    balancer = _Balancer()
    for number in range(200):
        balancer.report(number)
    nodes = balancer.roster.all_agents()
    key = flow_key(random.randrange(1000))
    key_hash = zlib.crc32(key)
    assert rank_agents(key, nodes) == sorted(
        nodes,
        key=lambda node: score(key_hash, node.host_hash),
        reverse=True,
    )


def test_changes_of_the_roster_are_seen_by_the_next_placement() -> None:
    """Guards against a list of agents that is kept when the roster changes."""
    balancer = _Balancer()
    assert balancer.place(1) is None
    balancer.report(0)
    assert balancer.place(1) == 0
    balancer.report(0, service='other')
    assert balancer.place(1) is None
    balancer.report(1)
    assert balancer.place(1) == 1
    balancer.clock.advance(60_001)
    balancer.roster.remove_silent()
    assert balancer.place(1) is None
    record = NodeRecord('10.0.1.2', NodeRole.AGENT, 'a', _SERVICE, 1)
    balancer.roster.add_unknown([record])
    assert balancer.place(1) is None
    balancer.report(2)
    assert balancer.place(1) == 2


def test_crest_is_spread_over_all_free_targets() -> None:
    """Guards against a refusal or a queue while a target is free.

    Load: a crest of two flows per target, from one balancer, before the next
    reports.
    """
    balancer = _Balancer()
    for number in range(10):
        balancer.report(number)
    placed = balancer.place_many(20)
    counts = [placed.count(number) for number in range(10)]
    assert None not in placed
    assert max(counts) <= 2 * mean(counts)
