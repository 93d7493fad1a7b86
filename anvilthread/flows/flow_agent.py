"""The agent of flows that are identified by an address pair."""

from anvilthread.clock import Clock
from anvilthread.flows.agent_condition import AgentCondition
from anvilthread.flows.agent_flow import AgentFlow
from anvilthread.flows.agent_flow_table import AgentFlowTable
from anvilthread.flows.agent_parts import AgentParts
from anvilthread.flows.flow_counters import FlowCounters
from anvilthread.flows.flow_key import flow_name
from anvilthread.flows.flow_network import FlowNetwork
from anvilthread.flows.flow_packet import FlowPacket
from anvilthread.flows.flow_packet_codec import FlowPacketCodec
from anvilthread.flows.heartbeat import Heartbeat
from anvilthread.flows.latency_buckets import LatencyBuckets
from anvilthread.flows.messages import MessageHandlers
from anvilthread.flows.opening_admission import OpeningAdmission
from anvilthread.flows.opening_limit import OpeningLimit
from anvilthread.flows.packet_messages import Forward, Place, Withdraw
from anvilthread.flows.roster import Roster
from anvilthread.flows.route_holder import RouteHolder
from anvilthread.flows.search_messages import Ask, Locate, NotHeld
from anvilthread.flows.target_watch import TargetWatch
from anvilthread.flows.work_limit import WorkLimit
from anvilthread.telemetry.log import Log


