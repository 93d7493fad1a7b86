"""The balancer of flows that are identified by an address pair."""

from typing import Final

from anvilthread.clock import Clock
from anvilthread.flows.balancer_flow import BalancerFlow
from anvilthread.flows.balancer_flow_table import BalancerFlowTable
from anvilthread.flows.fleet_view import FleetView
from anvilthread.flows.flow_counters import FlowCounters
from anvilthread.flows.flow_key import FlowKey, flow_name
from anvilthread.flows.flow_network import FlowNetwork
from anvilthread.flows.flow_opener import FlowOpener
from anvilthread.flows.flow_packet import FlowPacket
from anvilthread.flows.flow_packet_codec import FlowPacketCodec
from anvilthread.flows.flow_placement import FlowPlacement
from anvilthread.flows.flow_resets import FlowResets
from anvilthread.flows.holder_search import HolderSearch
from anvilthread.flows.known_node import KnownNode
from anvilthread.flows.latency_buckets import LatencyBuckets
from anvilthread.flows.messages import MessageHandlers
from anvilthread.flows.packet_messages import Forward, Queued, Refused
from anvilthread.flows.route_holder import RouteHolder
from anvilthread.flows.search_messages import Held, Located, NotHeld
from anvilthread.telemetry.log import Log

#: Maximum age of the last check of the configuration at which a packet without
#: a route is reset rather than dropped. Less than the 3 s within which a change
#: is guaranteed to be in force.
_FRESH_CHECK_MS: Final = 2500

#: Maximum age of a packet that is sent again to an agent that has restarted;
#: clients wait up to 2.8 s for an answer on the deployments known.
_MAX_RESENT_AGE_MS: Final = 3000


