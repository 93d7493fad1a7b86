"""Messages for the holder of a flow: candidates by key, or a directory.

Candidates are what anvilthread uses: an agent is placed among the first ranks
of the flow's key, and a search asks these ranks. The directory is a model: two
home agents per flow, chosen by rendezvous hashing over all agents, are told by
the holder when the flow opens, when it ends and when a home changes.
"""

from collections.abc import Callable
from random import Random
from statistics import mean, median, quantiles
from typing import Final, TypeAlias

from anvilthread.flows.agent_ranking import rank_agents
from anvilthread.flows.flow_key import FlowKey, pack_endpoint
from anvilthread.flows.flow_placement import CANDIDATES
from anvilthread.flows.holder_search import (
    OTHER_CANDIDATES,
    OWN_CANDIDATES,
)
from anvilthread.flows.known_node import KnownNode
from anvilthread.flows.node_record import NodeRecord, NodeRole
from benchmarks.table import print_table

_FLOWS: Final = 400
_SERVICES: Final = ('desk', 'vault')
#: Share of agents that are replaced or restarted in the scenarios.
_CHANGED: Final = 0.05
_RESTARTED: Final = 0.6
_HOMES: Final = 2
#: Key, host and time of one record of a directory.
_RECORD_BYTES: Final = 12 + 4 + 8

#: Scenarios: whether agents are replaced, agent processes are restarted, and
#: routes are given to the other service.
_SCENARIOS: Final = {
    'calm, 40% of balancers rolled': (False, False, False),
    '5% of agents replaced': (True, False, False),
    '60% of processes killed': (False, True, False),
    'routes change service': (False, False, True),
    'all of these': (True, True, True),
}

#: Median and 99th percentile of the messages of a search, share of searches
#: that ask all agents, messages per flow without a search, bytes per node.
_Figures: TypeAlias = tuple[float, float, float, float, float]


class _Fleet:
    """Agents of two services, flows on them, and what has happened since."""

    def __init__(
        self, *, agents: int, scenario: tuple[bool, bool, bool]
    ) -> None:
        self.random = Random(agents)
        replaces, restarts, self.changes_routes = scenario
        self.before = [_make_agent(number) for number in range(agents)]
        changed = round(agents * _CHANGED) if replaces else 0
        self.now = [
            *self.before[changed:],
            *(_make_agent(agents + number) for number in range(changed)),
        ]
        restarted = round(agents * _RESTARTED) if restarts else 0
        self.restarted = {
            node.host for node in self.random.sample(self.now, restarted)
        }

    def service(self, name: str, agents: list[KnownNode]) -> list[KnownNode]:
        """Returns the agents of a service."""
        return [node for node in agents if node.record.service == name]


def run() -> None:
    """Prints the messages of both designs."""
    for title, scenario in _SCENARIOS.items():
        rows = [
            [
                f'{agents} agents, {name}',
                *_format(measure(_Fleet(agents=agents, scenario=scenario))),
            ]
            for agents in (16, 80, 200)
            for name, measure in (
                ('candidates', _measure_candidates),
                ('directory', _measure_directory),
            )
        ]
        heading = (
            'design',
            'search: median',
            'p99',
            'asks all',
            'messages/flow',
            'bytes/node',
        )
        print_table(title, heading, rows)


def _measure_candidates(fleet: _Fleet) -> _Figures:
    def place(key: FlowKey, agents: list[KnownNode]) -> KnownNode:
        return fleet.random.choice(rank_agents(key, agents)[:CANDIDATES])

    def search(key: FlowKey, service: str, holder: str) -> tuple[int, bool]:
        other = next(name for name in _SERVICES if name != service)
        ranked = [
            *rank_agents(key, fleet.service(service, fleet.now))[
                :OWN_CANDIDATES
            ],
            *rank_agents(key, fleet.service(other, fleet.now))[
                :OTHER_CANDIDATES
            ],
        ]
        messages = 0
        for start in range(0, len(ranked), 2):
            pair = [node.host for node in ranked[start : start + 2]]
            unknown = [host for host in pair if host in fleet.restarted]
            # A question and an answer, and the same for an offer.
            messages += 2 * len(pair) + 2 * len(unknown)
            if holder in pair:
                return messages, False
        return messages + 2 * len(fleet.now), True

    return _measure(fleet, place, search, 0, 0)


def _measure_directory(fleet: _Fleet) -> _Figures:
    def place(_key: FlowKey, agents: list[KnownNode]) -> KnownNode:
        return fleet.random.choice(agents)

    moved: list[int] = []

    def search(key: FlowKey, _service: str, holder: str) -> tuple[int, bool]:
        homes = rank_agents(key, fleet.now)[:_HOMES]
        previous = {
            node.host for node in rank_agents(key, fleet.before)[:_HOMES]
        }
        moved.append(sum(node.host not in previous for node in homes))
        messages = 0
        for home in homes:
            if home.host not in fleet.restarted:
                # The home passes the packet to the holder, which answers.
                return messages + 3, False
            messages += 2
        return messages + 2 * len(fleet.now), True

    figures = _measure(fleet, place, search, 2 * _HOMES, 0)
    refreshed = mean(moved)
    per_node = _FLOWS * _HOMES / len(fleet.now) * _RECORD_BYTES
    return (*figures[:3], figures[3] + refreshed, per_node)


def _measure(
    fleet: _Fleet,
    place: Callable[[FlowKey, list[KnownNode]], KnownNode],
    search: Callable[[FlowKey, str, str], tuple[int, bool]],
    messages_per_flow: float,
    bytes_per_node: float,
) -> _Figures:
    present = {node.host for node in fleet.now}
    costs: list[int] = []
    full = 0
    for number in range(_FLOWS):
        client = pack_endpoint('100.64.0.1', 10_000 + number)
        key = FlowKey(client + pack_endpoint('198.18.0.1', 80))
        service = _SERVICES[number % len(_SERVICES)]
        holder = place(key, fleet.service(service, fleet.before)).host
        if holder not in present:
            continue
        if fleet.changes_routes:
            service = next(name for name in _SERVICES if name != service)
        messages, asks_all = search(key, service, holder)
        costs.append(messages)
        full += asks_all
    return (
        median(costs),
        quantiles(costs, n=100)[-1],
        full / len(costs),
        messages_per_flow,
        bytes_per_node,
    )


def _format(figures: _Figures) -> list[str]:
    middle, high, full, per_flow, per_node = figures
    return [
        f'{middle:.0f}',
        f'{high:.0f}',
        f'{full:.1%}',
        f'{per_flow:.2f}',
        f'{per_node:.0f}',
    ]


def _make_agent(number: int) -> KnownNode:
    record = NodeRecord(
        host=f'10.0.{number // 200}.{number % 200 + 1}',
        role=NodeRole.AGENT,
        site='site-a',
        service=_SERVICES[number % len(_SERVICES)],
        incarnation=1,
    )
    return KnownNode(record=record, last_seen_ms=0)
