"""Placement of new flows by a balancer."""

from collections import deque
from typing import Final

from anvilthread.clock import Clock
from anvilthread.flows.balancer_flow import BalancerFlow
from anvilthread.flows.balancer_flow_table import BalancerFlowTable
from anvilthread.flows.fleet_view import FleetView
from anvilthread.flows.flow_counters import FlowCounters
from anvilthread.flows.flow_key import FlowKey, flow_name
from anvilthread.flows.flow_network import FlowNetwork
from anvilthread.flows.flow_packet import FlowPacket
from anvilthread.flows.flow_packet_codec import FlowPacketCodec
from anvilthread.flows.flow_placement import FlowPlacement
from anvilthread.flows.flow_resets import FlowResets
from anvilthread.flows.known_node import KnownNode
from anvilthread.flows.opening_attempts import (
    ANY_WAIT,
    FIRST_MAX_WAIT_MS,
    OpeningAttempts,
)
from anvilthread.flows.packet_messages import Refused
from anvilthread.flows.place_sender import PlaceSender
from anvilthread.flows.queued_checks import QueuedChecks
from anvilthread.flows.refusal_recorder import RefusalRecorder
from anvilthread.flows.route_holder import RouteHolder
from anvilthread.telemetry.log import Log

#: Time after which an agent that has not confirmed a new flow counts as down.
#: A confirmation takes two hops and the answer of the target, a few ms. Short
#: against the 200 ms after which clients retransmit the opening packet.
_CONFIRM_TIMEOUT_MS: Final = 80

#: Agents asked to accept a flow before it is reset at its client.
_MAX_ATTEMPTS: Final = 4

#: Time after which a client gives up an unanswered opening packet.
_OPENING_TIMEOUT_MS: Final = 1400


