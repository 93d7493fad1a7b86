"""Flows that a target has lost."""

from typing import Final

from anvilthread.clock import Clock
from anvilthread.flows.agent_flow import AgentFlow
from anvilthread.flows.agent_flow_table import AgentFlowTable
from anvilthread.flows.flow_counters import FlowCounters
from anvilthread.flows.flow_key import FlowKey, flow_name
from anvilthread.flows.flow_network import FlowNetwork
from anvilthread.flows.flow_packet_codec import FlowPacketCodec
from anvilthread.flows.search_messages import NotHeld
from anvilthread.telemetry.log import Log

#: Time for the last packets of a target that has stopped to arrive. They are
#: sent by a process on the same VM before its notice.
_LAST_ANSWERS_MS: Final = 100


class LostFlows:
    """Removes the flows of a target that has ended, and resets its clients.

    Only a flow of which the target has sent a packet is reset. One that the
    target was only assumed to hold may be open elsewhere, so it is left to its
    balancer.

    Args:
        clock: Source of time.
        network: Sends messages and packets.
        codec: Codec of the packets.
        flows: Known flows of the target.
        log: Receives one line per reset.
        counters: Counts of resets.
    """

    __slots__ = (
        '_clock',
        '_codec',
        '_counters',
        '_due_ms',
        '_flows',
        '_log',
        '_network',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        network: FlowNetwork,
        codec: FlowPacketCodec,
        flows: AgentFlowTable,
        log: Log,
        counters: FlowCounters,
    ) -> None:
        self._clock = clock
        self._network = network
        self._codec = codec
        self._flows = flows
        self._log = log
        self._counters = counters
        #: Time at which the remaining flows of a stopped target are reset.
        self._due_ms: int | None = None

    def reset(self, reason: str) -> None:
        """Removes all flows, and cancels resets that are due later.

        Args:
            reason: Reason for the log.
        """
        self._due_ms = None
        for key, flow in self._flows.items():
            self._remove(key, flow, reason)

    def reset_earlier(self, before_ms: int) -> None:
        """Removes the flows of an incarnation of the target that has ended.

        Args:
            before_ms: Time from which flows with a packet belong to the next
                incarnation.
        """
        self._due_ms = None
        for key, flow in self._flows.items():
            last_ms = flow.target_packet_ms
            if last_ms is None:
                last_ms = flow.last_packet_ms
            if last_ms < before_ms:
                self._remove(key, flow, 'target_restarted')

    def reset_stopped(self) -> None:
        """Removes the flows of a target that has stopped with notice.

        The notice may overtake the last packets of the target, so flows whose
        request it has not answered are removed a little later.
        """
        for key, flow in self._flows.items():
            if flow.requested_ms is None:
                self._remove(key, flow, 'target_stopped')
        self._due_ms = self._clock.now_ms() + _LAST_ANSWERS_MS

    def tick(self) -> None:
        """Removes the remaining flows of a stopped target when they are due."""
        if self._due_ms is not None and self._clock.now_ms() >= self._due_ms:
            self.reset('target_stopped')

    def _remove(self, key: FlowKey, flow: AgentFlow, reason: str) -> None:
        self._flows.remove(key)
        if flow.is_closing:
            return
        if flow.is_open:
            content = self._codec.reset(key, flow.acknowledged)
            self._network.send_to_client(key, content)
            self._counters.add('flow_reset')
            self._log.event('flow_reset', flow=flow_name(key), reason=reason)
        elif flow.is_assumed and flow.balancer:
            self._network.send_to_node(flow.balancer, NotHeld(key=key))
