"""A channel multiplexed over a shared transport."""

from gevent.queue import Full, Queue

from anvilthread.address import Address
from anvilthread.transport.channel_name import ChannelName
from anvilthread.transport.received import Received
from anvilthread.transport.transport import Transport


class Channel:
    """A transport for the messages of one component.

    Args:
        name: Name of the channel; its number prefixes every message.
        transport: Shared transport.
        queue_limit: Maximum number of received messages that are queued; more
            are dropped, so that a slow component does not block the other
            channels.
    """

    __slots__ = ('_inbox', '_lost_count', '_prefix', '_transport')

    def __init__(
        self, *, name: ChannelName, transport: Transport, queue_limit: int
    ) -> None:
        self._prefix = bytes((name,))
        self._transport = transport
        self._inbox: Queue[Received] = Queue(maxsize=queue_limit)
        self._lost_count = 0

    @property
    def address(self) -> Address:
        """Address at which this node receives."""
        return self._transport.address

    @property
    def lost_count(self) -> int:
        """Number of messages dropped because the queue was full."""
        return self._lost_count

    def send(self, address: Address, payload: bytes) -> None:
        """Sends without blocking; a message that cannot be sent is lost."""
        self._transport.send(address, self._prefix + payload)

    def receive(self) -> Received:
        """Blocks the calling task until a message arrives."""
        return self._inbox.get()

    def accept(self, received: Received) -> None:
        """Queues a message whose prefix has been removed."""
        try:
            self._inbox.put_nowait(received)
        except Full:
            self._lost_count += 1

    def close(self) -> None:
        """Drops queued messages; the shared transport stays open."""
        while not self._inbox.empty():
            self._inbox.get_nowait()
