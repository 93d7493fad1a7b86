"""Messages that carry packets to agents, and their answers."""

from anvilthread.flows.message import Message


class Place(Message, frozen=True, tag=1):
    """A balancer asks an agent to accept a new flow.

    Attributes:
        packet: The opening packet as received from the client.
        service: Service that the balancer has chosen for the flow.
        version: Version of the configuration on which the choice is based.
    """

    packet: bytes
    service: str
    version: int


class Forward(Message, frozen=True, tag=2):
    """A packet of a flow whose holder, to the sender, is the receiver."""

    packet: bytes
    service: str


class Refused(Message, frozen=True, tag=8):
    """An agent returns the opening packet of a flow that it refuses.

    Attributes:
        packet: The opening packet.
        reason: Why the agent refuses, for the log.
        version: Version of the configuration in force at the agent.
    """

    packet: bytes
    reason: str
    version: int
