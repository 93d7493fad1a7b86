"""Messages that carry packets to agents, and their answers."""

from anvilthread.flows.message import Message


class Place(Message, frozen=True, tag=1):
    """A balancer asks an agent to take a new flow.

    Attributes:
        packet: The opening packet as the client has sent it.
        service: Service for which the balancer has placed the flow.
        version: Version of the configuration behind the choice.
    """

    packet: bytes
    service: str
    version: int


class Forward(Message, frozen=True, tag=2):
    """A packet of a flow that the receiver is said to hold."""

    packet: bytes
    service: str


class Refused(Message, frozen=True, tag=8):
    """An agent returns the opening packet of a flow that it does not take.

    Attributes:
        packet: The opening packet.
        reason: Why the agent refuses, for the log.
        version: Version of the configuration in force at the agent.
    """

    packet: bytes
    reason: str
    version: int
