"""Opening packets at an agent, from their arrival to the target."""

from collections.abc import Callable
from typing import Final

from anvilthread.clock import Clock
from anvilthread.flows.agent_flow import AgentFlow
from anvilthread.flows.agent_flow_table import AgentFlowTable
from anvilthread.flows.flow_counters import FlowCounters
from anvilthread.flows.flow_key import FlowKey, flow_name
from anvilthread.flows.flow_network import FlowNetwork
from anvilthread.flows.flow_packet import FlowPacket
from anvilthread.flows.opening_decision import OpeningAction
from anvilthread.flows.opening_delivery import OpeningDelivery
from anvilthread.flows.opening_gate import OpeningGate
from anvilthread.flows.opening_refusals import OpeningRefusals
from anvilthread.flows.opening_queue import OpeningQueue
from anvilthread.flows.packet_messages import Place, Queued, Withdraw
from anvilthread.flows.queued_opening import QueuedOpening
from anvilthread.flows.route_holder import RouteHolder
from anvilthread.flows.traffic_class import TrafficClass
from anvilthread.flows.waiting_openings import WaitingOpenings
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
        queue: Packets that wait.
        gate: Decides about each packet.
        waiting: Delivers or returns the packets that wait.
        delivery: Hands packets to the target.
        refusals: Returns packets to their balancers.
        send_held: Tells a balancer that the target holds a flow.
        log: Receives one line per decision.
        counters: Counts of decisions.
    """

    __slots__ = (
        '_clock',
        '_counters',
        '_flows',
        '_gate',
        '_log',
        '_network',
        '_delivery',
        '_queue',
        '_refusals',
        '_routes',
        '_send_held',
        '_service',
        '_waiting',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        network: FlowNetwork,
        routes: RouteHolder,
        service: str,
        flows: AgentFlowTable,
        queue: OpeningQueue,
        gate: OpeningGate,
        waiting: WaitingOpenings,
        delivery: OpeningDelivery,
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
        self._queue = queue
        self._gate = gate
        self._delivery = delivery
        self._refusals = refusals
        self._send_held = send_held
        self._log = log
        self._counters = counters
        self._waiting = waiting

    @property
    def _is_ordered(self) -> bool:
        return self._routes.table.orders_by_priority(self._service)

    @property
    def gate(self) -> OpeningGate:
        """Decides about each packet."""
        return self._gate

    def place(self, host: str, packet: FlowPacket, message: Place) -> None:
        """Handles an opening packet that no general reason refuses."""
        flow = self._flows.get(packet.key)
        if flow is not None and not flow.is_closing:
            self._repeat(host, packet, flow)
        elif self._is_ordered:
            self._admit(host, packet, message)
        elif self._gate.has_warmup_room:
            self._delivery.deliver(packet.key, packet.content, host)
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
            self._waiting.deliver_waiting()

    def on_abort(self, packet: FlowPacket, flow: AgentFlow) -> None:
        """Handles a packet of the client, which may abort its request."""
        if packet.is_reset and self._is_ordered:
            self._flows.end_request(flow)
            self._waiting.deliver_waiting()

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
        self._waiting.deliver_waiting()
        opening = self._opening(host, packet, message)
        decision = self._gate.decide(opening, message.max_wait_ms)
        if decision.action is OpeningAction.DELIVER:
            self._delivery.deliver_ordered(opening)
        elif decision.action is OpeningAction.QUEUE:
            self._enqueue(opening, decision.wait_ms)
        else:
            self._waiting.return_one(opening, decision.reason)

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
            self._waiting.return_one(displaced, 'no_room')

    def _repeat(self, host: str, packet: FlowPacket, flow: AgentFlow) -> None:
        """Sends the target a copy of a packet that it has received."""
        flow.balancer = host
        if self._is_ordered and flow.is_open:
            # The balancer checks a flow whose confirmation was lost.
            self._send_held(host, packet.key)
        if self._gate.has_warmup_room:
            self._delivery.send(packet.content)
        else:
            self._counters.add('opening_copies_dropped')

    def _event(self, name: str, key: FlowKey, **fields: object) -> None:
        self._counters.add(name)
        self._log.event(name, flow=flow_name(key), **fields)
