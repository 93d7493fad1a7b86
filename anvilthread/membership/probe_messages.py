"""Messages of the failure detector, and gossip."""

from anvilthread.membership.wire import Message, Number, PackedAddress


class Ping(Message, frozen=True, kw_only=True, array_like=True, tag=1):
    """Asks the receiver for an :class:`Ack`."""

    sequence: Number


class Ack(Message, frozen=True, kw_only=True, array_like=True, tag=2):
    """Answers a :class:`Ping`."""

    sequence: Number


class IndirectPing(Message, frozen=True, kw_only=True, array_like=True, tag=3):
    """Asks the receiver to ping another member."""

    sequence: Number
    target: PackedAddress


class IndirectAck(Message, frozen=True, kw_only=True, array_like=True, tag=4):
    """Answers an :class:`IndirectPing`, whether or not the target was reached."""

    sequence: Number
    reached: bool


class Gossip(Message, frozen=True, kw_only=True, array_like=True, tag=5):
    """Carries changes only."""
