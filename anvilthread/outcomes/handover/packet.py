"""The packet format of handovers."""

import msgspec

from anvilthread.outcomes.handover.messages import AnyMessage


class Packet(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One message or acknowledgement, bound to its handover.

    Args:
        offering: Whether the sender is the offering agent.
        incarnation: Incarnation of the offering agent.
        number: Number of the handover within that incarnation.
        token: Chosen by the other agent when it receives the offer, and 0
            until the offering agent knows it. It is never reused, so that a
            late duplicate of a message cannot act on a newer reservation.
        ack: Sequence number of the next message that the sender expects.
        credit: First sequence number that the sender does not accept yet.
        seq: Sequence number of the message; None without a message.
        message: The message.
        gone: Whether the sender does not know this handover.
    """

    offering: bool
    incarnation: int
    number: int
    token: int
    ack: int = 0
    credit: int = 0
    seq: int | None = None
    message: AnyMessage | None = None
    gone: bool = False
