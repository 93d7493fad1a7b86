"""Refusals of flows of ordered services, as a balancer records them."""

from typing import Final

from anvilthread.flows.balancer_flow import BalancerFlow
from anvilthread.flows.fleet_view import FleetView
from anvilthread.flows.flow_counters import FlowCounters
from anvilthread.flows.flow_key import flow_name
from anvilthread.flows.opening_attempts import OpeningAttempts
from anvilthread.flows.packet_messages import Refused
from anvilthread.telemetry.log import Log

#: Longest wait that an agent can name; clients give up long before.
_MAX_WAIT_MS: Final = 60_000

#: Reasons of refusals that come with the expected wait at the agent.
_WAIT_REASONS: Final = frozenset(('busy', 'no_room'))


class RefusalRecorder:
    """Records which agents have refused a flow, and the waits they name.

    Args:
        fleet: What is known of the agents.
        log: Receives one line per wait that is ignored.
        counters: Counts of these waits.
    """

    __slots__ = ('_counters', '_fleet', '_log')

    def __init__(
        self, *, fleet: FleetView, log: Log, counters: FlowCounters
    ) -> None:
        self._fleet = fleet
        self._log = log
        self._counters = counters

    def record(
        self, flow: BalancerFlow, attempts: OpeningAttempts, message: Refused
    ) -> bool:
        """Records that the agent of a flow has refused it.

        Returns:
            Whether another agent may be asked.
        """
        attempts.leave()
        if message.reason in _WAIT_REASONS:
            self._correct_wait(flow, message.wait_ms)
        if message.reason == 'no_room' and attempts.is_final:
            return False
        if message.reason == 'busy' and not attempts.is_final:
            attempts.record_busy(flow.agent, message.wait_ms)
        else:
            attempts.exclude(flow.agent)
        return True

    def _correct_wait(self, flow: BalancerFlow, wait_ms: int) -> None:
        """Corrects the known wait at the agent of a flow."""
        node = self._fleet.agent(flow.agent)
        if not 0 <= wait_ms <= _MAX_WAIT_MS:
            self._counters.add('wait_ignored')
            self._log.event(
                'wait_ignored',
                flow=flow_name(flow.key),
                agent=flow.agent,
                wait_ms=wait_ms,
            )
        elif node is not None:
            node.correct_wait(wait_ms)
