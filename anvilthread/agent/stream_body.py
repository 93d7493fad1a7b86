"""A request body on an HTTP/3 stream."""

from anvilthread.agent.body_queue import BodyQueue
from anvilthread.agent.h3_stream import H3Stream
from anvilthread.outcomes import ClientGoneError
from anvilthread.outcomes.request_handler import MAX_BODY_BYTES


class StreamBody:
    """Reads the body of a stream in parts of limited size.

    Args:
        stream: The stream.
        length: Value of ``content-length``, if the client sent one.
    """

    __slots__ = ('_length', '_queue', '_stream', '_unread')

    def __init__(self, *, stream: H3Stream, length: int | None) -> None:
        self._stream = stream
        self._queue: BodyQueue = stream.body
        self._length = length
        self._unread = b''

    @property
    def length(self) -> int | None:
        """Length in bytes, or None when it is not known in advance."""
        return self._length

    def read(self, limit: int) -> bytes:
        """Blocks for the next bytes; empty at the end of the body.

        Raises:
            ClientGoneError: If the rest of the body will not arrive.
        """
        if not self._unread:
            self._unread = self._queue.read()
        if not self._unread and self._queue.is_too_large:
            # The rest was dropped, so the end of the queue is not the end of
            # the body.
            raise ClientGoneError(
                reason=f'the body is longer than {MAX_BODY_BYTES} bytes',
                remedy='send less, or several requests',
            )
        if not self._unread and self._stream.cancelled.is_set():
            raise ClientGoneError(
                reason='the client cancelled or left before its request was '
                'complete',
                remedy='drop the request',
            )
        part = self._unread[:limit]
        self._unread = self._unread[limit:]
        return part

    def rewind(self) -> bool:
        """Returns False, as the body of a stream can be read only once."""
        return False
