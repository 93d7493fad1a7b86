"""Checks that agents still have the opening packets that they have queued."""

from collections import deque
from collections.abc import Callable
from typing import Final

from anvilthread.clock import Clock
from anvilthread.flows.balancer_flow import BalancerFlow
from anvilthread.flows.balancer_flow_table import BalancerFlowTable
from anvilthread.flows.flow_key import FlowKey
from anvilthread.flows.flow_network import FlowNetwork
from anvilthread.flows.opening_attempts import OpeningAttempts
from anvilthread.flows.packet_messages import Queued, Withdraw

#: Time after which the agent that has queued a packet is asked whether it
#: still has it. The client's copies, at 200 and 600 ms, ask as well.
_CHECK_INTERVAL_MS: Final = 300


class QueuedChecks:
    """Follows the flows of a balancer whose opening packets wait at agents.

    Args:
        clock: Source of time.
        network: Sends messages.
        flows: Flows of the balancer.
        resend: Sends the packet of a flow to its agent once more, and counts
            the agent as down if it does not answer.
    """

    __slots__ = ('_checks', '_clock', '_flows', '_network', '_resend')

    def __init__(
        self,
        *,
        clock: Clock,
        network: FlowNetwork,
        flows: BalancerFlowTable,
        resend: Callable[[BalancerFlow], None],
    ) -> None:
        self._clock = clock
        self._network = network
        self._flows = flows
        self._resend = resend
        self._checks: deque[tuple[int, FlowKey]] = deque()

    def on_queued(self, host: str, message: Queued) -> None:
        """Records that an agent has queued an opening packet."""
        key = FlowKey(message.key)
        flow = self._flows.get(key)
        if flow is None or flow.agent != host:
            # The flow has been placed elsewhere, or its client has left.
            self._network.send_to_node(host, Withdraw(key=key))
            return
        if flow.is_confirmed or not flow.opening_packet:
            return
        if flow.attempts is None:
            # The agent knows a newer configuration than this balancer.
            flow.attempts = OpeningAttempts(now_ms=flow.placed_ms, copies=0)
        attempts = flow.attempts
        attempts.queued_at = host
        if not attempts.is_queued:
            attempts.is_queued = True
            attempts.due_ms = self._clock.now_ms() + _CHECK_INTERVAL_MS
            self._checks.append((attempts.due_ms, key))

    def on_held(self, host: str, flow: BalancerFlow) -> None:
        """Withdraws the packet of a flow that another agent has opened."""
        attempts = flow.attempts
        if attempts is not None:
            if attempts.queued_at == host:
                attempts.leave()
            self.withdraw(flow)
            flow.attempts = None

    def withdraw(self, flow: BalancerFlow) -> None:
        """Withdraws the packet of a flow from the agent that has queued it."""
        attempts = flow.attempts
        if attempts is not None and attempts.queued_at:
            host = attempts.queued_at
            attempts.leave()
            self._network.send_to_node(host, Withdraw(key=flow.key))

    def tick(self) -> None:
        """Asks the agents of the packets whose check is due."""
        now_ms = self._clock.now_ms()
        while self._checks and self._checks[0][0] <= now_ms:
            flow = self._flows.get(self._checks.popleft()[1])
            if flow is None or flow.attempts is None:
                continue
            if flow.attempts.is_queued and flow.attempts.due_ms <= now_ms:
                flow.attempts.is_queued = False
                self._resend(flow)
