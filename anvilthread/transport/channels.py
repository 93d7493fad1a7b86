"""Channels multiplexed over one transport."""

from typing import Final

import gevent

from anvilthread.transport.channel import Channel
from anvilthread.transport.channel_name import ChannelName
from anvilthread.transport.received import Received
from anvilthread.transport.transport import Transport

_QUEUE_LIMIT_MESSAGES: Final = 1024


class Channels:
    """Demultiplexes the messages of one transport by their first byte.

    Args:
        transport: Transport to share; nothing else may receive from it.
        queue_limit: Maximum number of queued messages per channel.
    """

    __slots__ = ('_channels', '_malformed_count', '_task', '_transport')

    def __init__(
        self, *, transport: Transport, queue_limit: int = _QUEUE_LIMIT_MESSAGES
    ) -> None:
        self._transport = transport
        self._malformed_count = 0
        self._channels = {
            int(name): Channel(
                name=name, transport=transport, queue_limit=queue_limit
            )
            for name in ChannelName
        }
        self._task = gevent.spawn(self._receive_all)

    @property
    def malformed_count(self) -> int:
        """Number of messages dropped because their channel is unknown."""
        return self._malformed_count

    def channel(self, name: ChannelName) -> Channel:
        """Returns the channel of one component."""
        return self._channels[name]

    def close(self) -> None:
        """Stops receiving and closes the shared transport."""
        self._task.kill()
        self._transport.close()

    def _receive_all(self) -> None:
        while True:
            self._dispatch(self._transport.receive())

    def _dispatch(self, received: Received) -> None:
        prefix, payload = received.payload[:1], received.payload[1:]
        channel = self._channels.get(int.from_bytes(prefix, 'big'))
        if channel is None:
            self._malformed_count += 1
        else:
            channel.accept(Received(sender=received.sender, payload=payload))
