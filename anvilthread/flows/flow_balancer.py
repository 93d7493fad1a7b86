"""The balancer of flows that are known by an address pair."""

from collections import deque
from typing import Final

from anvilthread.clock import Clock
from anvilthread.flows.balancer_flow import BalancerFlow
from anvilthread.flows.balancer_flow_table import BalancerFlowTable
from anvilthread.flows.flow_counters import FlowCounters
from anvilthread.flows.flow_key import FlowKey, flow_name
from anvilthread.flows.flow_network import FlowNetwork
from anvilthread.flows.flow_packet import FlowPacket
from anvilthread.flows.flow_placement import FlowPlacement
from anvilthread.flows.latency_buckets import LatencyBuckets
from anvilthread.flows.messages import MessageHandlers
from anvilthread.flows.packet_form import PacketForm
from anvilthread.flows.packet_messages import Forward, Place, Refused
from anvilthread.flows.rendezvous_finder import RendezvousFinder
from anvilthread.flows.route_holder import RouteHolder
from anvilthread.flows.search_messages import Absent, Find, Held, NotHeld
from anvilthread.telemetry.log import Log

#: An agent confirms a new flow within two hops and the target's answer, some
#: ms; one that has not done so by now is treated as down. Short against the
#: 200 ms after which clients repeat the opening packet.
_CONFIRM_MS: Final = 80

#: Agents asked to take a flow before its client is told that none does.
_MAX_TRIES: Final = 4

#: A client gives up an attempt whose opening packet stays unanswered for
#: this long.
_ATTEMPT_MS: Final = 1400

#: A route is missing for certain if the version was checked this recently:
#: less than the time operators are promised for a change (3 s).
_CERTAIN_MS: Final = 2500


