"""State of one flow at an agent."""


class AgentFlow:
    """State of a flow at the agent of its target.

    Args:
        balancer: Host of the balancer that forwards the flow; empty for a
            flow first seen in a packet from the target.
        now_ms: Time of the first packet.
    """

    __slots__ = (
        'acknowledged',
        'balancer',
        'is_assumed',
        'is_closing',
        'is_open',
        'last_packet_ms',
        'request_id',
        'requested_ms',
        'requests',
        'target_packet_ms',
        'working',
    )

    def __init__(self, *, balancer: str, now_ms: int) -> None:
        self.balancer = balancer
        self.last_packet_ms = now_ms
        #: Whether the target has sent a packet of the flow, which proves that
        #: it has accepted it.
        self.is_open = False
        #: Time of the last packet from the target; None before the first.
        self.target_packet_ms: int | None = None
        #: Whether the target has kept an offered packet, without proof.
        self.is_assumed = False
        #: Whether one end has closed or reset the flow.
        self.is_closing = False
        #: Arrival of the request that the target has not begun to answer.
        self.requested_ms: int | None = None
        #: Id of the last request, for logs.
        self.request_id = ''
        #: Number of requests so far.
        self.requests = 0
        #: Requests at the target when the last one began, itself included.
        self.working = 0
        #: Last stream position that the client has acknowledged.
        self.acknowledged = 0