class FlowAgent:
    """Delivers packets to the target, and tracks the flows that it holds.

    Args:
        clock: Source of time.
        network: Sends messages and packets.
        codec: Codec of the packets.
        routes: Configuration in force.
        roster: Identity of this agent, and its peers.
        target: State of the target.
        log: Receives one line per decision.
        counters: Counts of decisions.
        work_limit: Limit on the requests at the target, where the service
            orders them by priority; None for no limit.
        opening_limit: Limit on the opening packets that the target receives
            per second; None for no limit.
    """

    __slots__ = (
        '_codec',
        '_condition',
        '_counters',
        '_delivery',
        '_flows',
        '_log',
        '_lost_flows',
        '_network',
        '_offers',
        '_openings',
        '_routes',
        '_search_answers',
        '_service',
        '_target',
        '_target_packets',
        '_waiting',
        '_work',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        network: FlowNetwork,
        codec: FlowPacketCodec,
        routes: RouteHolder,
        roster: Roster,
        target: TargetWatch,
        log: Log,
        counters: FlowCounters,
        work_limit: WorkLimit | None = None,
        opening_limit: OpeningLimit | None = None,
    ) -> None:
        self._network = network
        self._codec = codec
        self._routes = routes
        self._target = target
        self._log = log
        self._counters = counters
        self._service = roster.local_node.service
        parts = AgentParts(
            clock=clock,
            network=network,
            codec=codec,
            routes=routes,
            roster=roster,
            target=target,
            deliver=self._deliver,
            log=log,
            counters=counters,
            work_limit=work_limit,
            opening_limit=opening_limit,
        )
        self._flows = parts.flows
        self._lost_flows = parts.lost_flows
        self._offers = parts.offers
        self._work = parts.work
        self._condition = parts.condition
        self._search_answers = parts.search_answers
        self._delivery = parts.delivery
        self._waiting = parts.waiting
        self._openings = parts.openings
        self._target_packets = parts.target_packets

    @property
    def flows(self) -> AgentFlowTable:
        """Known flows of the target."""
        return self._flows

    @property
    def latencies(self) -> LatencyBuckets:
        """Times from a request to the first packet of its answer."""
        return self._target_packets.latencies

    @property
    def condition(self) -> AgentCondition:
        """Acceptance of new flows, and load reports."""
        return self._condition

    @property
    def openings(self) -> OpeningAdmission:
        """Opening packets, from their arrival to the target."""
        return self._openings

    @property
    def opening_waits(self) -> LatencyBuckets:
        """Times that opening packets have waited for the target."""
        return self._delivery.waits

    @property
    def handlers(self) -> MessageHandlers:
        """Handler of each type of message to an agent."""
        return {
            Forward: self.on_forward,
            Place: self.on_place,
            Withdraw: self._openings.on_withdraw,
            Ask: self._search_answers.on_ask,
            Locate: self._search_answers.on_locate,
        }

    @property
    def is_complete(self) -> bool:
        """Whether every flow of the target is in the table."""
        return self._search_answers.is_complete

    def stop(self) -> None:
        """Refuses all new flows from this call on, and returns waiting ones."""
        self._condition.stop()
        self._waiting.return_all('stopping')

    def tick(self) -> None:
        """Checks the timeouts of offers and opening packets."""
        self._offers.tick()
        self._target.tick()
        self._lost_flows.tick()
        if self._condition.tick():
            self._work.on_failure()
            self._lost_flows.reset('target_silent')
        self._waiting.tick()

    def on_place(self, host: str, message: Place) -> None:
        """Delivers an opening packet to the target, or refuses it."""
        packet = self._codec.from_client(message.packet)
        if packet is None:
            self._counters.add('packets_malformed')
            return
        reason = self._refusal(packet, message)
        if reason:
            self._openings.refuse(host, packet, reason)
        else:
            self._openings.place(host, packet, message)

    def on_forward(self, host: str, message: Forward) -> None:
        """Delivers a packet of a flow that the sender assigns to this agent."""
        packet = self._codec.from_client(message.packet)
        if packet is None:
            self._counters.add('packets_malformed')
        elif message.service == self._service:
            if self._openings.is_ended_by(packet):
                return
            flow = self._flows.get(packet.key)
            if flow is None:
                flow = self._flows.add(packet.key, host, is_new=False)
            flow.balancer = host
            if message.is_resent:
                # An answered request would count as work until it times out.
                self._network.send_to_target(packet.content)
            else:
                self._deliver(packet, flow)
        else:
            self._network.send_to_node(host, NotHeld(key=packet.key))

    def on_target_packet(self, packet: FlowPacket) -> None:
        """Handles a packet that the target has sent."""
        self._target_packets.on_packet(packet)

    def on_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Handles a heartbeat; resets flows that the target has lost.

        Returns:
            Whether the heartbeat is in effect and may be acknowledged.
        """
        was_alive = self._target.is_alive
        effect = self._target.on_heartbeat(heartbeat)
        if effect.is_accepted and not was_alive:
            self._condition.health.reset()
        if effect.replaced is not None:
            self._work.restart()
            self._waiting.return_all('target_restarted')
            if effect.replaced.is_draining:
                self._condition.health.reset()
            else:
                self._condition.health.record_crash()
        if effect.lost_before_ms is not None:
            self._lost_flows.reset_earlier(effect.lost_before_ms)
        if self._condition.refusal:
            self._waiting.return_all(self._condition.refusal)
        return effect.is_accepted

    def on_departure(self, target: str) -> bool:
        """Resets all flows if the stopped target is the local one.

        Args:
            target: Identity of the target that has stopped.

        Returns:
            Whether it is the local target.
        """
        has_stopped = self._target.on_departure(target)
        if has_stopped:
            self._waiting.return_all('target_stopped')
            self._lost_flows.reset_stopped()
        return has_stopped

    def _refusal(self, packet: FlowPacket, message: Place) -> str:
        """Returns why a new flow is refused; empty if it is accepted."""
        if message.service != self._service:
            return 'other_service'
        if self._condition.refusal:
            return self._condition.refusal
        table = self._routes.table
        if table.version >= message.version:
            route = table.route_of(packet.key)
            if route is None or not route.serves(self._service):
                return 'no_route'
        return ''

    def _deliver(self, packet: FlowPacket, flow: AgentFlow) -> None:
        self._openings.on_abort(packet, flow)
        if self._flows.record_client_packet(packet, flow):
            flow.request_id = self._codec.request_id(packet.content)
            self._counters.add('request_delivered')
            self._log.event(
                'request_delivered',
                flow=flow_name(packet.key),
                request=flow.request_id,
                balancer=flow.balancer,
                working=self._flows.meter.working,
                slots=self._target.slots,
            )
        self._network.send_to_target(packet.content)