class FlowBalancer:
    """Sends packets of clients to the agents that hold their flows.

    The table of flows is a cache: a packet of an unknown flow is given to an
    agent that finds the holder.

    Args:
        clock: Source of time.
        network: Where messages and packets go.
        form: Codec of the packets.
        routes: Configuration in force.
        placement: Choice of agents for new flows.
        finder: Choice of the agent that looks for a holder.
        log: Receives one line per decision.
        counters: Counts of decisions.
    """

    __slots__ = (
        '_clock',
        '_counters',
        '_finder',
        '_flows',
        '_form',
        '_latencies',
        '_log',
        '_network',
        '_opening',
        '_placement',
        '_routes',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        network: FlowNetwork,
        form: PacketForm,
        routes: RouteHolder,
        placement: FlowPlacement,
        finder: RendezvousFinder,
        log: Log,
        counters: FlowCounters,
    ) -> None:
        self._clock = clock
        self._network = network
        self._form = form
        self._routes = routes
        self._placement = placement
        self._finder = finder
        self._log = log
        self._counters = counters
        self._latencies = LatencyBuckets()
        self._flows = BalancerFlowTable(clock=clock, routes=routes)
        self._opening: deque[tuple[int, FlowKey]] = deque()

    @property
    def handlers(self) -> MessageHandlers:
        """What takes the messages for a balancer."""
        return {
            Held: self.on_held,
            NotHeld: self.on_not_held,
            Refused: self.on_refused,
            Absent: self.on_absent,
        }

    @property
    def flow_count(self) -> int:
        """Flows remembered."""
        return len(self._flows)

    @property
    def latencies(self) -> LatencyBuckets:
        """Times from an opening packet to the confirmation of its agent."""
        return self._latencies

    def on_packet(self, packet: FlowPacket) -> None:
        """Handles a packet from a client."""
        flow = self._flows.get(packet.key)
        if packet.opens:
            self._open(packet, flow)
        elif flow is None:
            self._find(packet)
        else:
            self._forward(packet, flow)

    def on_held(self, host: str, message: Held) -> None:
        """Notes which agent holds a flow."""
        key = FlowKey(message.key)
        flow = self._flows.get(key)
        if flow is None:
            flow = self._flows.add(key, host, message.service)
        elif flow.is_held and flow.agent != host:
            # The holder of a flow never changes. An agent whose target has
            # died may take its silence for acceptance.
            self._event('flow_held_twice', key, agent=host, holder=flow.agent)
            return
        if not flow.is_held and flow.opening:
            self._latencies.observe(self._clock.now_ms() - flow.placed_ms)
        flow.agent = host
        flow.is_held = True
        flow.opening = b''

    def on_not_held(self, host: str, message: NotHeld) -> None:
        """Forgets a flow that its agent does not hold."""
        key = FlowKey(message.key)
        flow = self._flows.get(key)
        if flow is not None and flow.agent == host:
            self._flows.remove(key)
            self._event('flow_not_held', key, agent=host)

    def on_absent(self, host: str, message: Absent) -> None:
        """Resets a flow that no target of its service holds."""
        key = FlowKey(message.key)
        flow = self._flows.get(key)
        if flow is None or not flow.is_held:
            self._flows.remove(key)
            self._reset(key, message.acknowledged, 'no_holder', finder=host)

    def on_refused(self, host: str, message: Refused) -> None:
        """Places a flow on another agent after one has refused it."""
        packet = self._form.from_client(message.packet)
        if packet is None:
            return
        flow = self._flows.get(packet.key)
        if flow is None or flow.is_held or flow.agent != host:
            return
        self._event(
            'flow_refused', packet.key, agent=host, reason=message.reason
        )
        self._place_again(packet, flow, message.reason)

    def tick(self) -> None:
        """Retries placements that were not confirmed, and forgets flows."""
        now_ms = self._clock.now_ms()
        due: list[FlowKey] = []
        while self._opening and self._opening[0][0] <= now_ms:
            due.append(self._opening.popleft()[1])
        for key in due:
            self._check_opening(key, now_ms)
        self._flows.sweep()

    def _open(self, packet: FlowPacket, flow: BalancerFlow | None) -> None:
        now_ms = self._clock.now_ms()
        if flow is not None and now_ms - flow.placed_ms <= _ATTEMPT_MS:
            if flow.is_held:
                self._send_place(packet.content, flow)
            return
        route = self._routes.table.route_of(packet.key)
        if route is None:
            self._reject_unrouted(packet)
            return
        service = route.choose(packet.key)
        flow = self._flows.add(packet.key, '', service)
        flow.opening = packet.content
        if self._place(flow):
            return
        self._reject(
            packet, flow, 'no_agent', waits=not self._finder.is_settled
        )

    def _place_again(
        self, packet: FlowPacket, flow: BalancerFlow, reason: str
    ) -> None:
        flow.tried.add(flow.agent)
        flow.opening = packet.content
        has_tries = len(flow.tried) < _MAX_TRIES
        if has_tries and self._place(flow):
            return
        waits = has_tries and self._finder.is_new
        self._reject(packet, flow, reason, waits=waits)

    def _reject(
        self,
        packet: FlowPacket,
        flow: BalancerFlow,
        reason: str,
        *,
        waits: bool,
    ) -> None:
        """Resets a flow for which there is no agent, or waits for one."""
        if waits:
            # This process has just started: other agents are yet to be heard.
            flow.agent = ''
            self._opening.append((self._clock.now_ms(), flow.key))
        else:
            self._flows.remove(flow.key)
            self._reset(flow.key, packet.acknowledged, reason)

    def _place(self, flow: BalancerFlow) -> bool:
        now_ms = self._clock.now_ms()
        chosen = self._placement.choose(flow.service, flow.tried)
        if chosen is None:
            return False
        flow.agent = chosen.host
        self._opening.append((now_ms + _CONFIRM_MS, flow.key))
        self._send_place(flow.opening, flow)
        self._event(
            'flow_placed',
            flow.key,
            service=flow.service,
            agent=chosen.host,
            load=round(chosen.load, 2),
            report_age_ms=chosen.age_ms(now_ms),
            version=self._routes.table.version,
            tried=len(flow.tried),
        )
        return True

    def _check_opening(self, key: FlowKey, now_ms: int) -> None:
        flow = self._flows.get(key)
        if flow is None or flow.is_held or not flow.opening:
            return
        if now_ms - flow.placed_ms > _ATTEMPT_MS:
            self._flows.remove(key)
            return
        if not flow.agent:
            if not self._place(flow):
                self._opening.append((now_ms, key))
            return
        self._event('flow_unconfirmed', key, agent=flow.agent)
        flow.tried.add(flow.agent)
        if len(flow.tried) >= _MAX_TRIES or not self._place(flow):
            # The next copy from the client starts over.
            self._flows.remove(key)

    def _send_place(self, opening: bytes, flow: BalancerFlow) -> None:
        message = Place(
            packet=opening,
            service=flow.service,
            version=self._routes.table.version,
        )
        self._network.send_node(flow.agent, message)

    def _forward(self, packet: FlowPacket, flow: BalancerFlow) -> None:
        if self._routes.table.route_of(packet.key) is None:
            self._flows.remove(packet.key)
            self._reset(packet.key, packet.acknowledged, 'route_removed')
            return
        if self._finder.is_gone(flow.agent):
            # If the agent comes back, the search finds it.
            self._flows.remove(packet.key)
            self._event('agent_gone', packet.key, agent=flow.agent)
            self._find(packet)
            return
        flow.used_ms = self._clock.now_ms()
        if packet.is_fin or packet.is_reset:
            flow.is_closing = True
        message = Forward(packet=packet.content, service=flow.service)
        self._network.send_node(flow.agent, message)

    def _find(self, packet: FlowPacket) -> None:
        route = self._routes.table.route_of(packet.key)
        if route is None:
            self._reject_unrouted(packet)
            return
        service = route.choose(packet.key)
        agents = self._finder.heard(service)
        agent = self._finder.choose(agents, packet.key)
        if agent is None:
            self._counters.add('packets_without_agent')
            return
        self._event('holder_sought', packet.key, service=service, finder=agent)
        message = Find(
            packet=packet.content, service=service, agents=len(agents)
        )
        self._network.send_node(agent, message)

    def _reject_unrouted(self, packet: FlowPacket) -> None:
        routes = self._routes
        is_certain = 0 <= routes.checked_ms <= _CERTAIN_MS
        if is_certain or (routes.is_loaded and packet.opens):
            self._reset(packet.key, packet.acknowledged, 'no_route')
        else:
            self._counters.add('packets_unrouted')

    def _reset(
        self, key: FlowKey, acknowledged: int, reason: str, **fields: object
    ) -> None:
        content = self._form.reset(key, acknowledged)
        self._network.send_client(key, content)
        self._event(
            'flow_reset',
            key,
            reason=reason,
            version=self._routes.table.version,
            **fields,
        )

    def _event(self, name: str, key: FlowKey, **fields: object) -> None:
        self._counters.add(name)
        self._log.event(name, flow=flow_name(key), **fields)
