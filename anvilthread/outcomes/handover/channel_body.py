"""The body of a request that another agent has handed over."""

from typing import Final

from anvilthread.outcomes.handover.channel import Channel, ChannelLostError
from anvilthread.outcomes.handover.messages import Chunk
from anvilthread.outcomes.responder import ClientGoneError

_WAIT_MS: Final = 60_000


class ChannelBody:
    """Reads a request body from a channel.

    Args:
        channel: Channel on which the chunks and the end arrive.
        length: Length of the body, if known.
    """

    __slots__ = ('_channel', '_ended', '_length', '_rest')

    def __init__(self, *, channel: Channel, length: int | None) -> None:
        self._channel = channel
        self._length = length
        self._rest = b''
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
        if not (self._rest or self._ended):
            self._rest = self._next()
        part = self._rest[:limit]
        self._rest = self._rest[limit:]
        return part

    def rewind(self) -> bool:
        """The chunks are not kept."""
        return self._length == 0

    def _next(self) -> bytes:
        try:
            message = self._channel.get(_WAIT_MS)
        except ChannelLostError as lost:
            raise _gone() from lost
        if isinstance(message, Chunk):
            return message.data
        if message is None or self._channel.cancelled.is_set():
            raise _gone()
        self._ended = True
        return b''


def _gone() -> ClientGoneError:
    return ClientGoneError(
        reason='the body of the request did not arrive',
        remedy='repeat the request',
    )
