"""The flows known to a balancer."""

from typing import Final

from anvilthread.clock import Clock
from anvilthread.flows.balancer_flow import BalancerFlow
from anvilthread.flows.flow_key import FlowKey
from anvilthread.flows.flow_times import CLOSED_MS
from anvilthread.flows.route_holder import RouteHolder

#: Flows whose age is checked per call, to limit the delay of packets.
_SWEEP_BATCH: Final = 200

#: Time between the starts of two sweeps over all flows. Short against the
#: retention of flows, which is seconds after their last packet.
_SWEEP_INTERVAL_MS: Final = 1000


class BalancerFlowTable:
    """Flows by key, until they are closed or reach the idle timeout.

    Args:
        clock: Source of time.
        routes: Configuration in force, for the idle timeout of flows.
    """

    __slots__ = (
        '_clock',
        '_flows',
        '_routes',
        '_unswept_keys',
        '_sweep_started_ms',
    )

    def __init__(self, *, clock: Clock, routes: RouteHolder) -> None:
        self._clock = clock
        self._routes = routes
        self._flows: dict[FlowKey, BalancerFlow] = {}
        self._unswept_keys: list[FlowKey] = []
        self._sweep_started_ms = clock.now_ms()

    def __len__(self) -> int:
        return len(self._flows)

    def get(self, key: FlowKey) -> BalancerFlow | None:
        """Returns a flow; None if it is unknown."""
        return self._flows.get(key)

    def of_agent(self, host: str) -> list[BalancerFlow]:
        """Returns the flows of an agent."""
        return [flow for flow in self._flows.values() if flow.agent == host]

    def add(self, key: FlowKey, agent: str, service: str) -> BalancerFlow:
        """Adds a flow; replaces an earlier one with the same key.

        Args:
            key: The flow.
            agent: Host of its agent; empty if none is chosen yet.
            service: Service of the flow.
        """
        flow = BalancerFlow(
            key=key,
            agent=agent,
            service=service,
            now_ms=self._clock.now_ms(),
        )
        self._flows[key] = flow
        return flow

    def remove(self, key: FlowKey) -> None:
        """Removes a flow, if it is known."""
        self._flows.pop(key, None)

    def sweep(self) -> None:
        """Removes expired flows of the next batch."""
        now_ms = self._clock.now_ms()
        if (
            not self._unswept_keys
            and now_ms - self._sweep_started_ms >= _SWEEP_INTERVAL_MS
        ):
            self._sweep_started_ms = now_ms
            self._unswept_keys = list(self._flows)
        for _ in range(min(_SWEEP_BATCH, len(self._unswept_keys))):
            key = self._unswept_keys.pop()
            flow = self._flows.get(key)
            if flow is not None and self._is_expired(flow, now_ms):
                self._flows.pop(key)

    def _is_expired(self, flow: BalancerFlow, now_ms: int) -> bool:
        idle_ms = now_ms - flow.last_packet_ms
        if flow.is_closing:
            return idle_ms > CLOSED_MS
        return idle_ms > self._routes.table.idle_ms
