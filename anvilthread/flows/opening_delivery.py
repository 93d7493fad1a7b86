"""Delivery of opening packets to the target."""

from anvilthread.clock import Clock
from anvilthread.flows.agent_condition import AgentCondition
from anvilthread.flows.agent_flow_table import AgentFlowTable
from anvilthread.flows.flow_counters import FlowCounters
from anvilthread.flows.flow_key import FlowKey, flow_name
from anvilthread.flows.flow_network import FlowNetwork
from anvilthread.flows.latency_buckets import LatencyBuckets
from anvilthread.flows.opening_limit import OpeningLimit
from anvilthread.flows.queued_opening import QueuedOpening
from anvilthread.telemetry.log import Log


class OpeningDelivery:
    """Hands opening packets to the target, and measures their wait.

    Args:
        clock: Source of time.
        network: Sends packets to the target.
        flows: Flows of the target.
        condition: Checks that the target answers.
        opening_limit: Counts the packets that the target receives; None for
            no limit.
        log: Receives one line per packet that has waited.
        counters: Counts of these packets.
    """

    __slots__ = (
        '_clock',
        '_condition',
        '_counters',
        '_flows',
        '_log',
        '_network',
        '_opening_limit',
        '_waits',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        network: FlowNetwork,
        flows: AgentFlowTable,
        condition: AgentCondition,
        opening_limit: OpeningLimit | None,
        log: Log,
        counters: FlowCounters,
    ) -> None:
        self._clock = clock
        self._network = network
        self._flows = flows
        self._condition = condition
        self._opening_limit = opening_limit
        self._log = log
        self._counters = counters
        self._waits = LatencyBuckets()

    @property
    def waits(self) -> LatencyBuckets:
        """Times that packets have waited here for the target, in ms."""
        return self._waits

    def deliver(self, key: FlowKey, content: bytes, balancer: str) -> None:
        """Delivers the packet of a new flow."""
        self._flows.add(key, balancer)
        self._condition.record_opening(key)
        self.send(content)

    def deliver_ordered(self, opening: QueuedOpening) -> None:
        """Delivers a packet that need not wait."""
        self._waits.observe(0)
        self.deliver(opening.key, opening.content, opening.balancer)

    def deliver_queued(self, opening: QueuedOpening, waiting: int) -> None:
        """Delivers a packet that has waited.

        Args:
            opening: The packet.
            waiting: Number of packets that still wait.
        """
        waited_ms = self._clock.now_ms() - opening.arrived_ms
        self._waits.observe(waited_ms)
        self._counters.add('opening_delivered')
        self._log.event(
            'opening_delivered',
            flow=flow_name(opening.key),
            priority=opening.priority,
            waited_ms=waited_ms,
            waiting=waiting,
        )
        self.deliver(opening.key, opening.content, opening.balancer)

    def send(self, content: bytes) -> None:
        """Sends an opening packet, or a copy of one, to the target."""
        if self._opening_limit is not None:
            self._opening_limit.record()
        self._network.send_to_target(content)
