"""The table of peers of one node."""

from collections.abc import Callable, Iterable
from typing import Final

from anvilthread.clock import Clock
from anvilthread.flows.known_node import KnownNode
from anvilthread.flows.message_periods import hello_period_ms
from anvilthread.flows.node_messages import LoadReport
from anvilthread.flows.node_record import NodeRecord, NodeRole
from anvilthread.telemetry.log import Log

#: Hello periods without a message from a peer after which it is not sent to
#: other nodes.
_SHARED_HELLO_PERIODS: Final = 3

#: Silence after which a peer is removed: longer than a restart, and than any
#: partition that a flow can survive (flows live 60 s at most).
_REMOVE_AFTER_MS: Final = 60_000

#: Unanswered hellos after which a peer is removed that is known only from the
#: lists of others.
_MAX_UNANSWERED_HELLOS: Final = 5

NodeListener = Callable[[KnownNode], None]


class Roster:
    """Peers by host, from their own messages and from the lists of others.

    A message from a node itself takes precedence over the lists of others, so
    the record of an address that another VM reuses is corrected at once.

    Args:
        clock: Clock for the age of messages.
        local_node: This node, which is never part of the roster.
        log: Receives peers that are added, change or are removed.
    """

    __slots__ = (
        '_agents_by_service',
        '_clock',
        '_listeners',
        '_local_node',
        '_log',
        '_nodes',
    )

    def __init__(
        self, *, clock: Clock, local_node: NodeRecord, log: Log
    ) -> None:
        self._clock = clock
        self._local_node = local_node
        self._log = log
        self._nodes: dict[str, KnownNode] = {}
        self._listeners: list[NodeListener] = []
        #: Agents of the services asked for since the last change of the nodes,
        #: since each placement asks.
        self._agents_by_service: dict[str, list[KnownNode]] = {}

    @property
    def local_node(self) -> NodeRecord:
        """This node."""
        return self._local_node

    @property
    def nodes(self) -> list[KnownNode]:
        """All peers, in no particular order."""
        return list(self._nodes.values())

    @property
    def sites(self) -> set[str]:
        """Sites of this node and of all peers."""
        sites = {node.record.site for node in self._nodes.values()}
        return sites | {self._local_node.site}

    @property
    def is_alone(self) -> bool:
        """Whether no message from a peer of the other role has arrived.

        A balancer cannot work without agents, nor an agent without balancers.
        """
        return all(
            node.last_seen_ms is None
            or node.record.role == self._local_node.role
            for node in self._nodes.values()
        )

    def subscribe(self, listener: NodeListener) -> None:
        """Calls a listener with each process at its first message."""
        self._listeners.append(listener)

    def get(self, host: str) -> KnownNode | None:
        """Returns the peer at a host; None if there is none."""
        return self._nodes.get(host)

    def agents(self, service: str) -> list[KnownNode]:
        """Returns the agents of a service; callers must not change the list."""
        agents = self._agents_by_service.get(service)
        if agents is None:
            agents = [
                node
                for node in self.all_agents()
                if node.record.service == service
            ]
            self._agents_by_service[service] = agents
        return agents

    def all_agents(self) -> list[KnownNode]:
        """Returns the agents of all services."""
        return [
            node
            for node in self._nodes.values()
            if node.record.role == NodeRole.AGENT
        ]

    @property
    def agent_count(self) -> int:
        """Number of agents of all services."""
        return len(self.all_agents())

    @property
    def hello_period_ms(self) -> int:
        """Time between hellos of a balancer, by the number of known nodes."""
        return hello_period_ms(len(self._nodes) + 1)

    def balancers(self) -> list[KnownNode]:
        """Returns all balancers."""
        return [
            node
            for node in self._nodes.values()
            if node.record.role == NodeRole.BALANCER
        ]

    def record_sender(self, record: NodeRecord) -> KnownNode | None:
        """Records that a node has sent a message.

        Args:
            record: The sender, as described in its message.

        Returns:
            The peer; None for this node's own record.
        """
        if record.host == self._local_node.host:
            return None
        now_ms = self._clock.now_ms()
        node = self._nodes.get(record.host)
        if node is None or node.record != record:
            node = self._replace(node, record, now_ms)
        node.record_message(now_ms)
        return node

    def add_unknown(self, records: Iterable[NodeRecord]) -> list[KnownNode]:
        """Adds the unknown nodes among those in the list of a peer.

        Returns:
            The nodes that were added.
        """
        added: list[KnownNode] = []
        for record in records:
            if (
                record.host == self._local_node.host
                or record.host in self._nodes
            ):
                continue
            node = KnownNode(record=record, last_seen_ms=None)
            self._nodes[record.host] = node
            self._agents_by_service.clear()
            added.append(node)
        return added

    def record_report(self, report: LoadReport) -> KnownNode | None:
        """Records the report of an agent; returns its peer, None for itself."""
        node = self.record_sender(report.node)
        if node is not None:
            before = node.accepts
            had_faults = node.wait.has_faults
            node.update_report(report, self._clock.now_ms())
            if node.wait.has_faults and not had_faults:
                self._log.warning(
                    'report_time_ignored',
                    agent=node.host,
                    run_ms=report.run_ms,
                    wait_ms=report.wait_ms,
                )
            if node.accepts != before:
                self._log.event(
                    'agent_acceptance_changed',
                    agent=node.host,
                    service=node.record.service,
                    accepts=node.accepts,
                    sequence=report.sequence,
                )
        return node

    def recent_records(self) -> list[NodeRecord]:
        """Returns this node, followed by the peers with recent messages."""
        max_age_ms = _SHARED_HELLO_PERIODS * self.hello_period_ms
        since_ms = self._clock.now_ms() - max_age_ms
        records = [
            node.record
            for node in self._nodes.values()
            if node.last_seen_ms is not None and node.last_seen_ms >= since_ms
        ]
        return [self._local_node, *records]

    def remove_silent(self) -> None:
        """Removes peers that have been silent for too long."""
        now_ms = self._clock.now_ms()
        for host, node in list(self._nodes.items()):
            if _is_expired(node, now_ms):
                self._nodes.pop(host)
                self._agents_by_service.clear()
                self._log.event(
                    'node_forgotten',
                    host=host,
                    service=node.record.service,
                    was_heard=node.last_seen_ms is not None,
                )

    def _replace(
        self, before: KnownNode | None, record: NodeRecord, now_ms: int
    ) -> KnownNode:
        node = KnownNode(record=record, last_seen_ms=now_ms)
        self._nodes[record.host] = node
        self._agents_by_service.clear()
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


def _is_expired(node: KnownNode, now_ms: int) -> bool:
    if node.last_seen_ms is None:
        return node.unanswered_hellos > _MAX_UNANSWERED_HELLOS
    return now_ms - node.last_seen_ms > _REMOVE_AFTER_MS
