"""An opening packet at the agent of a target."""

from anvilthread.flows.flow_key import FlowKey, client_of
from anvilthread.flows.traffic_class import TrafficClass


class QueuedOpening:
    """An opening packet that waits for the target, or is about to.

    Args:
        key: The flow.
        content: The packet.
        balancer: Host of the balancer that placed the flow.
        traffic: What the route requires of its requests.
        sent_ms: Time at which the client first sent the packet.
        arrived_ms: Time at which it arrived at the agent.
    """

    __slots__ = (
        'arrived_ms',
        'balancer',
        'client',
        'content',
        'key',
        'objective_ms',
        'priority',
        'sent_ms',
    )

    def __init__(
        self,
        *,
        key: FlowKey,
        content: bytes,
        balancer: str,
        traffic: TrafficClass,
        sent_ms: int,
        arrived_ms: int,
    ) -> None:
        self.key = key
        self.content = content
        self.balancer = balancer
        self.client = client_of(key)
        self.priority = traffic.priority
        self.objective_ms = traffic.objective_ms
        self.sent_ms = sent_ms
        self.arrived_ms = arrived_ms

    def is_late(self, now_ms: int, answer_ms: float) -> bool:
        """Whether a packet that is delivered now misses its objective.

        Args:
            now_ms: Current time.
            answer_ms: Time from the delivery to the answer of the request.
        """
        if not self.objective_ms:
            return False
        return now_ms - self.sent_ms + answer_ms > self.objective_ms