class FlowBalancer:
    """Sends packets of clients to the agents that hold their flows.

    The table of flows is a cache: the holder of an unknown flow is sought among
    the agents.

    Args:
        clock: Source of time.
        network: Sends messages and packets.
        codec: Codec of the packets.
        routes: Configuration in force.
        placement: Choice of agents for new flows.
        fleet: What is known of the agents.
        log: Receives one line per decision.
        counters: Counts of decisions.
    """

    __slots__ = (
        '_clock',
        '_codec',
        '_counters',
        '_fleet',
        '_flows',
        '_latencies',
        '_log',
        '_network',
        '_opener',
        '_resets',
        '_routes',
        '_search',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        network: FlowNetwork,
        codec: FlowPacketCodec,
        routes: RouteHolder,
        placement: FlowPlacement,
        fleet: FleetView,
        log: Log,
        counters: FlowCounters,
    ) -> None:
        self._clock = clock
        self._network = network
        self._codec = codec
        self._routes = routes
        self._fleet = fleet
        self._log = log
        self._counters = counters
        self._latencies = LatencyBuckets()
        self._flows = BalancerFlowTable(clock=clock, routes=routes)
        self._resets = FlowResets(
            network=network,
            codec=codec,
            routes=routes,
            log=log,
            counters=counters,
        )
        self._opener = FlowOpener(
            clock=clock,
            network=network,
            codec=codec,
            routes=routes,
            placement=placement,
            fleet=fleet,
            flows=self._flows,
            resets=self._resets,
            log=log,
            counters=counters,
        )
        self._search = HolderSearch(
            clock=clock,
            network=network,
            fleet=fleet,
            on_absence=self._on_absence,
            log=log,
            counters=counters,
        )

    @property
    def handlers(self) -> MessageHandlers:
        """Handler of each type of message to a balancer."""
        return {
            Held: self.on_held,
            NotHeld: self.on_not_held,
            Refused: self._opener.on_refused,
            Queued: self._opener.queued.on_queued,
            Located: self.on_located,
        }

    @property
    def flow_count(self) -> int:
        """Number of flows in the table."""
        return len(self._flows)

    @property
    def latencies(self) -> LatencyBuckets:
        """Times from an opening packet to the confirmation of its agent."""
        return self._latencies

    @property
    def search(self) -> HolderSearch:
        """Search for the holders of unknown flows."""
        return self._search

    def on_packet(self, packet: FlowPacket) -> None:
        """Handles a packet from a client."""
        flow = self._flows.get(packet.key)
        if packet.opens:
            self._open(packet, flow)
        elif flow is None:
            self._search_holder(packet)
        elif not packet.is_reset or not self._opener.abandon(flow):
            self._forward(packet, flow)

    def on_held(self, host: str, message: Held) -> None:
        """Records which agent holds a flow."""
        key = FlowKey(message.key)
        flow = self._flows.get(key)
        if flow is None:
            flow = self._flows.add(key, host, message.service)
        elif flow.agent != host and not flow.may_be_held_by(
            host, is_assumed=message.is_assumed
        ):
            # The holder of a flow never changes. Another agent may hold an
            # earlier flow of the client's port.
            self._event(
                'flow_held_twice',
                key,
                agent=host,
                holder=flow.agent,
                is_assumed=message.is_assumed,
            )
            return
        if not flow.is_confirmed and flow.opening_packet:
            self._latencies.observe(self._clock.now_ms() - flow.placed_ms)
        self._opener.queued.on_held(host, flow)
        flow.agent = host
        flow.is_confirmed = flow.is_confirmed or not message.is_assumed
        flow.opening_packet = b''
        self._search.on_held(host, key, message.service)

    def on_not_held(self, host: str, message: NotHeld) -> None:
        """Seeks another holder of a flow that an agent does not hold."""
        key = FlowKey(message.key)
        flow = self._flows.get(key)
        if flow is not None and flow.agent == host:
            self._flows.remove(key)
            self._event('flow_not_held', key, agent=host)
            flow = None
        if flow is None and message.packet:
            packet = self._codec.from_client(message.packet)
            if packet is not None:
                self._search_holder(packet, denied_by=host)
        self._search.on_denied(host, (key,))

    def on_located(self, host: str, message: Located) -> None:
        """Handles the answers of an agent about several flows."""
        for key in message.held:
            self.on_held(host, Held(key=key, service=message.service))
        self._search.on_denied(host, message.denied)
        self._search.on_unknown(host, message.unknown)

    def on_node_started(self, node: KnownNode) -> None:
        """Sends an agent that has restarted the last packets of its flows.

        Packets that were sent while it was down are lost. Clients retransmit
        after up to 1.6 s, often later than their deadlines. A target that has
        received a packet before takes it for a retransmission.
        """
        self._search.on_node_started(node)
        oldest_ms = self._clock.now_ms() - _MAX_RESENT_AGE_MS
        for flow in self._flows.of_agent(node.host):
            is_recent = flow.last_data_ms >= oldest_ms and flow.last_data
            if flow.is_confirmed and is_recent and not flow.is_closing:
                message = Forward(
                    packet=flow.last_data, service=flow.service, is_resent=True
                )
                self._network.send_to_node(node.host, message)
                self._counters.add('packets_resent')

    def tick(self) -> None:
        """Continues placements and searches, and removes expired flows."""
        self._fleet.tick()
        self._search.tick()
        self._opener.tick()
        self._flows.sweep()

    def _open(self, packet: FlowPacket, flow: BalancerFlow | None) -> None:
        if flow is not None and self._opener.is_opening(flow):
            self._opener.repeat(packet, flow)
            return
        route = self._routes.table.route_of(packet.key)
        if route is None:
            self._reject_unrouted(packet)
            return
        self._search.cancel(packet.key)
        self._opener.open(packet, route.choose(packet.key))

    def _forward(self, packet: FlowPacket, flow: BalancerFlow) -> None:
        if self._routes.table.route_of(packet.key) is None:
            self._flows.remove(packet.key)
            self._resets.send(packet.key, packet.acknowledged, 'route_removed')
            return
        if self._fleet.is_gone(flow.agent):
            # If the agent returns, the search finds it.
            self._flows.remove(packet.key)
            self._event('agent_gone', packet.key, agent=flow.agent)
            self._search_holder(packet)
            return
        flow.last_packet_ms = self._clock.now_ms()
        if packet.is_fin or packet.is_reset:
            flow.is_closing = True
        if packet.size:
            flow.last_data = packet.content
            flow.last_data_ms = flow.last_packet_ms
        message = Forward(packet=packet.content, service=flow.service)
        self._network.send_to_node(flow.agent, message)

    def _search_holder(self, packet: FlowPacket, denied_by: str = '') -> None:
        route = self._routes.table.route_of(packet.key)
        if route is None:
            self._reject_unrouted(packet)
        else:
            service = route.choose(packet.key)
            self._search.start(packet, service, denied_by)

    def _on_absence(
        self, key: FlowKey, acknowledged: int, fields: dict[str, object]
    ) -> None:
        """Resets a flow that no target holds."""
        self._resets.send(key, acknowledged, 'no_holder', **fields)

    def _reject_unrouted(self, packet: FlowPacket) -> None:
        routes = self._routes
        is_fresh = 0 <= routes.check_age_ms <= _FRESH_CHECK_MS
        if is_fresh or (routes.is_loaded and packet.opens):
            self._resets.send(packet.key, packet.acknowledged, 'no_route')
        else:
            self._counters.add('packets_unrouted')

    def _event(self, name: str, key: FlowKey, **fields: object) -> None:
        self._counters.add(name)
        self._log.event(name, flow=flow_name(key), **fields)
