"""Messages about the holder of a flow."""

from anvilthread.flows.message import Message


class Find(Message, frozen=True, tag=3):
    """A balancer asks an agent to search for the holder of a flow.

    Attributes:
        packet: A packet of the flow, delivered once the holder is found.
        service: Service of the flow.
        agents: Number of agents of the service that the balancer knows.
    """

    packet: bytes
    service: str
    agents: int


class Ask(Message, frozen=True, tag=4):
    """An agent asks another agent whether its target holds a flow.

    Attributes:
        packet: A packet of the flow; the holder delivers it.
        service: Service of the flow.
        balancer: Host of the balancer that requested the search.
    """

    packet: bytes
    service: str
    balancer: str


class Held(Message, frozen=True, tag=5):
    """The sender's target holds a flow of a service."""

    key: bytes
    service: str


class NotHeld(Message, frozen=True, tag=6):
    """The sender's target does not hold a flow."""

    key: bytes


class Absent(Message, frozen=True, tag=7):
    """No target of the service holds a flow.

    Attributes:
        key: The flow.
        acknowledged: Last stream position that the client has acknowledged.
    """

    key: bytes
    acknowledged: int
