"""Packets that the target of an agent has sent or returned."""

from collections.abc import Callable

from anvilthread.flows.agent_condition import AgentCondition
from anvilthread.flows.agent_flow import AgentFlow
from anvilthread.flows.agent_flow_table import AgentFlowTable
from anvilthread.flows.flow_counters import FlowCounters
from anvilthread.flows.flow_key import FlowKey, flow_name
from anvilthread.flows.flow_network import FlowNetwork
from anvilthread.flows.flow_packet import FlowPacket
from anvilthread.flows.flow_packet_codec import FlowPacketCodec
from anvilthread.flows.latency_buckets import LatencyBuckets
from anvilthread.flows.opening_admission import OpeningAdmission
from anvilthread.flows.search_messages import NotHeld
from anvilthread.flows.target_offers import TargetOffers
from anvilthread.flows.target_watch import TargetWatch
from anvilthread.flows.waiting_openings import WaitingOpenings
from anvilthread.flows.work_observer import WorkObserver
from anvilthread.telemetry.log import Log


class TargetPackets:
    """Sends packets of the target to clients, and tracks their flows.

    Args:
        network: Sends messages and packets.
        codec: Codec of the packets.
        flows: Flows of the target.
        target: State of the target.
        offers: Packets offered to the target to find out what it holds.
        condition: Health of the target.
        work: Observes the requests at the target.
        waiting: Delivers the opening packets that wait.
        openings: Opening packets, from their arrival to the target.
        send_held: Tells a balancer that the target holds a flow.
        log: Receives one line per decision.
        counters: Counts of decisions.
    """

    __slots__ = (
        '_codec',
        '_condition',
        '_counters',
        '_flows',
        '_latencies',
        '_log',
        '_network',
        '_offers',
        '_openings',
        '_send_held',
        '_target',
        '_waiting',
        '_work',
    )

    def __init__(
        self,
        *,
        network: FlowNetwork,
        codec: FlowPacketCodec,
        flows: AgentFlowTable,
        target: TargetWatch,
        offers: TargetOffers,
        condition: AgentCondition,
        work: WorkObserver,
        waiting: WaitingOpenings,
        openings: OpeningAdmission,
        send_held: Callable[[str, FlowKey], None],
        log: Log,
        counters: FlowCounters,
    ) -> None:
        self._network = network
        self._codec = codec
        self._flows = flows
        self._target = target
        self._offers = offers
        self._condition = condition
        self._work = work
        self._waiting = waiting
        self._openings = openings
        self._send_held = send_held
        self._log = log
        self._counters = counters
        self._latencies = LatencyBuckets()

    @property
    def latencies(self) -> LatencyBuckets:
        """Times from a request to the first packet of its answer."""
        return self._latencies

    def on_packet(self, packet: FlowPacket) -> None:
        """Handles a packet that the target has sent."""
        self._target.on_packet(is_bounced=packet.is_bounced)
        if packet.is_bounced:
            self._on_bounced(packet)
            return
        flow = self._flows.get(packet.key)
        if packet.is_reset and (flow is None or not flow.is_open):
            self._on_foreign_reset(packet.key, flow)
            return
        self._offers.on_answer(packet.key)
        flow = self._flows.get(packet.key) or self._flows.add(packet.key, '')
        if not flow.is_open:
            flow.is_open = True
            if flow.balancer:
                self._send_held(flow.balancer, packet.key)
        if packet.is_reset and flow.requested_ms is not None:
            self._condition.health.record_failure('flow_reset_by_target')
            self._work.on_failure()
        working = self._flows.meter.working
        latency_ms = self._flows.record_target_packet(packet, flow)
        if latency_ms is not None:
            self._on_answer(packet, flow, latency_ms, working)
        self._openings.on_ending(packet, flow)
        self._network.send_to_client(packet.key, packet.content)

    def _on_answer(
        self, packet: FlowPacket, flow: AgentFlow, latency_ms: int, working: int
    ) -> None:
        """Handles the first packet of the answer to a request."""
        self._latencies.observe(latency_ms)
        status = self._codec.status(packet.content)
        self._condition.health.record_answer(
            status=status, working=working, slots=self._target.slots
        )
        self._work.on_answer(
            status=status, run_ms=latency_ms, working=flow.working
        )
        self._event(
            'request_answered',
            packet.key,
            request=flow.request_id,
            status=status,
            took_ms=latency_ms,
        )
        self._waiting.deliver_waiting()

    def _on_foreign_reset(self, key: FlowKey, flow: AgentFlow | None) -> None:
        """Handles a reset by the target for a flow that it does not hold.

        It is not sent to the client, since another target may hold the flow.
        """
        self._event('foreign_reset', key, is_known=flow is not None)
        self._offers.on_reset(key)
        self._flows.remove(key)
        if flow is not None and flow.balancer:
            self._network.send_to_node(flow.balancer, NotHeld(key=key))

    def _on_bounced(self, packet: FlowPacket) -> None:
        """Handles a packet that the target has returned."""
        content = self._codec.unbounced(packet.content)
        original = self._codec.from_client(content)
        if original is None:
            self._counters.add('packets_malformed')
            return
        if self._offers.on_bounced(packet.mark):
            return
        flow = self._flows.get(original.key)
        self._flows.remove(original.key)
        balancer = '' if flow is None else flow.balancer
        if not balancer:
            self._counters.add('bounced_without_balancer')
        elif original.opens:
            self._condition.health.record_failure('opening_refused')
            self._work.on_refusal()
            self._openings.refuse(balancer, original, 'target_full')
            self._waiting.deliver_waiting()
        else:
            not_held = NotHeld(key=original.key, packet=content)
            self._network.send_to_node(balancer, not_held)

    def _event(self, name: str, key: FlowKey, **fields: object) -> None:
        self._counters.add(name)
        self._log.event(name, flow=flow_name(key), **fields)
