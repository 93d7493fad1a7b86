"""The nodes that one node knows."""

from collections.abc import Callable, Iterable
from typing import Final

from anvilthread.clock import Clock
from anvilthread.flows.known_node import KnownNode
from anvilthread.flows.node_messages import LoadReport
from anvilthread.flows.node_record import NodeRecord, NodeRole
from anvilthread.telemetry.log import Log

#: A node that was silent for this long is not told to others.
_SHARED_MS: Final = 3000

#: A node that was silent for this long is forgotten: longer than a restart
#: and than any partition within which a flow can live (60 s lifetime).
_FORGOTTEN_MS: Final = 60_000

#: Unanswered introductions after which hearsay is dropped.
_MAX_INTRODUCTIONS: Final = 5

NodeListener = Callable[[KnownNode], None]


class Roster:
    """Peers by host, from their own messages and from hearsay.

    A message from a node itself goes before what others tell about its
    host, so an address that another VM reuses is corrected at once.

    Args:
        clock: Clock for the age of messages.
        own: This node, which is never part of the roster.
        log: Receives nodes that appear, change or are forgotten.
    """

    __slots__ = ('_clock', '_listeners', '_log', '_nodes', '_own')

    def __init__(self, *, clock: Clock, own: NodeRecord, log: Log) -> None:
        self._clock = clock
        self._own = own
        self._log = log
        self._nodes: dict[str, KnownNode] = {}
        self._listeners: list[NodeListener] = []

    @property
    def own(self) -> NodeRecord:
        """This node."""
        return self._own

    @property
    def nodes(self) -> list[KnownNode]:
        """All peers, in no particular order."""
        return list(self._nodes.values())

    @property
    def is_alone(self) -> bool:
        """Whether no peer of the other role has been heard yet.

        A balancer cannot work without agents, nor an agent without balancers.
        """
        return all(
            node.heard_ms is None or node.record.role == self._own.role
            for node in self._nodes.values()
        )

    def subscribe(self, listener: NodeListener) -> None:
        """Calls a listener with each process that is heard for the first time."""
        self._listeners.append(listener)

    def get(self, host: str) -> KnownNode | None:
        """Returns the peer at a host."""
        return self._nodes.get(host)

    def agents(self, service: str) -> list[KnownNode]:
        """Returns the agents of a service."""
        return [
            node
            for node in self._nodes.values()
            if node.record.service == service
            and node.record.role == NodeRole.AGENT
        ]

    def present_agents(self, service: str) -> list[KnownNode]:
        """Returns the agents of a service that are not gone."""
        now_ms = self._clock.now_ms()
        agents = self.agents(service)
        return [node for node in agents if not node.is_gone(now_ms)]

    @property
    def agent_count(self) -> int:
        """Agents of all services."""
        return sum(
            node.record.role == NodeRole.AGENT for node in self._nodes.values()
        )

    def balancers(self) -> list[KnownNode]:
        """Returns all balancers."""
        return [
            node
            for node in self._nodes.values()
            if node.record.role == NodeRole.BALANCER
        ]

    def hear(self, record: NodeRecord) -> KnownNode | None:
        """Takes in a node that has sent a message itself.

        Args:
            record: The sender as it describes itself.

        Returns:
            The peer; None for this node's own record.
        """
        if record.host == self._own.host:
            return None
        now_ms = self._clock.now_ms()
        node = self._nodes.get(record.host)
        if node is None or node.record != record:
            node = self._replace(node, record, now_ms)
        node.hear(now_ms)
        return node

    def learn(self, records: Iterable[NodeRecord]) -> list[KnownNode]:
        """Takes in nodes that a peer has told of.

        Returns:
            The nodes that were unknown.
        """
        fresh: list[KnownNode] = []
        for record in records:
            if record.host == self._own.host or record.host in self._nodes:
                continue
            node = KnownNode(record=record, heard_ms=None)
            self._nodes[record.host] = node
            fresh.append(node)
        return fresh

    def take_report(self, report: LoadReport) -> KnownNode | None:
        """Takes in what an agent reports about its target."""
        node = self.hear(report.node)
        if node is not None:
            before = node.accepts
            node.take(report, self._clock.now_ms())
            if node.accepts != before:
                self._log.event(
                    'agent_acceptance_changed',
                    agent=node.host,
                    service=node.record.service,
                    accepts=node.accepts,
                    sequence=report.sequence,
                )
        return node

    def shared(self) -> list[NodeRecord]:
        """Returns this node and the peers heard of lately."""
        since_ms = self._clock.now_ms() - _SHARED_MS
        records = [
            node.record
            for node in self._nodes.values()
            if node.heard_ms is not None and node.heard_ms >= since_ms
        ]
        return [self._own, *records]

    def forget_silent(self) -> None:
        """Drops nodes that have been silent for too long."""
        now_ms = self._clock.now_ms()
        for host, node in list(self._nodes.items()):
            if _is_lost(node, now_ms):
                self._nodes.pop(host)
                self._log.event(
                    'node_forgotten',
                    host=host,
                    service=node.record.service,
                    was_heard=node.heard_ms is not None,
                )

    def _replace(
        self, before: KnownNode | None, record: NodeRecord, now_ms: int
    ) -> KnownNode:
        node = KnownNode(record=record, heard_ms=now_ms)
        self._nodes[record.host] = node
        self._log.event(
            'node_heard',
            host=record.host,
            role=record.role.name.lower(),
            service=record.service,
            site=record.site,
            incarnation=record.incarnation,
            previous=0 if before is None else before.record.incarnation,
        )
        for listener in self._listeners:
            listener(node)
        return node


def _is_lost(node: KnownNode, now_ms: int) -> bool:
    if node.heard_ms is None:
        return node.introductions > _MAX_INTRODUCTIONS
    return now_ms - node.heard_ms > _FORGOTTEN_MS
