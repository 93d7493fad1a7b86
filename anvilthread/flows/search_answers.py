"""Answers of an agent to balancers that seek the holder of a flow."""

from collections.abc import Callable, Iterable

from anvilthread.clock import Clock
from anvilthread.flows.agent_flow import AgentFlow
from anvilthread.flows.agent_flow_table import AgentFlowTable
from anvilthread.flows.flow_counters import FlowCounters
from anvilthread.flows.flow_key import FlowKey
from anvilthread.flows.flow_network import FlowNetwork
from anvilthread.flows.flow_packet import FlowPacket
from anvilthread.flows.flow_packet_codec import FlowPacketCodec
from anvilthread.flows.route_holder import RouteHolder
from anvilthread.flows.search_messages import (
    Ask,
    Held,
    Locate,
    Located,
    NotHeld,
)
from anvilthread.flows.target_offers import TargetOffers
from anvilthread.flows.target_watch import TargetWatch


class SearchAnswers:
    """Tells balancers which flows the local target holds.

    The table of flows is complete only once every flow of the target has
    sent a packet through this process. Until then, the agent offers a packet
    of an unknown flow to the target, which returns packets of flows that it
    does not hold.

    Args:
        clock: Source of time.
        network: Sends the answers.
        codec: Codec of the packets.
        routes: Configuration in force.
        service: Service of the target.
        flows: Known flows of the target.
        target: State of the target.
        offers: Hands packets of unknown flows to the target.
        deliver: Delivers a packet of a known flow to the target.
        counters: Counts malformed packets.
    """

    __slots__ = (
        '_clock',
        '_codec',
        '_counters',
        '_deliver',
        '_flows',
        '_network',
        '_offers',
        '_routes',
        '_service',
        '_started_ms',
        '_target',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        network: FlowNetwork,
        codec: FlowPacketCodec,
        routes: RouteHolder,
        service: str,
        flows: AgentFlowTable,
        target: TargetWatch,
        offers: TargetOffers,
        deliver: Callable[[FlowPacket, AgentFlow], None],
        counters: FlowCounters,
    ) -> None:
        self._clock = clock
        self._network = network
        self._codec = codec
        self._routes = routes
        self._service = service
        self._flows = flows
        self._target = target
        self._offers = offers
        self._deliver = deliver
        self._counters = counters
        self._started_ms = clock.now_ms()

    @property
    def is_complete(self) -> bool:
        """Whether every flow of the target is in the table."""
        if self._target.saw_target_start or self._target.is_absent:
            return True
        uptime_ms = self._clock.now_ms() - self._started_ms
        return uptime_ms > self._routes.table.idle_ms

    def on_ask(self, host: str, message: Ask) -> None:
        """Answers whether the local target holds a flow, and delivers to it."""
        packet = self._codec.from_client(message.packet)
        if packet is None:
            self._counters.add('packets_malformed')
            return
        flow = self._flows.get(packet.key)
        if flow is not None and flow.is_open:
            flow.balancer = host
            self.send_held(host, packet.key)
            self._deliver(packet, flow)
        elif self._denies(flow):
            self._network.send_to_node(host, NotHeld(key=packet.key))
        elif message.may_offer:
            self._offers.offer(packet, host)
        else:
            self._answer(host, (packet.key,))

    def on_locate(self, host: str, message: Locate) -> None:
        """Answers which of several flows the local target holds."""
        self._answer(host, message.keys)

    def send_held(self, host: str, key: FlowKey) -> None:
        """Tells a balancer that the local target holds a flow."""
        self._network.send_to_node(host, Held(key=key, service=self._service))

    def _answer(self, host: str, keys: Iterable[bytes]) -> None:
        held: list[bytes] = []
        denied: list[bytes] = []
        unknown: list[bytes] = []
        for key in keys:
            flow = self._flows.get(FlowKey(key))
            if flow is not None and flow.is_open:
                held.append(key)
            else:
                (denied if self._denies(flow) else unknown).append(key)
        located = Located(
            service=self._service,
            held=tuple(held),
            denied=tuple(denied),
            unknown=tuple(unknown),
        )
        self._network.send_to_node(host, located)

    def _denies(self, flow: AgentFlow | None) -> bool:
        """Whether the target surely does not hold a flow that is not open."""
        return self.is_complete and not (flow and flow.is_assumed)
