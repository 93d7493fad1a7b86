"""Balancers and agents of flows in one process and virtual time."""

import heapq
import itertools
from collections import Counter
from collections.abc import Callable, Mapping
from random import Random
from typing import Any

from anvilthread.clock import ManualClock
from anvilthread.flows.agent_limits import build_work_limit
from anvilthread.flows.evacuation_holder import EvacuationHolder
from anvilthread.flows.evacuation_view import EvacuationView
from anvilthread.flows.fleet_view import FleetView
from anvilthread.flows.flow_agent import FlowAgent
from anvilthread.flows.flow_balancer import FlowBalancer
from anvilthread.flows.flow_counters import FlowCounters
from anvilthread.flows.flow_key import FlowKey, pack_endpoint
from anvilthread.flows.flow_placement import FlowPlacement
from anvilthread.flows.heartbeat import Heartbeat
from anvilthread.flows.introducer import Introducer
from anvilthread.flows.known_node import KnownNode
from anvilthread.flows.message_codec import decode_message, encode_message
from anvilthread.flows.messages import AnyMessage, MessageHandlers
from anvilthread.flows.node_record import NodeRecord, NodeRole
from anvilthread.flows.opening_limit import OpeningLimit
from anvilthread.flows.peer_messages import PeerMessages
from anvilthread.flows.roster import Roster
from anvilthread.flows.route_holder import RouteHolder
from anvilthread.flows.route_table import Route, RouteTable, ServiceShare
from anvilthread.flows.store_era import StoreEra
from anvilthread.flows.target_watch import TargetWatch
from anvilthread.flows.traffic_class import TrafficClass
from anvilthread.telemetry.memory_log import MemoryLog
from standins.flow_target import FlowTarget
from standins.plain_packet_codec import (
    PlainPacket,
    PlainPacketCodec,
    decode_packet,
    encode_packet,
)

SERVICE = 'bookings'
SERVICE_HOST = '198.18.0.1'
SERVICE_PORT = 80
HEARTBEAT_MS = 1200

#: One-way delay between nodes and between an agent and its target.
HOP_MS = 1
TICK_MS = 20
HELLO_INTERVAL_MS = 100


def route_table(
    version: int,
    ports: dict[int, str],
    idle_ms: int = 15_000,
    traffic: Mapping[int, TrafficClass] | None = None,
) -> RouteTable:
    """Builds a configuration with a route for each port.

    Args:
        version: Its version.
        ports: Service behind each port.
        idle_ms: Time after which an idle flow may be removed.
        traffic: What routes require of their requests, by port.
    """
    classes = {} if traffic is None else traffic
    return RouteTable(
        version=version,
        idle_ms=idle_ms,
        document=str(version).encode(),
        routes={
            pack_endpoint(SERVICE_HOST, port): Route(
                name=f'route-{port}',
                shares=(ServiceShare(service=service, weight=1),),
                traffic=classes.get(port, TrafficClass()),
            )
            for port, service in ports.items()
        },
    )


def flow_key(number: int, port: int = SERVICE_PORT) -> FlowKey:
    """Returns the key of a client's flow."""
    client = pack_endpoint('100.64.0.1', 10_000 + number)
    return FlowKey(client + pack_endpoint(SERVICE_HOST, port))


