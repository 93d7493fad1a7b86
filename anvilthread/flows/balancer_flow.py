"""State of one flow at a balancer."""

from anvilthread.flows.flow_key import FlowKey
from anvilthread.flows.opening_attempts import OpeningAttempts


class BalancerFlow:
    """The agent of a flow and the state of its placement.

    Args:
        key: The flow.
        agent: Host of the agent.
        service: Service of the flow.
        now_ms: Time of the first packet.
    """

    __slots__ = (
        'agent',
        'attempts',
        'is_closing',
        'is_confirmed',
        'key',
        'last_data',
        'last_data_ms',
        'last_packet_ms',
        'opening_packet',
        'placed_ms',
        'service',
        'tried',
    )

    def __init__(
        self, *, key: FlowKey, agent: str, service: str, now_ms: int
    ) -> None:
        self.key = key
        #: Host of the agent that holds the flow or was asked to accept it.
        self.agent = agent
        self.service = service
        #: Whether the agent has confirmed that its target holds the flow. If
        #: not, and there is no opening packet, the agent only assumes it.
        self.is_confirmed = False
        #: Whether the client has closed or reset the flow.
        self.is_closing = False
        #: Opening packet while the flow is not confirmed; empty otherwise.
        self.opening_packet = b''
        #: Hosts of agents that have refused the flow or not answered.
        self.tried: set[str] = set()
        #: Attempts to place it, where its service orders by priority.
        self.attempts: OpeningAttempts | None = None
        #: Last packet of the client with data, and its time, to be sent again
        #: if the agent restarts.
        self.last_data = b''
        self.last_data_ms = now_ms
        self.placed_ms = now_ms
        self.last_packet_ms = now_ms

    def may_be_held_by(self, host: str, *, is_assumed: bool) -> bool:
        """Whether another agent's claim to the flow is valid.

        Args:
            host: Host of the other agent.
            is_assumed: Whether it only assumes that its target holds the flow.
        """
        if self.is_confirmed:
            return False
        if self.opening_packet:
            return host in self.tried
        return not is_assumed
