"""Opening packets at an agent, from their arrival to the target."""

from collections.abc import Callable
from typing import Final

from anvilthread.clock import Clock
from anvilthread.flows.agent_condition import AgentCondition
from anvilthread.flows.agent_flow import AgentFlow
from anvilthread.flows.agent_flow_table import AgentFlowTable
from anvilthread.flows.flow_counters import FlowCounters
from anvilthread.flows.flow_key import FlowKey, flow_name
from anvilthread.flows.flow_network import FlowNetwork
from anvilthread.flows.flow_packet import FlowPacket
from anvilthread.flows.latency_buckets import LatencyBuckets
from anvilthread.flows.opening_decision import OpeningAction
from anvilthread.flows.opening_gate import OpeningGate
from anvilthread.flows.opening_limit import OpeningLimit
from anvilthread.flows.opening_refusals import OpeningRefusals
from anvilthread.flows.opening_queue import OpeningQueue
from anvilthread.flows.packet_messages import Place, Queued, Withdraw
from anvilthread.flows.queued_opening import QueuedOpening
from anvilthread.flows.route_holder import RouteHolder
from anvilthread.flows.traffic_class import TrafficClass
from anvilthread.telemetry.log import Log

#: Longest time that a balancer can know of a packet; clients send no copy
#: later than 0.6 s and give up after 1.4 s.
_MAX_WAITED_MS: Final = 10_000


