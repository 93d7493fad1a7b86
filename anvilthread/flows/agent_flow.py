"""What an agent remembers of one flow."""


class AgentFlow:
    """State of a flow at the agent beside its target.

    Args:
        balancer: Host of the balancer that brought the flow; empty for a flow
            learned from the target.
        now_ms: Time of the first packet.
    """

    __slots__ = (
        'acknowledged',
        'balancer',
        'is_closing',
        'is_open',
        'request_id',
        'requested_ms',
        'requests',
        'used_ms',
    )

    def __init__(self, *, balancer: str, now_ms: int) -> None:
        self.balancer = balancer
        self.used_ms = now_ms
        #: Whether the target has accepted the flow.
        self.is_open = False
        #: Whether one end has sent its last byte.
        self.is_closing = False
        #: Arrival of a request that the target has not begun to answer.
        self.requested_ms: int | None = None
        #: Id of the last request, for logs.
        self.request_id = ''
        #: Requests so far.
        self.requests = 0
        #: Last position that the client has acknowledged.
        self.acknowledged = 0
