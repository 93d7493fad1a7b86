"""Messages about the holder of a flow."""

from anvilthread.flows.message import Message


class Held(Message, frozen=True, tag=5):
    """The sender's target holds a flow of a service.

    Attributes:
        key: The flow.
        service: Service of the target.
        is_assumed: Whether the target has only kept a packet that it would
            have returned if it did not hold the flow. Otherwise it has sent a
            packet of the flow.
    """

    key: bytes
    service: str
    is_assumed: bool = False


class NotHeld(Message, frozen=True, tag=6):
    """The sender's target does not hold a flow.

    Attributes:
        key: The flow.
        packet: A packet of the flow that the target has returned, for its
            holder; empty if there is none.
    """

    key: bytes
    packet: bytes = b''


class Ask(Message, frozen=True, tag=13):
    """A balancer asks an agent whether its target holds a flow.

    Attributes:
        packet: A packet of the flow; the holder delivers it.
        may_offer: Whether an agent that does not know may offer the packet to
            its target.
    """

    packet: bytes
    may_offer: bool


class Locate(Message, frozen=True, tag=14):
    """A balancer asks an agent which of several flows its target holds."""

    keys: tuple[bytes, ...]


class Located(Message, frozen=True, tag=15):
    """The answer to :class:`Locate`, and to an :class:`Ask` without an offer.

    Attributes:
        service: Service of the target.
        held: Flows of which the target has sent a packet.
        denied: Flows that it does not hold.
        unknown: Flows of which the agent does not know it, because it has
            started later than its target and has seen no packet of theirs.
    """

    service: str
    held: tuple[bytes, ...]
    denied: tuple[bytes, ...]
    unknown: tuple[bytes, ...]