class FlowNode:
    """One balancer or agent with its roster of nodes.

    Args:
        cluster: Cluster that delivers its messages.
        record: Identity of the node.
        contacts: Hosts that it contacts to discover the others.
    """

    def __init__(
        self,
        *,
        cluster: 'FlowCluster',
        record: NodeRecord,
        contacts: list[str],
    ) -> None:
        self.record = record
        self.is_up = True
        #: Types of the messages to this node that are lost.
        self.lost: tuple[type, ...] = ()
        self.log = MemoryLog()
        self.counters = FlowCounters()
        self._cluster = cluster
        self._now = cluster.clock.now_ms
        self.roster = Roster(
            clock=cluster.clock, local_node=record, log=self.log
        )
        self.roster.subscribe(self._send_report)
        self.evacuations = EvacuationHolder(
            clock=cluster.clock, log=self.log, is_enabled=cluster.evacuates
        )
        self.routes = RouteHolder(
            clock=cluster.clock, log=self.log, evacuations=self.evacuations
        )
        self.store_era = StoreEra(log=self.log)
        self.introducer = Introducer(
            clock=cluster.clock,
            random=cluster.random,
            network=self,
            roster=self.roster,
            routes=self.routes,
            store_era=self.store_era,
        )
        self.introducer.add_contacts(contacts)
        self._peers = PeerMessages(
            roster=self.roster,
            introducer=self.introducer,
            on_version=_ignore_version,
            log=self.log,
        )
        self.balancer: FlowBalancer | None = None
        self.agent: FlowAgent | None = None
        self.target: FlowTarget | None = None
        #: Times at which the port of the target was probed.
        self.probes_ms: list[int] = []
        self.watch = TargetWatch(
            clock=cluster.clock, interval_ms=HEARTBEAT_MS, log=self.log
        )
        self._handlers: MessageHandlers = {}
        self._build_role()
        self.evacuations.subscribe(self._send_reports)

    def send_to_node(self, host: str, message: AnyMessage) -> None:
        """Sends a message to another node."""
        self._cluster.sent[type(message)] += 1
        self._cluster.send(self.record.host, host, encode_message(message))

    def send_to_client(self, key: FlowKey, content: bytes) -> None:
        """Records a packet for the client of a flow."""
        packet = decode_packet(content)
        self._cluster.received.append((self._now(), packet))

    def send_to_target(self, content: bytes) -> None:
        """Sends a packet to the target of this node."""
        target = self.target
        if target is not None:
            self._cluster.schedule(
                HOP_MS, lambda: self._deliver_to_target(target, content)
            )

    def receive(self, host: str, content: bytes) -> None:
        """Handles a message from another node."""
        if not self.is_up:
            return
        message = decode_message(content)
        if isinstance(message, self.lost):
            return
        if not self._peers.handle(host, message):
            self._handlers[type(message)](host, message)

    def heartbeat(self, *, retries: int = 5) -> None:
        """Sends a heartbeat of the target to its agent.

        Args:
            retries: Number of times that it is repeated if it is refused, after
                pauses that double.
        """
        target = self.target
        if target is None or not target.is_up or not self.is_up:
            return
        target.sequence += 1
        heartbeat = Heartbeat(
            target=target.name,
            born_ms=target.born_ms,
            service=target.service,
            sequence=target.sequence,
            is_draining=target.is_draining,
            slots=target.slots,
            cold_ms=target.cold_ms,
        )
        if self.agent is None or self.agent.on_heartbeat(heartbeat):
            return
        if retries and target.born_ms == heartbeat.born_ms:
            pause_ms = HEARTBEAT_MS >> retries
            self._cluster.schedule(
                pause_ms, lambda: self.heartbeat(retries=retries - 1)
            )

    def tick(self) -> None:
        """Runs the periodic work that is due every 20 ms."""
        if self.balancer is not None:
            self.balancer.tick()
        if self.agent is not None:
            self.agent.tick()
            self._probe_silent_target(self.agent)
        if self._now() % HELLO_INTERVAL_MS == 0:
            self.introducer.tick()
            self.evacuations.tick(lambda: self.roster.sites)
            self._send_reports()

    def _build_role(self) -> None:
        parts: dict[str, Any] = {
            'clock': self._cluster.clock,
            'network': self,
            'codec': PlainPacketCodec(),
            'routes': self.routes,
            'log': self.log,
            'counters': self.counters,
        }
        if self.record.role == NodeRole.AGENT:
            self.agent = FlowAgent(
                roster=self.roster,
                target=self.watch,
                work_limit=build_work_limit(self._cluster.clock, self.watch),
                opening_limit=self._cluster.opening_limit,
                **parts,
            )
            self._handlers = self.agent.handlers
            return
        clock = self._cluster.clock
        self.balancer = FlowBalancer(
            placement=FlowPlacement(
                clock=clock,
                roster=self.roster,
                evacuations=self.evacuations,
                counters=self.counters,
            ),
            fleet=FleetView(clock=clock, roster=self.roster),
            **parts,
        )
        self.roster.subscribe(self.balancer.on_node_started)
        self._handlers = self.balancer.handlers

    def _probe_silent_target(self, agent: FlowAgent) -> None:
        target = self.target
        if target is None or not agent.condition.needs_probe:
            return
        silence = agent.condition.silence
        silence.start_probe()
        self.probes_ms.append(self._now())
        is_listening = target.is_listening
        self._cluster.schedule(
            HOP_MS, lambda: silence.finish_probe(is_listening=is_listening)
        )

    def _send_reports(self) -> None:
        if self.agent is not None:
            report = self.agent.condition.report(HELLO_INTERVAL_MS)
            for node in self.roster.balancers():
                self.send_to_node(node.host, report)

    def _send_report(self, node: KnownNode) -> None:
        if self.agent is not None and node.record.role == NodeRole.BALANCER:
            self.send_to_node(
                node.host, self.agent.condition.report(HELLO_INTERVAL_MS)
            )

    def _deliver_to_target(self, target: FlowTarget, content: bytes) -> None:
        answer = target.handle_packet(content)
        if answer is not None:
            self._cluster.schedule(HOP_MS, lambda: self.on_target(answer))
        target.begin(self._cluster.schedule, self._send_from_target)

    def _send_from_target(self, content: bytes) -> None:
        """Sends an answer to the agent's process that then runs."""
        host = self.record.host
        self._cluster.schedule(
            HOP_MS, lambda: self._cluster.nodes[host].on_target(content)
        )

    def on_target(self, content: bytes) -> None:
        """Handles a packet of the local target."""
        packet = PlainPacketCodec().from_target(content)
        if self.is_up and self.agent is not None and packet is not None:
            self.agent.on_target_packet(packet)