class OpeningAdmission:
    """Delivers, queues or refuses the opening packets of new flows.

    Args:
        clock: Source of time.
        network: Sends messages and packets.
        routes: Configuration in force.
        service: Service of the target.
        flows: Flows of the target.
        condition: Acceptance of new flows.
        queue: Packets that wait.
        gate: Decides about each packet.
        opening_limit: Counts the packets that the target receives; None for
            no limit.
        refusals: Returns packets to their balancers.
        send_held: Tells a balancer that the target holds a flow.
        log: Receives one line per decision.
        counters: Counts of decisions.
    """

    __slots__ = (
        '_clock',
        '_condition',
        '_counters',
        '_flows',
        '_gate',
        '_log',
        '_network',
        '_opening_limit',
        '_queue',
        '_refusals',
        '_routes',
        '_send_held',
        '_service',
        '_was_failing',
        '_waits',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        network: FlowNetwork,
        routes: RouteHolder,
        service: str,
        flows: AgentFlowTable,
        condition: AgentCondition,
        queue: OpeningQueue,
        gate: OpeningGate,
        opening_limit: OpeningLimit | None,
        refusals: OpeningRefusals,
        send_held: Callable[[str, FlowKey], None],
        log: Log,
        counters: FlowCounters,
    ) -> None:
        self._clock = clock
        self._network = network
        self._routes = routes
        self._service = service
        self._flows = flows
        self._condition = condition
        self._queue = queue
        self._gate = gate
        self._opening_limit = opening_limit
        self._refusals = refusals
        self._send_held = send_held
        self._log = log
        self._counters = counters
        self._waits = LatencyBuckets()
        self._was_failing = False

    @property
    def _is_ordered(self) -> bool:
        return self._routes.table.orders_by_priority(self._service)

    @property
    def gate(self) -> OpeningGate:
        """Decides about each packet."""
        return self._gate

    @property
    def waits(self) -> LatencyBuckets:
        """Times that packets have waited here for the target, in ms."""
        return self._waits

    def place(self, host: str, packet: FlowPacket, message: Place) -> None:
        """Handles an opening packet that no general reason refuses."""
        flow = self._flows.get(packet.key)
        if flow is not None and not flow.is_closing:
            self._repeat(host, packet, flow)
        elif self._is_ordered:
            self._admit(host, packet, message)
        elif self._gate.has_warmup_room:
            self._deliver(packet.key, packet.content, host)
        else:
            self.refuse(host, packet, 'warming_up')

    def refuse(self, host: str, packet: FlowPacket, reason: str) -> None:
        """Returns an opening packet that must not reach the target."""
        self._queue.discard(packet.key)
        self._refusals.send(host, packet.key, packet.content, reason)

    def on_withdraw(self, host: str, message: Withdraw) -> None:
        """Drops a packet that its balancer has placed elsewhere."""
        opening = self._queue.get(FlowKey(message.key))
        if opening is not None and opening.balancer == host:
            self.discard(opening.key)

    def discard(self, key: FlowKey) -> bool:
        """Drops the waiting packet of a flow; returns whether it had one."""
        if self._queue.discard(key) is None:
            return False
        self._event('opening_withdrawn', key)
        return True

    def is_ended_by(self, packet: FlowPacket) -> bool:
        """Drops the waiting packet of a flow of which another one has come.

        Args:
            packet: Packet of the client that opens no flow.

        Returns:
            Whether it ends a flow that the target has not seen.
        """
        was_waiting = self.discard(packet.key)
        return was_waiting and (packet.is_reset or packet.is_fin)

    def on_ending(self, packet: FlowPacket, flow: AgentFlow) -> None:
        """Handles a packet of the target, which may end the flow.

        A request that is not answered would occupy the limit of the target
        until it times out.
        """
        if (packet.is_fin or packet.is_reset) and self._is_ordered:
            self._flows.end_request(flow)
            self.deliver_waiting()

    def on_abort(self, packet: FlowPacket, flow: AgentFlow) -> None:
        """Handles a packet of the client, which may abort its request."""
        if packet.is_reset and self._is_ordered:
            self._flows.end_request(flow)
            self.deliver_waiting()

    def deliver_waiting(self) -> None:
        """Delivers waiting packets while the target has capacity."""
        while len(self._queue) and self._gate.has_work_room:
            self._deliver_next()

    def return_all(self, reason: str) -> None:
        """Returns every waiting packet to its balancer.

        Args:
            reason: Why this agent cannot serve them.
        """
        for opening in self._queue.take_all():
            self._return(opening, reason)

    def tick(self) -> None:
        """Delivers or returns waiting packets; called every 20 ms."""
        is_failing = self._condition.health.is_failing
        is_ejected = is_failing and not self._was_failing
        self._was_failing = is_failing
        if not len(self._queue):
            return
        reason = self._condition.refusal
        if not reason and is_ejected:
            reason = 'target_failing'
        if reason:
            self.return_all(reason)
            return
        self.deliver_waiting()
        if self._gate.may_try_silent_target:
            self._deliver_next()
        for opening in self._queue.take_hopeless(
            run_ms=self._gate.run_ms,
            answer_ms=self._gate.answer_ms,
            above=self._gate.requests_above_slots,
            slots=self._gate.slots,
        ):
            self._return(opening, 'no_room')

    def _admit(self, host: str, packet: FlowPacket, message: Place) -> None:
        """Delivers, queues or refuses the packet of an ordered service."""
        waiting = self._queue.get(packet.key)
        if waiting is not None:
            waiting.balancer = host
            wait_ms = self._gate.expected_wait_ms(waiting.priority)
            self._network.send_to_node(
                host, Queued(key=packet.key, wait_ms=wait_ms)
            )
            return
        # A new flow that has not sent its request in time no longer counts.
        self.deliver_waiting()
        opening = self._opening(host, packet, message)
        decision = self._gate.decide(opening, message.max_wait_ms)
        if decision.action is OpeningAction.DELIVER:
            self._waits.observe(0)
            self._deliver(packet.key, packet.content, host)
        elif decision.action is OpeningAction.QUEUE:
            self._enqueue(opening, decision.wait_ms)
        else:
            self._return(opening, decision.reason)

    def _opening(
        self, host: str, packet: FlowPacket, message: Place
    ) -> QueuedOpening:
        waited_ms = message.waited_ms
        if not 0 <= waited_ms <= _MAX_WAITED_MS:
            self._event('wait_ignored', packet.key, wait_ms=waited_ms)
            waited_ms = 0
        now_ms = self._clock.now_ms()
        route = self._routes.table.route_of(packet.key)
        return QueuedOpening(
            key=packet.key,
            content=packet.content,
            balancer=host,
            traffic=TrafficClass() if route is None else route.traffic,
            sent_ms=now_ms - waited_ms,
            arrived_ms=now_ms,
        )

    def _enqueue(self, opening: QueuedOpening, wait_ms: int) -> None:
        self._queue.add(opening)
        self._network.send_to_node(
            opening.balancer, Queued(key=opening.key, wait_ms=wait_ms)
        )
        self._event(
            'opening_queued',
            opening.key,
            priority=opening.priority,
            waiting=len(self._queue),
            wait_ms=wait_ms,
            working=self._flows.meter.working,
            limit=self._gate.limit,
        )
        displaced = self._queue.take_displaced(self._gate.answer_ms)
        if displaced is not None:
            self._return(displaced, 'no_room')

    def _return(self, opening: QueuedOpening, reason: str) -> None:
        self._refusals.send(
            opening.balancer,
            opening.key,
            opening.content,
            reason,
            self._gate.expected_wait_ms(opening.priority),
        )

    def _repeat(self, host: str, packet: FlowPacket, flow: AgentFlow) -> None:
        """Sends the target a copy of a packet that it has received."""
        flow.balancer = host
        if not self._gate.has_warmup_room:
            self._counters.add('opening_copies_dropped')
            return
        self._send_to_target(packet.content)
        if self._is_ordered and flow.is_open:
            # The balancer checks a flow whose confirmation was lost.
            self._send_held(host, packet.key)

    def _deliver_next(self) -> None:
        """Delivers the first waiting packet, if any."""
        opening = self._queue.take(self._gate.answer_ms)
        if opening is None:
            return
        if not self._gate.has_warmup_room:
            self._return(opening, 'warming_up')
            return
        waited_ms = self._clock.now_ms() - opening.arrived_ms
        self._waits.observe(waited_ms)
        self._event(
            'opening_delivered',
            opening.key,
            priority=opening.priority,
            waited_ms=waited_ms,
            waiting=len(self._queue),
        )
        self._deliver(opening.key, opening.content, opening.balancer)

    def _deliver(self, key: FlowKey, content: bytes, balancer: str) -> None:
        self._flows.add(key, balancer)
        self._condition.record_opening(key)
        self._send_to_target(content)

    def _send_to_target(self, content: bytes) -> None:
        if self._opening_limit is not None:
            self._opening_limit.record()
        self._network.send_to_target(content)

    def _event(self, name: str, key: FlowKey, **fields: object) -> None:
        self._counters.add(name)
        self._log.event(name, flow=flow_name(key), **fields)
