"""A request body on an HTTP/3 stream."""

from anvilthread.agent.body import Body
from anvilthread.agent.h3_stream import H3Stream
from anvilthread.outcomes import ClientGoneError
from anvilthread.outcomes.request_handler import MAX_BODY_BYTES


class StreamBody:
    """Reads the body of a stream in bounded pieces.

    Args:
        stream: The stream.
        length: Value of ``content-length``, if the client sent one.
    """

    __slots__ = ('_length', '_rest', '_source', '_stream')

    def __init__(self, *, stream: H3Stream, length: int | None) -> None:
        self._stream = stream
        self._source: Body = stream.body
        self._length = length
        self._rest = b''

    @property
    def length(self) -> int | None:
        """Length in bytes, or None when it is not known in advance."""
        return self._length

    def read(self, limit: int) -> bytes:
        """Blocks for the next bytes; empty at the end of the body.

        Raises:
            ClientGoneError: If the rest of the body will not arrive.
        """
        if not self._rest:
            self._rest = self._source.read()
        if not self._rest and self._source.is_too_large:
            # What followed was dropped, so the end that was read is not the
            # end of the body.
            raise ClientGoneError(
                reason=f'the body is longer than {MAX_BODY_BYTES} bytes',
                remedy='send less, or several requests',
            )
        if not self._rest and self._stream.cancelled.is_set():
            raise ClientGoneError(
                reason='the client left before its request was complete',
                remedy='drop the request',
            )
        part = self._rest[:limit]
        self._rest = self._rest[limit:]
        return part

    def rewind(self) -> bool:
        """Returns False; what the client sent is read once."""
        return False
