"""Queue of a request body that is being received."""

from gevent.queue import Queue

from anvilthread.outcomes.request_handler import MAX_BODY_BYTES


class BodyQueue:
    """Queue of body chunks between the connection task and a request task.

    aioquic extends the client's flow-control window as soon as data arrives,
    so this queue bounds the size, by the limit of the request handler.
    """

    __slots__ = ('_chunks', '_ended', '_size')

    def __init__(self) -> None:
        self._chunks: Queue[bytes | None] = Queue()
        self._size = 0
        self._ended = False

    @property
    def is_too_large(self) -> bool:
        """Whether more than the maximum body size has arrived."""
        return self._size > MAX_BODY_BYTES

    def feed(self, chunk: bytes) -> None:
        """Adds data that arrived from the client.

        The chunk that exceeds the bound is queued, so that a reader detects
        the excess; later ones are dropped.
        """
        if not self.is_too_large:
            self._size += len(chunk)
            self._chunks.put(chunk)

    def end(self) -> None:
        """Marks the end; reads beyond it return empty bytes."""
        if not self._ended:
            self._ended = True
            self._chunks.put(None)

    def read(self) -> bytes:
        """Blocks for the next chunk; returns empty bytes at the end."""
        chunk = self._chunks.get()
        if chunk is None:
            self._chunks.put(None)
            return b''
        return chunk
