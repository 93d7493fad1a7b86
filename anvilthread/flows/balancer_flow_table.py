"""The flows that a balancer remembers."""

from typing import Final

from anvilthread.clock import Clock
from anvilthread.flows.balancer_flow import BalancerFlow
from anvilthread.flows.flow_key import FlowKey
from anvilthread.flows.flow_times import CLOSED_MS
from anvilthread.flows.route_holder import RouteHolder

#: Flows whose age is checked at a time, so that packets do not wait.
_SWEEP: Final = 200

#: Time between the begins of two checks of all flows; flows are kept for
#: seconds after their last packet.
_SWEEP_MS: Final = 1000


class BalancerFlowTable:
    """Flows by key, until they are closed or idle for too long.

    Args:
        clock: Source of time.
        routes: Configuration in force, for the idle time of flows.
    """

    __slots__ = ('_clock', '_flows', '_routes', '_sweep', '_swept_ms')

    def __init__(self, *, clock: Clock, routes: RouteHolder) -> None:
        self._clock = clock
        self._routes = routes
        self._flows: dict[FlowKey, BalancerFlow] = {}
        self._sweep: list[FlowKey] = []
        self._swept_ms = clock.now_ms()

    def __len__(self) -> int:
        return len(self._flows)

    def get(self, key: FlowKey) -> BalancerFlow | None:
        """Returns a flow."""
        return self._flows.get(key)

    def add(self, key: FlowKey, agent: str, service: str) -> BalancerFlow:
        """Begins a flow, in place of an earlier one with the same key.

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
        """Forgets a flow, if it is known."""
        self._flows.pop(key, None)

    def sweep(self) -> None:
        """Forgets some of the flows that are over."""
        now_ms = self._clock.now_ms()
        if not self._sweep and now_ms - self._swept_ms >= _SWEEP_MS:
            self._swept_ms = now_ms
            self._sweep = list(self._flows)
        for _ in range(min(_SWEEP, len(self._sweep))):
            key = self._sweep.pop()
            flow = self._flows.get(key)
            if flow is not None and self._is_over(flow, now_ms):
                self._flows.pop(key)

    def _is_over(self, flow: BalancerFlow, now_ms: int) -> bool:
        idle_ms = now_ms - flow.used_ms
        if flow.is_closing:
            return idle_ms > CLOSED_MS
        return idle_ms > self._routes.table.idle_ms