def _ignore_version(_host: str, _version: int, _check_age_ms: int) -> None:
    """Configurations are put in force by the test."""


class FlowCluster:
    """A cluster whose network delivers everything after one millisecond.

    Args:
        balancers: Number of balancers.
        agents: Number of agents with a target of :data:`SERVICE`.
        seed: Seed of every random choice.
        sites: Sites over which the agents are spread in turn.
        evacuates: Whether sites are evacuated; if so, every node starts with
            a view in which none is.
    """

    def __init__(
        self,
        *,
        balancers: int,
        agents: int,
        seed: int = 1,
        sites: tuple[str, ...] = ('site-a',),
        evacuates: bool = False,
    ) -> None:
        self.clock = ManualClock(start_ms=1000)
        self.random = Random(seed)
        self.sites = sites
        self.evacuates = evacuates
        #: View with which nodes start; None if they start without one.
        self.view: EvacuationView | None = EvacuationView(
            era=1, revision=1, sites=()
        )
        self._revisions = itertools.count(2)
        self.table = route_table(1, {SERVICE_PORT: SERVICE})
        #: Limit on opening packets at the agents that start from now on.
        self.opening_limit: OpeningLimit | None = None
        #: Time and content of every packet sent to a client.
        self.received: list[tuple[int, PlainPacket]] = []
        #: Pairs of sender and receiver whose messages are lost.
        self.cuts: set[tuple[str, str]] = set()
        self.nodes: dict[str, FlowNode] = {}
        #: Number of messages sent between nodes, by type.
        self.sent: Counter[type] = Counter()
        self._sequences: Counter[FlowKey] = Counter()
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._incarnations = itertools.count(1)
        for number in range(balancers):
            self.add_balancer(number)
        for number in range(agents):
            self.add_agent(number)
        self.advance(1000)

    @property
    def balancers(self) -> list[FlowNode]:
        """The balancers that are up."""
        return [
            node for node in self.nodes.values() if node.balancer and node.is_up
        ]

    @property
    def agents(self) -> list[FlowNode]:
        """The agents that are up."""
        return [
            node for node in self.nodes.values() if node.agent and node.is_up
        ]

    @property
    def targets(self) -> list[FlowTarget]:
        """All targets."""
        return [node.target for node in self.nodes.values() if node.target]

    def add_balancer(self, number: int) -> FlowNode:
        """Starts a balancer, in place of an earlier process if any."""
        return self._add(f'10.0.0.{number + 1}', NodeRole.BALANCER, '')

    def add_agent(
        self,
        number: int,
        service: str = SERVICE,
        *,
        sends_heartbeat: bool = True,
    ) -> FlowNode:
        """Starts an agent; an existing target of the service keeps running.

        Args:
            number: Number of its VM.
            service: Service of the target.
            sends_heartbeat: Whether the target sends a heartbeat at once.
        """
        host = f'10.0.1.{number + 1}'
        previous = self.nodes.get(host)
        target = None if previous is None else previous.target
        if target is None or target.service != service:
            target = FlowTarget(
                name=f'target-{number}-{service}',
                service=service,
                born_ms=self.clock.now_ms(),
            )
        node = self._add(host, NodeRole.AGENT, service)
        node.target = target
        if sends_heartbeat:
            node.heartbeat()
        return node

    def send(self, sender: str, host: str, content: bytes) -> None:
        """Delivers a message after one hop, unless the link is cut."""
        if (sender, host) in self.cuts or host not in self.nodes:
            return
        self.schedule(HOP_MS, lambda: self.nodes[host].receive(sender, content))

    def schedule(self, delay_ms: int, run: Callable[[], None]) -> None:
        """Runs a callback after a delay."""
        due_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self._queue, (due_ms, next(self._order), run))

    def advance(self, duration_ms: int) -> None:
        """Moves time forward by whole milliseconds."""
        for _ in range(duration_ms):
            self.clock.advance(1)
            now_ms = self.clock.now_ms()
            while self._queue and self._queue[0][0] <= now_ms:
                heapq.heappop(self._queue)[2]()
            if now_ms % TICK_MS == 0:
                self._tick(now_ms)

    def send_packet(
        self, packet: PlainPacket, balancer: FlowNode | None = None
    ) -> None:
        """Sends a packet of a client through a balancer, the first if None."""
        node = self.balancers[0] if balancer is None else balancer
        decoded = PlainPacketCodec().from_client(encode_packet(packet))
        assert decoded is not None and node.balancer is not None
        node.balancer.on_packet(decoded)

    def open(
        self, key: FlowKey, balancer: FlowNode | None = None, copy: int = 0
    ) -> None:
        """Sends the opening packet of a flow, or a copy of it."""
        packet = PlainPacket(key=key, flags='S', acknowledged=copy)
        self.send_packet(packet, balancer)

    def request(
        self,
        key: FlowKey,
        body: bytes,
        balancer: FlowNode | None = None,
        *,
        is_copy: bool = False,
    ) -> None:
        """Sends a request on an open flow, or retransmits the last one."""
        self._sequences[key] += not is_copy
        packet = PlainPacket(
            key=key, flags='A', body=body, sequence=self._sequences[key]
        )
        self.send_packet(packet, balancer)

    def packets(self, key: FlowKey) -> list[PlainPacket]:
        """Returns what the client of a flow has received."""
        return [packet for _, packet in self.received if packet.key == key]

    def bodies(self, key: FlowKey) -> list[bytes]:
        """Returns the answers that the client of a flow has received."""
        return [packet.body for packet in self.packets(key) if packet.body]

    def is_reset(self, key: FlowKey) -> bool:
        """Whether the client of a flow has received a reset."""
        return any(packet.flags == 'R' for packet in self.packets(key))

    def holder(self, key: FlowKey) -> FlowTarget | None:
        """Returns the target that holds a flow."""
        holders = [target for target in self.targets if key in target.flows]
        return holders[0] if holders else None

    def configure(self, table: RouteTable) -> None:
        """Puts a configuration in force at all nodes."""
        self.table = table
        for node in self.nodes.values():
            node.routes.update(table, 'test')
            node.routes.confirm(0)

    def evacuate(
        self, *sites: str, era: int = 1, at: list[FlowNode] | None = None
    ) -> None:
        """Replaces the evacuated sites in the store, which some nodes read.

        Args:
            sites: All evacuated sites.
            era: Era of the store.
            at: Nodes that read them now, and send hellos; all if None.
        """
        view = EvacuationView(
            era=era, revision=next(self._revisions), sites=sites
        )
        self.view = view
        for node in list(self.nodes.values()) if at is None else at:
            node.evacuations.update(view, 'test', 0)
            node.introducer.announce()

    def _add(self, host: str, role: NodeRole, service: str) -> FlowNode:
        record = NodeRecord(
            host=host,
            role=role,
            site=self.sites[(int(host.split('.')[3]) - 1) % len(self.sites)],
            service=service,
            incarnation=next(self._incarnations),
        )
        contacts = ['10.0.0.1', '10.0.0.2']
        node = FlowNode(cluster=self, record=record, contacts=contacts)
        if self.view is not None:
            node.evacuations.update(self.view, 'test', 0)
        node.routes.update(self.table, 'test')
        node.routes.confirm(0)
        self.nodes[host] = node
        return node

    def _tick(self, now_ms: int) -> None:
        for node in list(self.nodes.values()):
            if not node.is_up:
                continue
            node.tick()
            if now_ms % HEARTBEAT_MS == 0:
                node.heartbeat()
