"""The flows of one target."""

from typing import Final

from anvilthread.clock import Clock
from anvilthread.flows.agent_flow import AgentFlow
from anvilthread.flows.flow_key import FlowKey
from anvilthread.flows.flow_times import CLOSED_MS
from anvilthread.flows.flow_packet import FlowPacket
from anvilthread.flows.route_holder import RouteHolder
from anvilthread.flows.work_meter import WorkMeter

#: Time for which a new flow without a request counts as work to come: the
#: request follows within a round trip to the client.
_OPENING_MS: Final = 40

#: A flow that the target has not accepted is forgotten after the client has
#: given up its attempt.
_ATTEMPT_MS: Final = 1500

#: A request without an answer for this long no longer counts as work: its
#: client has given up (deadlines are at most 13 s, mostly about 1 s).
_STALE_MS: Final = 3000


class AgentFlowTable:
    """Flows by key, and the requests on them that wait for an answer.

    Args:
        clock: Source of time.
        routes: Configuration in force, for the idle time of flows.
    """

    __slots__ = ('_clock', '_flows', '_meter', '_routes')

    def __init__(self, *, clock: Clock, routes: RouteHolder) -> None:
        self._clock = clock
        self._routes = routes
        self._meter = WorkMeter(clock=clock)
        self._flows: dict[FlowKey, AgentFlow] = {}

    def __len__(self) -> int:
        return len(self._flows)

    @property
    def meter(self) -> WorkMeter:
        """Requests that the target has not begun to answer."""
        return self._meter

    @property
    def long_flows(self) -> int:
        """Flows that have carried more than one request."""
        return sum(flow.requests > 1 for flow in self._flows.values())

    @property
    def opening(self) -> int:
        """New flows whose first request is still on its way."""
        now_ms = self._clock.now_ms()
        return sum(
            flow.requests == 0 and now_ms - flow.used_ms < _OPENING_MS
            for flow in self._flows.values()
        )

    def get(self, key: FlowKey) -> AgentFlow | None:
        """Returns a flow."""
        return self._flows.get(key)

    def items(self) -> list[tuple[FlowKey, AgentFlow]]:
        """Returns all flows."""
        return list(self._flows.items())

    def add(self, key: FlowKey, balancer: str) -> AgentFlow:
        """Begins a flow, in place of an earlier one with the same key."""
        self.remove(key)
        flow = AgentFlow(balancer=balancer, now_ms=self._clock.now_ms())
        self._flows[key] = flow
        return flow

    def remove(self, key: FlowKey) -> None:
        """Forgets a flow."""
        flow = self._flows.pop(key, None)
        if flow is not None:
            self._end_request(flow)

    def note_client(self, packet: FlowPacket, flow: AgentFlow) -> bool:
        """Notes a packet from the client; returns whether a request begins."""
        flow.used_ms = self._clock.now_ms()
        flow.acknowledged = packet.acknowledged
        if packet.is_fin or packet.is_reset:
            flow.is_closing = True
        if not packet.size or flow.requested_ms is not None:
            return False
        flow.requested_ms = flow.used_ms
        flow.requests += 1
        self._meter.begin()
        return True

    def note_target(self, packet: FlowPacket, flow: AgentFlow) -> int | None:
        """Notes a packet from the target.

        Returns:
            Time from the request to its answer in ms, if the answer begins.
        """
        flow.used_ms = self._clock.now_ms()
        if packet.is_fin or packet.is_reset:
            flow.is_closing = True
        requested_ms = flow.requested_ms
        if not packet.size or requested_ms is None:
            return None
        self._end_request(flow)
        return flow.used_ms - requested_ms

    def sweep(self) -> int:
        """Forgets flows that are over, and requests without an answer.

        Returns:
            How many requests have waited in vain.
        """
        now_ms = self._clock.now_ms()
        unanswered = 0
        for key, flow in self.items():
            requested_ms = flow.requested_ms
            if requested_ms is not None and now_ms - requested_ms > _STALE_MS:
                self._end_request(flow)
                unanswered += 1
            if now_ms - flow.used_ms > self._kept_ms(flow):
                self.remove(key)
        return unanswered

    def _end_request(self, flow: AgentFlow) -> None:
        if flow.requested_ms is not None:
            flow.requested_ms = None
            self._meter.end()

    def _kept_ms(self, flow: AgentFlow) -> int:
        if flow.is_closing:
            return CLOSED_MS
        if not flow.is_open:
            return _ATTEMPT_MS
        return self._routes.table.idle_ms
