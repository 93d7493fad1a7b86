"""The flows of one target."""

from typing import Final

from anvilthread.clock import Clock
from anvilthread.flows.agent_flow import AgentFlow
from anvilthread.flows.awaited_requests import AwaitedRequests
from anvilthread.flows.flow_key import FlowKey
from anvilthread.flows.flow_times import CLOSED_MS
from anvilthread.flows.flow_packet import FlowPacket
from anvilthread.flows.route_holder import RouteHolder
from anvilthread.flows.work_meter import WorkMeter

#: Retention of a flow that the target has not accepted. By then, the client
#: has given up its attempt to open it.
_UNACCEPTED_MS: Final = 1500

#: A request unanswered for this long no longer counts as load: its client
#: has given up (deadlines are at most 13 s, mostly about 1 s).
_REQUEST_TIMEOUT_MS: Final = 3000


class AgentFlowTable:
    """Flows by key, and their unanswered requests.

    Args:
        clock: Source of time.
        routes: Configuration in force, for the idle timeout of flows.
    """

    __slots__ = ('_awaited', '_clock', '_flows', '_meter', '_routes')

    def __init__(self, *, clock: Clock, routes: RouteHolder) -> None:
        self._clock = clock
        self._routes = routes
        self._meter = WorkMeter(clock=clock)
        self._flows: dict[FlowKey, AgentFlow] = {}
        self._awaited = AwaitedRequests(clock=clock)

    def __len__(self) -> int:
        return len(self._flows)

    @property
    def meter(self) -> WorkMeter:
        """Load of the target: requests that it has not begun to answer."""
        return self._meter

    @property
    def reused_flows(self) -> int:
        """Number of flows that have carried more than one request."""
        return sum(flow.requests > 1 for flow in self._flows.values())

    @property
    def awaiting_first_request(self) -> int:
        """Number of new flows whose first request has not arrived."""
        return self._awaited.count

    def get(self, key: FlowKey) -> AgentFlow | None:
        """Returns a flow; None if it is unknown."""
        return self._flows.get(key)

    def items(self) -> list[tuple[FlowKey, AgentFlow]]:
        """Returns all flows."""
        return list(self._flows.items())

    def add(
        self, key: FlowKey, balancer: str, *, is_new: bool = True
    ) -> AgentFlow:
        """Adds a flow; replaces an earlier one with the same key.

        Args:
            key: The flow.
            balancer: Host of the balancer that forwards it.
            is_new: Whether its first request is yet to come.
        """
        self.remove(key)
        flow = AgentFlow(balancer=balancer, now_ms=self._clock.now_ms())
        self._flows[key] = flow
        if is_new:
            self._awaited.add(key)
        return flow

    def recover(self, key: FlowKey, balancer: str, is_assumed: bool) -> None:
        """Adds a flow whose offered packet the target has accepted."""
        flow = self.get(key)
        if flow is None:
            flow = self.add(key, balancer)
        flow.is_assumed = is_assumed
        flow.is_open = flow.is_open or not is_assumed
        flow.balancer = balancer

    def remove(self, key: FlowKey) -> None:
        """Removes a flow, if it is known."""
        flow = self._flows.pop(key, None)
        if flow is not None:
            self._awaited.discard(key)
            self.end_request(flow)

    def record_client_packet(self, packet: FlowPacket, flow: AgentFlow) -> bool:
        """Records a client packet; returns whether it begins a request."""
        flow.last_packet_ms = self._clock.now_ms()
        flow.acknowledged = packet.acknowledged
        if packet.is_fin or packet.is_reset:
            flow.is_closing = True
            self._awaited.discard(packet.key)
        if not packet.size or flow.requested_ms is not None:
            return False
        flow.requested_ms = flow.last_packet_ms
        flow.requests += 1
        self._awaited.discard(packet.key)
        self._meter.begin()
        flow.working = self._meter.working
        return True

    def record_target_packet(
        self, packet: FlowPacket, flow: AgentFlow
    ) -> int | None:
        """Records a packet from the target.

        Returns:
            Latency of the request in ms, if the packet begins its answer;
            None otherwise.
        """
        flow.last_packet_ms = self._clock.now_ms()
        flow.target_packet_ms = flow.last_packet_ms
        if packet.is_fin or packet.is_reset:
            flow.is_closing = True
            self._awaited.discard(packet.key)
        requested_ms = flow.requested_ms
        if not packet.size or requested_ms is None:
            return None
        self.end_request(flow)
        return flow.last_packet_ms - requested_ms

    def end_request(self, flow: AgentFlow) -> None:
        """Ends the request of a flow, if it has one, without an answer."""
        if flow.requested_ms is not None:
            flow.requested_ms = None
            self._meter.end()

    def sweep(self) -> int:
        """Removes expired flows, and times out unanswered requests.

        Returns:
            Number of requests that have timed out.
        """
        now_ms = self._clock.now_ms()
        unanswered = 0
        for key, flow in self.items():
            requested_ms = flow.requested_ms
            if (
                requested_ms is not None
                and now_ms - requested_ms > _REQUEST_TIMEOUT_MS
            ):
                self.end_request(flow)
                unanswered += 1
            if now_ms - flow.last_packet_ms > self._retention_ms(flow):
                self.remove(key)
        return unanswered

    def _retention_ms(self, flow: AgentFlow) -> int:
        if flow.is_closing:
            return CLOSED_MS
        if not flow.is_open and not flow.is_assumed:
            return _UNACCEPTED_MS
        return self._routes.table.idle_ms
