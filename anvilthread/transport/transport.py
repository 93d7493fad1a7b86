"""Interface of the transports between nodes."""

from typing import Final, Protocol

from anvilthread.address import Address
from anvilthread.transport.received import Received

#: Largest datagram, tag included; common network paths do not fragment it.
MAX_DATAGRAM_BYTES: Final = 1200


class Transport(Protocol):
    """Unreliable, unordered exchange of whole messages between nodes.

    Messages may be lost, delayed, duplicated and reordered; a message that
    arrives is intact and was sent by a node that holds the keys of the
    cluster.
    """

    @property
    def address(self) -> Address:
        """Address at which this node receives."""

    def send(self, address: Address, payload: bytes) -> None:
        """Sends without blocking; a message that cannot be sent is lost."""

    def receive(self) -> Received:
        """Blocks the calling task until a message arrives."""

    def close(self) -> None:
        """Releases the sockets; tasks blocked in receive do not resume."""
