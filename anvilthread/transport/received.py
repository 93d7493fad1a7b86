"""A received message."""

from anvilthread.address import Address


class Received:
    """One message and the address of its sender.

    Args:
        sender: Address at which the sender can be answered.
        payload: The message, authenticated by the transport.
    """

    __slots__ = ('_payload', '_sender')

    def __init__(self, *, sender: Address, payload: bytes) -> None:
        self._sender = sender
        self._payload = payload

    @property
    def sender(self) -> Address:
        """Address at which the sender can be answered."""
        return self._sender

    @property
    def payload(self) -> bytes:
        """The message."""
        return self._payload
