"""One HTTP/3 request and its answer on a client's connection."""

from collections.abc import Callable, Sequence
from typing import Final

from aioquic.h3.connection import ErrorCode, H3Connection
from gevent.event import Event

from anvilthread.agent.body_queue import BodyQueue
from anvilthread.agent.routable_quic import RoutableQuic
from anvilthread.outcomes import ClientGoneError

#: Unacknowledged bytes of one answer at which its writer blocks. It bounds
#: the memory of a stream whose client reads slowly.
MAX_BUFFERED_BYTES: Final = 256 * 1024

Headers = Sequence[tuple[bytes, bytes]]


class H3Stream:
    """The stream of one request, which its request task answers on.

    Args:
        stream_id: QUIC stream of the request.
        headers: Request headers, pseudo-headers included.
        quic: The QUIC connection.
        http: The HTTP/3 connection.
        wake: Wakes the connection task, which sends pending data.
    """

    __slots__ = (
        '_cancelled',
        '_http',
        '_quic',
        '_wake',
        '_writable',
        'body',
        'headers',
        'stream_id',
    )

    def __init__(
        self,
        *,
        stream_id: int,
        headers: Headers,
        quic: RoutableQuic,
        http: H3Connection,
        wake: Callable[[], None],
    ) -> None:
        self.stream_id = stream_id
        self.headers = headers
        self.body = BodyQueue()
        self._quic = quic
        self._http = http
        self._wake = wake
        self._cancelled = Event()
        self._writable = Event()
        self._writable.set()

    @property
    def cancelled(self) -> Event:
        """Set when the client has cancelled or its connection has ended."""
        return self._cancelled

    def head(self, headers: Headers) -> None:
        """Sends the response headers.

        Raises:
            ClientGoneError: If the client no longer waits for the answer.
        """
        self._check_client()
        self._http.send_headers(self.stream_id, list(headers))
        self._wake()

    def chunk(self, content: bytes) -> None:
        """Sends a part of the body; blocks while the client reads slowly.

        Raises:
            ClientGoneError: If the client no longer waits for the answer.
        """
        self._writable.wait()
        self._check_client()
        self._http.send_data(self.stream_id, content, end_stream=False)
        if self._quic.buffered_bytes(self.stream_id) >= MAX_BUFFERED_BYTES:
            self._writable.clear()
        self._wake()

    def end(self) -> None:
        """Ends the response.

        Raises:
            ClientGoneError: If the client no longer waits for the answer.
        """
        self._check_client()
        self._http.send_data(self.stream_id, b'', end_stream=True)
        self._wake()

    def reset(self) -> None:
        """Ends an answer that has begun and cannot be completed."""
        if not self._cancelled.is_set():
            self._quic.reset_stream(self.stream_id, ErrorCode.H3_INTERNAL_ERROR)
            self._cancelled.set()
            self._wake()

    def cancel(self) -> None:
        """Marks the request as cancelled by the client."""
        self._cancelled.set()
        self._writable.set()
        self.body.end()

    def resume_writing(self) -> None:
        """Unblocks the writer after the client has acknowledged enough."""
        if self._writable.is_set():
            return
        if self._quic.buffered_bytes(self.stream_id) < MAX_BUFFERED_BYTES // 2:
            self._writable.set()

    def _check_client(self) -> None:
        if self._cancelled.is_set():
            raise ClientGoneError(
                reason=f'the client cancelled stream {self.stream_id}',
                remedy='stop producing the answer',
            )
