"""Base of the messages between nodes; each fits into one datagram."""

import msgspec


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True, gc=False):
    """Base of all messages."""
