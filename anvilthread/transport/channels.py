"""Several channels over one transport."""

from typing import Final

import gevent

from anvilthread.transport.channel import Channel
from anvilthread.transport.channel_name import ChannelName
from anvilthread.transport.received import Received
from anvilthread.transport.transport import Transport

_QUEUE_LIMIT: Final = 1024


class Channels:
    """Sorts the messages of one transport by their first byte.

    Args:
        transport: Transport to share; nothing else may receive from it.
        queue_limit: Most messages that wait in each channel.
    """

    __slots__ = ('_channels', '_malformed', '_task', '_transport')

    def __init__(
        self, *, transport: Transport, queue_limit: int = _QUEUE_LIMIT
    ) -> None:
        self._transport = transport
        self._malformed = 0
        self._channels = {
            int(name): Channel(
                name=name, transport=transport, queue_limit=queue_limit
            )
            for name in ChannelName
        }
        self._task = gevent.spawn(self._read)

    @property
    def malformed_count(self) -> int:
        """Number of messages that named no known channel."""
        return self._malformed

    def channel(self, name: ChannelName) -> Channel:
        """Returns the transport of one component."""
        return self._channels[name]

    def close(self) -> None:
        """Closes the shared transport and ends every channel."""
        self._task.kill()
        self._transport.close()

    def _read(self) -> None:
        while True:
            self._sort(self._transport.receive())

    def _sort(self, received: Received) -> None:
        prefix, payload = received.payload[:1], received.payload[1:]
        channel = self._channels.get(int.from_bytes(prefix, 'big'))
        if channel is None:
            self._malformed += 1
        else:
            channel.accept(Received(sender=received.sender, payload=payload))
