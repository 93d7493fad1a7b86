"""Messages that carry packets to agents, and their answers."""

from anvilthread.flows.message import Message


class Place(Message, frozen=True, tag=1):
    """A balancer asks an agent to accept a new flow.

    Attributes:
        packet: The opening packet as received from the client.
        service: Service that the balancer has chosen for the flow.
        version: Version of the configuration on which the choice is based.
        waited_ms: Time since the client first sent the packet, as far as the
            balancer knows.
        max_wait_ms: Expected wait above which the agent refuses the flow; -1
            if it accepts every flow that can still be served.
    """

    packet: bytes
    service: str
    version: int
    waited_ms: int = 0
    max_wait_ms: int = -1


class Forward(Message, frozen=True, tag=2):
    """A packet of a flow whose holder, to the sender, is the receiver.

    Attributes:
        packet: The packet as received from the client.
        service: Service of the flow.
        is_resent: Whether it was sent before, to an earlier process of the
            receiver. Its request may have been answered.
    """

    packet: bytes
    service: str
    is_resent: bool = False


class Refused(Message, frozen=True, tag=8):
    """An agent returns the opening packet of a flow that it refuses.

    Attributes:
        packet: The opening packet.
        reason: Why the agent refuses, for the log.
        version: Version of the configuration in force at the agent.
        wait_ms: Expected wait for a new flow at the agent.
    """

    packet: bytes
    reason: str
    version: int
    wait_ms: int = 0


class Queued(Message, frozen=True, tag=16):
    """An agent holds an opening packet until its target has capacity.

    Attributes:
        key: The flow.
        wait_ms: Expected wait of the packet.
    """

    key: bytes
    wait_ms: int


class Withdraw(Message, frozen=True, tag=17):
    """A balancer has placed a flow elsewhere, or its client has left.

    Attributes:
        key: The flow whose opening packet the agent no longer holds.
    """

    key: bytes
