"""A transport of one process that can be paused."""

from anvilthread.address import Address
from anvilthread.transport import Received, Transport
from standins.pausable_clock import PausableClock


class PausableTransport:
    """Delays received messages while its process is paused.

    Args:
        transport: Underlying transport.
        clock: Clock of the process.
    """

    def __init__(self, transport: Transport, clock: PausableClock) -> None:
        self._transport = transport
        self._clock = clock
        self.bytes_sent = 0
        self.largest_message_bytes = 0

    @property
    def address(self) -> Address:
        """Address at which this node receives."""
        return self._transport.address

    def send(self, address: Address, payload: bytes) -> None:
        """Sends a message and counts its bytes."""
        self.bytes_sent += len(payload)
        self.largest_message_bytes = max(
            self.largest_message_bytes, len(payload)
        )
        self._transport.send(address, payload)

    def receive(self) -> Received:
        """Blocks until a message arrives and the process runs."""
        received = self._transport.receive()
        self._clock.wait_until_resumed()
        return received

    def close(self) -> None:
        """Detaches this node from the network."""
        self._transport.close()