class FlowOpener:
    """Places the opening packets of clients until an agent confirms them.

    Args:
        clock: Source of time.
        network: Sends messages.
        codec: Codec of the packets.
        routes: Configuration in force.
        placement: Choice of agents for new flows.
        fleet: What is known of the agents.
        flows: Flows of the balancer.
        resets: Resets flows at their clients.
        log: Receives one line per decision.
        counters: Counts of decisions.
    """

    __slots__ = (
        '_clock',
        '_codec',
        '_counters',
        '_fleet',
        '_flows',
        '_log',
        '_pending',
        '_place_sender',
        '_placement',
        '_queued',
        '_refusals',
        '_resets',
        '_routes',
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
        flows: BalancerFlowTable,
        resets: FlowResets,
        log: Log,
        counters: FlowCounters,
    ) -> None:
        self._clock = clock
        self._codec = codec
        self._routes = routes
        self._placement = placement
        self._fleet = fleet
        self._flows = flows
        self._resets = resets
        self._log = log
        self._counters = counters
        self._place_sender = PlaceSender(
            clock=clock, network=network, routes=routes
        )
        self._refusals = RefusalRecorder(
            fleet=fleet, log=log, counters=counters
        )
        #: Time at which the placement of each flow is checked.
        self._pending: deque[tuple[int, FlowKey]] = deque()
        self._queued = QueuedChecks(
            clock=clock, network=network, flows=flows, resend=self._resend
        )

    @property
    def queued(self) -> QueuedChecks:
        """Flows whose opening packets wait at agents."""
        return self._queued

    def is_opening(self, flow: BalancerFlow) -> bool:
        """Whether the client of a flow still waits for its first answer."""
        age_ms = self._clock.now_ms() - flow.placed_ms
        return age_ms <= _OPENING_TIMEOUT_MS

    def open(self, packet: FlowPacket, service: str) -> None:
        """Places a new flow, or resets it if no agent accepts it."""
        if not self._placement.has_room(
            service, packet.key, self._routes.table
        ):
            self._flows.remove(packet.key)
            self._resets.send(packet.key, packet.acknowledged, 'overload')
            return
        flow = self._flows.add(packet.key, '', service)
        flow.opening_packet = packet.content
        if self._routes.table.orders_by_priority(service):
            flow.attempts = OpeningAttempts(
                now_ms=flow.placed_ms, copies=packet.acknowledged
            )
        if not self._place(flow):
            retries_later = not self._fleet.is_settled
            self._reject(packet, flow, 'no_agent', retries_later=retries_later)

    def repeat(self, packet: FlowPacket, flow: BalancerFlow) -> None:
        """Sends a copy of an opening packet to the agent of its flow."""
        attempts = flow.attempts
        if flow.is_confirmed or (attempts is not None and attempts.queued_at):
            self._place_sender.send(packet.content, flow)

    def abandon(self, flow: BalancerFlow) -> bool:
        """Removes a flow that its client aborts while its packet waits.

        Returns:
            Whether the packet waits, so that no target has seen the flow.
        """
        if flow.attempts is None or not flow.attempts.queued_at:
            return False
        self._remove(flow)
        return True

    def on_refused(self, host: str, message: Refused) -> None:
        """Places a flow on another agent after one has refused it."""
        packet = self._codec.from_client(message.packet)
        if packet is None:
            return
        flow = self._flows.get(packet.key)
        if flow is None or flow.is_confirmed or flow.agent != host:
            return
        self._event(
            'flow_refused', packet.key, agent=host, reason=message.reason
        )
        if flow.attempts is None or self._refusals.record(
            flow, flow.attempts, message
        ):
            self._place_again(packet, flow, message.reason)
        else:
            self._reject(packet, flow, message.reason, retries_later=False)

    def tick(self) -> None:
        """Places flows again that were not confirmed in time."""
        now_ms = self._clock.now_ms()
        due: list[FlowKey] = []
        while self._pending and self._pending[0][0] <= now_ms:
            due.append(self._pending.popleft()[1])
        for key in due:
            self._check_confirmation(key, now_ms)
        self._queued.tick()

    def _place_again(
        self, packet: FlowPacket, flow: BalancerFlow, reason: str
    ) -> None:
        flow.tried.add(flow.agent)
        flow.opening_packet = packet.content
        has_attempts_left = self._has_attempts_left(flow)
        if has_attempts_left and self._place(flow):
            return
        retries_later = has_attempts_left and self._fleet.is_starting
        self._reject(packet, flow, reason, retries_later=retries_later)

    def _reject(
        self,
        packet: FlowPacket,
        flow: BalancerFlow,
        reason: str,
        *,
        retries_later: bool,
    ) -> None:
        """Resets a flow for which there is no agent, or retries later."""
        if retries_later:
            # This process has just started: some agents are still unknown.
            flow.agent = ''
            self._pending.append((self._clock.now_ms(), flow.key))
        else:
            self._flows.remove(flow.key)
            self._resets.send(flow.key, packet.acknowledged, reason)

    def _has_attempts_left(self, flow: BalancerFlow) -> bool:
        """Whether another agent may be asked; busy ones do not count."""
        busy = 0 if flow.attempts is None else flow.attempts.busy_count
        return len(flow.tried) - busy < _MAX_ATTEMPTS

    def _place(self, flow: BalancerFlow) -> bool:
        attempts = flow.attempts
        chosen = None
        if attempts is None or not attempts.is_exhausted:
            chosen = self._placement.choose(flow.service, flow.key, flow.tried)
        if attempts is not None:
            attempts.max_wait_ms = FIRST_MAX_WAIT_MS
            if chosen is None and attempts.shortest is not None:
                attempts.max_wait_ms = ANY_WAIT
                chosen = self._placement.take(attempts.shortest)
        if chosen is None:
            return False
        self._send_first(flow, chosen)
        return True

    def _send_first(self, flow: BalancerFlow, chosen: KnownNode) -> None:
        flow.agent = chosen.host
        self._resend(flow)
        self._event(
            'flow_placed',
            flow.key,
            service=flow.service,
            agent=chosen.host,
            load=round(chosen.load, 2),
            report_age_ms=chosen.age_ms(self._clock.now_ms()),
            version=self._routes.table.version,
            tried=len(flow.tried),
        )

    def _resend(self, flow: BalancerFlow) -> None:
        """Sends the opening packet, and expects an answer in time."""
        due_ms = self._clock.now_ms() + _CONFIRM_TIMEOUT_MS
        if flow.attempts is not None:
            flow.attempts.due_ms = due_ms
        self._pending.append((due_ms, flow.key))
        self._place_sender.send(flow.opening_packet, flow)

    def _check_confirmation(self, key: FlowKey, now_ms: int) -> None:
        flow = self._flows.get(key)
        if flow is None or flow.is_confirmed or not flow.opening_packet:
            return
        if now_ms - flow.placed_ms > _OPENING_TIMEOUT_MS:
            self._remove(flow)
            return
        if not flow.agent:
            if not self._place(flow):
                self._pending.append((now_ms, key))
            return
        attempts = flow.attempts
        if attempts is not None and attempts.is_awaited(now_ms):
            return
        self._replace_silent(flow)

    def _replace_silent(self, flow: BalancerFlow) -> None:
        """Places a flow again whose agent has not answered."""
        self._event('flow_unconfirmed', flow.key, agent=flow.agent)
        flow.tried.add(flow.agent)
        if flow.attempts is not None:
            flow.attempts.exclude(flow.agent)
            # Its answer may have been lost.
            flow.attempts.queued_at = flow.agent
        self._queued.withdraw(flow)
        if not self._has_attempts_left(flow) or not self._place(flow):
            # The next retransmission by the client starts a new placement.
            self._flows.remove(flow.key)

    def _remove(self, flow: BalancerFlow) -> None:
        """Removes a flow whose client has given up."""
        self._queued.withdraw(flow)
        self._flows.remove(flow.key)

    def _event(self, name: str, key: FlowKey, **fields: object) -> None:
        self._counters.add(name)
        self._log.event(name, flow=flow_name(key), **fields)
