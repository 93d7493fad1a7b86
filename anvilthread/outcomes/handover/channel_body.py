"""The body of a request that another agent has handed over."""

from typing import Final

from anvilthread.outcomes.handover.channel import Channel, ChannelLostError
from anvilthread.outcomes.handover.messages import Chunk
from anvilthread.outcomes.responder import ClientGoneError

_CHUNK_TIMEOUT_MS: Final = 60_000


class ChannelBody:
    """Reads a request body from a channel.

    Args:
        channel: Channel on which the chunks and the end arrive.
        length: Length of the body, if known.
    """

    __slots__ = ('_buffer', '_channel', '_ended', '_length')

    def __init__(self, *, channel: Channel, length: int | None) -> None:
        self._channel = channel
        self._length = length
        self._buffer = b''
        self._ended = length == 0

    @property
    def length(self) -> int | None:
        """Length in bytes, or None when it is not known in advance."""
        return self._length

    def read(self, limit: int) -> bytes:
        """Blocks for the next bytes; empty at the end.

        Raises:
            ClientGoneError: If the other agent cancels or is lost.
        """
        if not (self._buffer or self._ended):
            self._buffer = self._receive_chunk()
        part = self._buffer[:limit]
        self._buffer = self._buffer[limit:]
        return part

    def rewind(self) -> bool:
        """Only an empty body can be rewound, since chunks are not kept."""
        return self._length == 0

    def _receive_chunk(self) -> bytes:
        try:
            message = self._channel.get(_CHUNK_TIMEOUT_MS)
        except ChannelLostError as lost:
            raise _body_lost() from lost
        if isinstance(message, Chunk):
            return message.data
        if message is None or self._channel.cancelled.is_set():
            raise _body_lost()
        self._ended = True
        return b''


def _body_lost() -> ClientGoneError:
    return ClientGoneError(
        reason='the body of the request did not arrive',
        remedy='repeat the request',
    )
